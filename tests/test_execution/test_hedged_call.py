"""Tests of calls that are repeated beside themselves."""

from __future__ import annotations

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from jackdawridge.execution.hedged_call import HedgedCall

DELAY = 0.05


class Caller:
    """Makes a hedged call, whose answers the test gives."""

    def __init__(self, *, is_urgent: bool = True) -> None:
        self.clock = Clock()
        self.answers: list[Deferred[None]] = []
        self.outcomes: list[object] = []
        hedged = HedgedCall(self.clock, self.call, lambda: is_urgent)
        hedged.start(DELAY).addBoth(self.outcomes.append)

    async def call(self) -> None:
        answer: Deferred[None] = Deferred()
        self.answers.append(answer)
        await answer


class TestHedgedCall:
    def test_answered_call_is_not_repeated(self) -> None:
        caller = Caller()
        caller.answers[0].callback(None)
        caller.clock.advance(1)
        assert len(caller.answers) == 1
        assert caller.outcomes == [None]

    def test_second_call_answers_for_the_first(self) -> None:
        caller = Caller()
        caller.clock.advance(DELAY)
        caller.answers[1].callback(None)
        assert caller.outcomes == [None]
        caller.answers[0].errback(TimeoutError())
        assert caller.outcomes == [None]

    def test_first_failure_counts(self) -> None:
        """A peer that answers nothing is found no later."""
        caller = Caller()
        caller.clock.advance(DELAY)
        caller.answers[0].errback(TimeoutError())
        assert len(caller.outcomes) == 1
        assert caller.outcomes != [None]
        caller.answers[1].callback(None)
        assert len(caller.outcomes) == 1

    def test_call_that_fails_at_once_is_not_repeated(self) -> None:
        caller = Caller()
        caller.answers[0].errback(ConnectionRefusedError())
        caller.clock.advance(1)
        assert len(caller.answers) == 1

    def test_call_that_is_not_urgent_is_not_repeated(self) -> None:
        caller = Caller(is_urgent=False)
        caller.clock.advance(1)
        assert len(caller.answers) == 1
