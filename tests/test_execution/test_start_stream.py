"""Tests of the streams of starts and events, and of lost answers."""

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
    format_task_id,
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
    """An HTTP agent that connects on demand and records what is written."""

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.asked: list[Deferred[None]] = []

    def request(self, *args: Any) -> Deferred[None]:
        """Record a request."""
        self.body = args[-1]
        self.asked.append(Deferred())
        return self.asked[-1]

    def write(self, line: bytes) -> None:
        """Record a line."""
        self.written.append(line)

    def connect(self) -> None:
        """Start to send the body of the request."""
        self.body.startProducing(self)

    def close_connection(self) -> None:
        """Close the connection."""
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

    def test_answer_is_matched_by_batch_name(
        self, stream: StartStream, agent: FakeAgent
    ) -> None:
        opened = stream.open()
        assert not opened.called
        agent.connect()
        answered = [stream.write('a', b'1\n'), stream.write('b', b'2\n')]
        stream.answer_received('b', ANSWERS)
        stream.answer_received('of another side', ANSWERS)
        assert [one.called for one in answered] == [False, True]
        assert agent.written == [b'1\n', b'2\n']

    def test_refused_connection_means_nothing_was_sent(
        self, stream: StartStream, agent: FakeAgent
    ) -> None:
        """The next attempt connects again."""
        opened = stream.open()
        agent.asked[-1].errback(ConnectionError('refused'))
        opened.addErrback(lambda failure: failure.trap(NotSentError))
        with pytest.raises(NotSentError):
            stream.write('a', b'1\n')
        stream.open()
        agent.connect()
        assert stream.is_open

    def test_closed_stream_loses_answers(
        self, stream: StartStream, agent: FakeAgent
    ) -> None:
        stream.open()
        agent.connect()
        answered = stream.write('a', b'1\n')
        agent.close_connection()
        trapped: list[object] = []
        answered.addErrback(lambda failure: failure.trap(AnswerLostError))
        answered.addCallback(trapped.append)
        assert trapped == [AnswerLostError]
        with pytest.raises(NotSentError):
            stream.write('b', b'2\n')

    def test_batch_without_an_answer_times_out(
        self, stream: StartStream, agent: FakeAgent, clock: Clock
    ) -> None:
        """Each batch has its own timeout.

        The stream stays open while answers to later batches arrive.
        """
        stream.open()
        agent.connect()
        first = stream.write('a', b'1\n')
        clock.advance(CALL_TIMEOUT / 2)
        second = stream.write('b', b'2\n')
        stream.answer_received('b', ANSWERS)
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
    """A worker that is connected when the test says so."""

    def __init__(self) -> None:
        self.connected: Deferred[None] = Deferred()
        self.answer_received: Deferred[tuple[StartAnswer, ...]] = succeed(())
        self.tasks_received = 0
        self.stopped: tuple[str, ...] = ()

    async def connect(self) -> None:
        """Wait for the test to connect."""
        await self.connected

    async def start(self, tasks: Any) -> tuple[StartAnswer, ...]:
        """Count the tasks."""
        self.tasks_received += len(tasks)
        return await self.answer_received

    async def list(self) -> TaskList:
        """Return an empty list."""
        return TaskList(0, ())

    async def stop(self, ids: tuple[str, ...]) -> None:
        """Record the ids."""
        self.stopped = ids


class RecordingListener:
    """Records the results of starts."""

    def __init__(self) -> None:
        self.results: list[str] = []

    def started(self, keys: tuple[TaskKey, ...]) -> None:
        """Record started tasks."""
        self.results.extend('started' for _ in keys)

    def not_started(self, key: TaskKey, reason: str) -> None:
        """Record the reason of a refusal."""
        self.results.append(reason)

    def start_lost(self, key: TaskKey, reason: str) -> None:
        """Record a lost start."""
        self.results.append('lost')


class TestStarter:
    def test_gate_is_checked_again_once_connected(self) -> None:
        """Nothing is sent if the gate shuts while the worker is connected."""
        worker: Any = FakeWorker()
        listener = RecordingListener()
        reasons = ['']
        starter = Starter(worker, Clock(), listener, 1, lambda _: reasons[0])
        starter.add((START,))
        reasons[0] = 'failure domain is out of service'
        worker.connected.callback(None)
        assert listener.results == reasons
        assert worker.tasks_received == 0

    def test_only_starts_that_were_stopped_meanwhile_are_refused(self) -> None:
        """They were sent once the worker was connected, and then stopped."""
        worker: Any = FakeWorker()
        listener = RecordingListener()
        stopped = START._replace(task=1)
        refusals = {format_task_id(stopped.key()): 'cancelled'}
        starter = Starter(
            worker, Clock(), listener, 1, lambda one: refusals.get(one, '')
        )
        starter.add((START, stopped))
        answer = StartAnswer(format_task_id(START.key()), True, '')
        worker.answer_received = succeed((answer,))
        worker.connected.callback(None)
        assert listener.results == ['cancelled', 'started']
        assert worker.tasks_received == 1

    def test_unreachable_worker_refuses_the_start(self) -> None:
        worker: Any = FakeWorker()
        listener = RecordingListener()
        starter = Starter(worker, Clock(), listener, 1, lambda _: '')
        starter.add((START,))
        error = NotSentError('refused', step='start', peer='worker')
        worker.connected.errback(error)
        assert listener.results == ['worker is unreachable: refused']

    def test_lost_answer_is_not_reported_as_a_refusal(self) -> None:
        """A start that the worker does not list is reported as lost."""
        worker: Any = FakeWorker()
        worker.connected.callback(None)
        error = AnswerLostError('cut', step='start', peer='worker')
        worker.answer_received = fail(error)
        listener = RecordingListener()
        clock = Clock()
        starter = Starter(worker, clock, listener, 1, lambda _: '')
        starter.add((START,))
        clock.pump(LIST_INTERVAL for _ in range(MAX_LIST_CALLS - 1))
        assert not listener.results
        clock.advance(LIST_INTERVAL)
        assert listener.results == ['lost']
        assert worker.stopped == ('t|0|1',)


class TestSilentEventStream:
    def test_silence_is_counted_from_the_last_line(self) -> None:
        """The timeout must not be counted from the first line."""
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
