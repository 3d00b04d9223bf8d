"""Tests of the requests of a minion, and of others in its name."""

from __future__ import annotations

from io import BytesIO
from typing import Any

import logbook
from twisted.internet.task import Clock
from twisted.web.test.requesthelper import DummyRequest

from jackdawridge.platform.heartbeats import HeartbeatResource


class World:
    """The resource of a side, and a client that sends to it."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.heartbeats: list[object] = []
        self.resource = HeartbeatResource(
            self.heartbeats.append, self.heartbeats.append, self.clock
        )

    def send(self, content: bytes) -> bytes:
        request: Any = DummyRequest([b'v1'])
        request.content = BytesIO(content)
        return self.resource.heartbeat(request, 'i-1')


class TestInvalidHeartbeats:
    def test_one_a_second_is_logged(self) -> None:
        """A crowd that sends 1,000 of them in a second."""
        world = World()
        with logbook.TestHandler() as handler:
            for _ in range(1000):
                world.send(b'{}')
                world.clock.advance(0.001)
            assert len(handler.records) <= 2
        assert not world.heartbeats

    def test_answer_does_not_repeat_what_was_sent(self) -> None:
        state = b'x' * 1000000
        answer = World().send(
            b'{"service":"a","state":"%b","capacity":{"cpu":1,"memMb":1},'
            b'"seq":1,"clockMs":1,"born":1}' % state
        )
        assert b'state: allowed are draining, ready' in answer
