"""Tests of what becomes of starts on the stream to the worker."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from jackdawridge.execution.event_stream import (
    EVENTS_TIMEOUT,
    EventReceiver,
    EventStream,
)
from jackdawridge.execution.messages import Start, TaskKey
from jackdawridge.execution.start_stream import CALL_TIMEOUT, StartStream
from jackdawridge.execution.starter import (
    LIST_INTERVAL,
    MAX_LIST_CALLS,
    Starter,
)
from jackdawridge.execution.worker import (
    AnswerLostError,
    NotSentError,
    StartAnswer,
    TaskList,
)

ANSWERS = (StartAnswer('a', started=True, reason=''),)
START = Start('t', 0, 1, 'k', 'team', 1, 1, 0, 0.1, '', 0, b'')


class FakeAgent:
    """Connects when it is told to and keeps what is written."""

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.asked: list[Deferred[None]] = []

    def request(self, *args: Any) -> Deferred[None]:
        """Take note of a request."""
        self.body = args[-1]
        self.asked.append(Deferred())
        return self.asked[-1]

    def write(self, line: bytes) -> None:
        """Keep a line."""
        self.written.append(line)

    def connect(self) -> None:
        """Let the body of the request begin."""
        self.body.startProducing(self)

    def cut(self) -> None:
        """End the connection."""
        self.body.stopProducing()
        self.asked[-1].errback(ConnectionError('cut'))


class TestStartStream:
    @pytest.fixture
    def agent(self) -> FakeAgent:
        return FakeAgent()

    @pytest.fixture
    def clock(self) -> Clock:
        return Clock()

    @pytest.fixture
    def stream(self, agent: FakeAgent, clock: Clock) -> StartStream:
        stream = StartStream(clock, 'http://worker')
        stream.agent = agent
        return stream

    def test_answer_comes_by_name(
        self, stream: StartStream, agent: FakeAgent
    ) -> None:
        opened = stream.open()
        assert not opened.called
        agent.connect()
        answered = [stream.write('a', b'1\n'), stream.write('b', b'2\n')]
        stream.answer('b', ANSWERS)
        stream.answer('of another side', ANSWERS)
        assert [one.called for one in answered] == [False, True]
        assert agent.written == [b'1\n', b'2\n']

    def test_connection_refused(
        self, stream: StartStream, agent: FakeAgent
    ) -> None:
        """Say that nothing was sent, and connect anew the next time."""
        opened = stream.open()
        agent.asked[-1].errback(ConnectionError('refused'))
        opened.addErrback(lambda failure: failure.trap(NotSentError))
        with pytest.raises(NotSentError):
            stream.write('a', b'1\n')
        stream.open()
        agent.connect()
        assert stream.is_open

    def test_cut_stream_loses_answers(
        self, stream: StartStream, agent: FakeAgent
    ) -> None:
        stream.open()
        agent.connect()
        answered = stream.write('a', b'1\n')
        agent.cut()
        trapped: list[object] = []
        answered.addErrback(lambda failure: failure.trap(AnswerLostError))
        answered.addCallback(trapped.append)
        assert trapped == [AnswerLostError]
        with pytest.raises(NotSentError):
            stream.write('b', b'2\n')

    def test_no_answer_in_time(
        self, stream: StartStream, agent: FakeAgent, clock: Clock
    ) -> None:
        """Give up each batch after its own time, and a silent stream."""
        stream.open()
        agent.connect()
        first = stream.write('a', b'1\n')
        clock.advance(CALL_TIMEOUT / 2)
        second = stream.write('b', b'2\n')
        stream.answer('b', ANSWERS)
        third = stream.write('c', b'3\n')
        clock.advance(CALL_TIMEOUT / 2)
        assert [one.called for one in (first, second, third)] == [
            True,
            True,
            False,
        ]
        assert stream.is_open
        clock.advance(CALL_TIMEOUT / 2)
        assert third.called
        first.addErrback(lambda failure: failure.trap(AnswerLostError))
        third.addErrback(lambda failure: failure.trap(AnswerLostError))


class FakeWorker:
    """Is connected when the test says so."""

    def __init__(self) -> None:
        self.connected: Deferred[None] = Deferred()
        self.answer: Deferred[tuple[StartAnswer, ...]] = succeed(())
        self.given = 0
        self.stopped: tuple[str, ...] = ()

    async def connect(self) -> None:
        """Wait for the test."""
        await self.connected

    async def start(self, tasks: Any) -> tuple[StartAnswer, ...]:
        """Count the tasks."""
        self.given += len(tasks)
        return await self.answer

    async def list(self) -> TaskList:
        """Return that nothing runs."""
        return TaskList(0, ())

    async def stop(self, ids: tuple[str, ...]) -> None:
        """Keep the ids."""
        self.stopped = ids


class Outcomes:
    """Keeps what became of starts."""

    def __init__(self) -> None:
        self.told: list[str] = []

    def started(self, keys: tuple[TaskKey, ...]) -> None:
        """Keep the tasks that run."""
        self.told.extend('started' for _ in keys)

    def not_started(self, key: TaskKey, reason: str) -> None:
        """Keep a refusal."""
        self.told.append(reason)

    def start_lost(self, key: TaskKey, reason: str) -> None:
        """Keep a start in doubt."""
        self.told.append('lost')


class TestStarter:
    def test_checked_again_once_connected(self) -> None:
        """Write nothing that became forbidden during the connecting."""
        worker: Any = FakeWorker()
        outcomes = Outcomes()
        reasons = ['']
        starter = Starter(worker, Clock(), outcomes, 1, lambda _: reasons[0])
        starter.add((START,))
        reasons[0] = 'failure domain is out of service'
        worker.connected.callback(None)
        assert outcomes.told == reasons
        assert worker.given == 0

    def test_unreachable_is_not_run(self) -> None:
        worker: Any = FakeWorker()
        outcomes = Outcomes()
        starter = Starter(worker, Clock(), outcomes, 1, lambda _: '')
        starter.add((START,))
        error = NotSentError('refused', step='start', peer='worker')
        worker.connected.errback(error)
        assert outcomes.told == ['worker is unreachable: refused']

    def test_lost_answer_is_never_not_run(self) -> None:
        """Call a start lost that the worker's list does not have."""
        worker: Any = FakeWorker()
        worker.connected.callback(None)
        error = AnswerLostError('cut', step='start', peer='worker')
        worker.answer = fail(error)
        outcomes = Outcomes()
        clock = Clock()
        starter = Starter(worker, clock, outcomes, 1, lambda _: '')
        starter.add((START,))
        clock.pump(LIST_INTERVAL for _ in range(MAX_LIST_CALLS - 1))
        assert not outcomes.told
        clock.advance(LIST_INTERVAL)
        assert outcomes.told == ['lost']
        assert worker.stopped == ('t|0|1',)


class TestSilentEvents:
    def test_given_up_after_the_last_line(self) -> None:
        """Count the silence from the last line, not from the first."""
        clock: Any = Clock()
        starts = StartStream(clock, 'http://worker')
        listener: Any = None
        events = EventStream(clock, None, starts.base, 0, listener, starts)
        receiver: Any = EventReceiver(events)
        receiver.transport = StringTransport()
        events.receiver = receiver
        events.start_silence_timer()
        clock.advance(EVENTS_TIMEOUT / 2)
        events.line_received(b'')
        clock.advance(EVENTS_TIMEOUT / 2)
        assert not receiver.transport.disconnecting
        clock.advance(EVENTS_TIMEOUT / 2)
        assert receiver.transport.disconnecting
