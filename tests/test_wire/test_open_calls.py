"""Tests of calls to peers whose links close and open again."""

from __future__ import annotations

from typing import Any, NamedTuple

from jackdawridge.wire.open_calls import RELINK_TIME, OpenCalls
from tests.test_submission.world import FakeLink, FakeProcess


class Question(NamedTuple):
    """A request."""

    number: int = 0


class Caller:
    """A process that has asked another one."""

    def __init__(self) -> None:
        self.process = FakeProcess('entry', 'asking', 'run1')
        self.asked = FakeProcess('entry', 'asked', 'run2')
        self.calls = OpenCalls(self.process.application, 1)
        self.answers: list[Any] = []
        self.link()
        self.calls.ask(self.peer(), Question(), 10, self.answers.append)

    def link(self) -> None:
        self.newest = FakeLink(self.process, self.asked)

    def peer(self) -> Any:
        return self.newest.peers['entry']

    def unlink(self) -> None:
        self.process.leave(self.peer())


class TestRelink:
    def test_call_fails_unless_its_peer_links_again_in_time(self) -> None:
        caller = Caller()
        caller.unlink()
        caller.process.advance(RELINK_TIME * 0.9)
        assert not caller.answers
        caller.process.advance(RELINK_TIME * 0.2)
        assert caller.answers == [None]

    def test_each_loss_of_the_link_has_its_own_time(self) -> None:
        """The time of the first loss went on and failed the call early."""
        caller = Caller()
        caller.unlink()
        caller.process.advance(RELINK_TIME * 0.5)
        caller.link()
        caller.process.advance(RELINK_TIME * 0.4)
        caller.unlink()
        caller.process.advance(RELINK_TIME * 0.2)
        assert not caller.answers
        caller.link()
        caller.process.advance(RELINK_TIME)
        assert not caller.answers
        caller.calls.handle_answer(caller.peer(), 1, 'answer')
        assert caller.answers == ['answer']
