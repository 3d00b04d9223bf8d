"""Tests of a worker that counts its events from 1 after a restart."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from jackdawridge.execution.event_ledger import EventLedger
from jackdawridge.execution.event_stream import (
    EVENTS_RETRY_INTERVAL,
    EventStream,
)
from jackdawridge.execution.start_stream import StartStream
from jackdawridge.execution.worker import TaskStatus


class FakeAgent:
    """Records the requested URLs and never answers."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    def request(
        self, method: bytes, uri: bytes, *_: object
    ) -> Deferred[object]:
        self.asked.append(uri.decode())
        return Deferred()


class FakeListener:
    """Records the numbers of events."""

    def __init__(self) -> None:
        self.events: list[int] = []
        self.interruptions = 0

    def start_refusal(self, task_id: str) -> str:
        return ''

    def task_started(self, task_id: str) -> None:
        """Ignore confirmed starts."""

    def task_ended(self, status: TaskStatus) -> None:
        self.events.append(status.event)

    def usage_reported(self, usage: object) -> None:
        """Ignore usage."""

    def events_interrupted(self) -> None:
        self.interruptions += 1


class TestEventStream:
    def test_asks_for_all_events_after_an_interruption(self) -> None:
        """The last number of an earlier run would hide events of the next."""
        clock: Any = Clock()
        agent = FakeAgent()
        listener = FakeListener()
        starts = StartStream(clock, 'http://worker')
        stream = EventStream(clock, agent, starts.base, 0, listener, starts)
        stream.open()
        stream.line_received(
            b'{"id": "t|0|1", "state": "succeeded", "number": 9}'
        )
        stream.schedule_reconnection(None)
        clock.advance(EVENTS_RETRY_INTERVAL)
        assert set(agent.asked) == {'http://worker/events?after=0'}
        assert len(agent.asked) == 2
        assert (listener.events, listener.interruptions) == ([9], 1)


class TestEventLedger:
    def test_events_counted_anew_are_forgotten(self) -> None:
        ledger = EventLedger()
        ledger.record(9)
        ledger.mark_delivered((9,))
        assert ledger.next_forgettable() == 9
        ledger.restart()
        ledger.record(1)
        assert not ledger.next_forgettable()
        ledger.mark_delivered((1,))
        assert ledger.next_forgettable() == 1
