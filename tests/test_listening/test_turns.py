"""Tests of the turns in which costly input is handled."""

from __future__ import annotations

from functools import partial
from typing import Any

from twisted.internet.task import Clock

from jackdawridge.listening.turns import TURN_TIME, InputTurns


class Participant:
    """Takes a number of turns, each of which takes some time."""

    def __init__(self, turns: InputTurns, clock: Any, duration: float) -> None:
        self.turns = turns
        self.clock = clock
        self.duration = duration
        self.left = 3
        self.taken = 0

        self.is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True

    def take_turn(self) -> None:
        self.taken += 1
        self.left -= 1
        self.clock.rightNow += self.duration
        if self.left:
            self.turns.add(self)


class World:
    """A crowd of participants that all wait for their turn."""

    def __init__(self, size: int, duration: float) -> None:
        self.clock: Any = Clock()
        self.turns = InputTurns(self.clock)
        self.crowd = [
            Participant(self.turns, self.clock, duration) for _ in range(size)
        ]
        for participant in self.crowd:
            self.turns.add(participant)


class TestInputTurns:
    def test_time_of_an_iteration_is_bounded(self) -> None:
        """A crowd of 1,000 whose turns take 0.2 s together."""
        world = World(1000, 0.0002)
        world.turns.run()
        assert world.clock.seconds() < TURN_TIME + 0.0003

    def test_all_take_part_alike(self) -> None:
        world = World(64, 0.001)
        spread = 0
        while world.turns.waiting:
            world.turns.run()
            taken = [participant.taken for participant in world.crowd]
            spread = max(spread, max(taken) - min(taken))
        assert spread == 1
        assert all(participant.taken == 3 for participant in world.crowd)

    def test_one_turn_each_in_an_iteration(self) -> None:
        world = World(2, 0)
        world.turns.run()
        assert [participant.taken for participant in world.crowd] == [1, 1]
        world.clock.advance(0)
        assert [participant.taken for participant in world.crowd] == [3, 3]

    def test_cancelled_participant_gets_no_turn(self) -> None:
        world = World(2, 0)
        world.turns.discard(world.crowd[0])
        world.turns.discard(world.crowd[0])
        world.clock.advance(0)
        assert [participant.taken for participant in world.crowd] == [0, 3]

    def test_participant_may_end_another_one(self) -> None:
        world = World(2, 0)
        first: Any = world.crowd[0]
        second = world.crowd[1]
        first.take_turn = partial(world.turns.discard, second)
        world.clock.advance(0)
        assert second.taken == 0

    def test_failure_of_one_closes_only_that_one(self) -> None:
        world = World(3, 0)
        failing: Any = world.crowd[0]
        failing.take_turn = partial(int, 'no number')
        world.clock.advance(0)
        assert failing.is_aborted
        assert [participant.taken for participant in world.crowd[1:]] == [3, 3]
        assert not any(other.is_aborted for other in world.crowd[1:])
