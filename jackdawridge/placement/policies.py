"""Policies that choose the side of a task."""

from __future__ import annotations

import random
from types import MappingProxyType
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from jackdawridge.placement.learning import Need
    from jackdawridge.placement.side_view import Side

#: Number of random sides that are compared for a task in a large fleet.
SAMPLE_SIZE = 3

#: Number of sides up to which all are compared.
SMALL_FLEET_SIDES = 16


class Policy(Protocol):
    """Chooses the side of a task."""

    #: Whether a side is chosen only if the task fits its known free room.
    knows_room: bool
    #: Whether successive tasks of a job go to one side with ample room.
    keeps_together: bool
    #: Whether large jobs leave headroom for short ones.
    leaves_headroom: bool

    def choose(
        self, need: Need, sides: Sequence[Side], now: float
    ) -> Side | None:
        """Return the side for a task, or None if it has to wait.

        :param need: estimated need of the task.
        :param sides: sides to choose from.
        :param now: current time in seconds.
        """


class RoomPolicy:
    """Chooses the side with most room among a few random sides.

    All sides are compared if they are few, or if the task fits none of the
    random ones. No task waits while there is known room for it.

    :param seed: seed of the random choices.
    """

    knows_room = True
    keeps_together = True
    leaves_headroom = True

    def __init__(self, seed: str = '') -> None:
        """Initialise the random number generator."""
        self.random = random.Random(seed)

    def choose(
        self, need: Need, sides: Sequence[Side], now: float
    ) -> Side | None:
        """Return the side for a task, or None if it has to wait.

        :param need: estimated need of the task.
        :param sides: sides to choose from.
        :param now: current time in seconds.
        """
        best = None
        if len(sides) > SMALL_FLEET_SIDES:
            sample = self.random.choices(sides, k=SAMPLE_SIZE)
            best = side_with_most_room(need, sample, now)
        return best or side_with_most_room(need, sides, now)


class LeastLoadPolicy:
    """Chooses the side with most known room; all entries choose the same."""

    knows_room = True
    keeps_together = False
    leaves_headroom = False

    def __init__(self, seed: str = '') -> None:
        """Initialise the policy; the seed is ignored."""

    def choose(
        self, need: Need, sides: Sequence[Side], now: float
    ) -> Side | None:
        """Return the side for a task, or None if it has to wait.

        :param need: estimated need of the task.
        :param sides: sides to choose from.
        :param now: current time in seconds.
        """
        return side_with_most_room(need, sides, now)


class RandomPolicy:
    """Chooses a random side that takes work, regardless of its room.

    :param seed: seed of the random choices.
    """

    knows_room = False
    keeps_together = False
    leaves_headroom = False

    def __init__(self, seed: str = '') -> None:
        """Initialise the random number generator."""
        self.random = random.Random(seed)

    def choose(
        self, need: Need, sides: Sequence[Side], now: float
    ) -> Side | None:
        """Return the side for a task, or None if it has to wait.

        :param need: estimated need of the task.
        :param sides: sides to choose from.
        :param now: current time in seconds.
        """
        usable = [side for side in sides if accepts_task(side, need, now)]
        return self.random.choice(usable) if usable else None


class RoundRobinPolicy:
    """Chooses the sides in turn, regardless of their room."""

    knows_room = False
    keeps_together = False
    leaves_headroom = False

    def __init__(self, seed: str = '') -> None:
        """Initialise the turn; the seed is ignored."""
        self.turn = 0

    def choose(
        self, need: Need, sides: Sequence[Side], now: float
    ) -> Side | None:
        """Return the side for a task, or None if it has to wait.

        :param need: estimated need of the task.
        :param sides: sides to choose from.
        :param now: current time in seconds.
        """
        for _ in sides:
            self.turn = (self.turn + 1) % len(sides)
            side = sides[self.turn]
            if accepts_task(side, need, now):
                return side
        return None


def accepts_task(side: Side, need: Need, now: float) -> bool:
    """Return whether a task may be sent to a side, regardless of its room.

    :param side: side to check.
    :param need: estimated need of the task.
    :param now: current time in seconds.
    """
    return side.takes_work(need, now) and side.fits_when_empty(need)


def side_with_most_room(
    need: Need, sides: Sequence[Side], now: float
) -> Side | None:
    """Return the side with most room among those that fit a task, or None.

    :param need: estimated need of the task.
    :param sides: sides to compare.
    :param now: current time in seconds.
    """
    best = None
    best_score = float('-inf')
    for side in sides:
        if side.fits(need, now):
            score = side.score()
            if score > best_score:
                best = side
                best_score = score
    return best


#: Policies by their name in the settings.
POLICIES: Mapping[str, Callable[[str], Policy]] = MappingProxyType(
    {
        'room': RoomPolicy,
        'random': RandomPolicy,
        'round-robin': RoundRobinPolicy,
        'least-load': LeastLoadPolicy,
    }
)
