"""The stream of a worker's events."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any

import msgspec
import treq
from twisted.internet.defer import Deferred
from twisted.protocols.basic import LineReceiver

from jackdawridge.execution.worker import (
    NotSentError,
    StartAnswer,
    TaskStatus,
    TaskUsage,
)
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from jackdawridge.execution.start_stream import StartStream
    from jackdawridge.execution.worker import WorkerListener

logger = get_logger('worker')

#: Time without any line after which the stream is opened again, in seconds.
EVENTS_TIMEOUT = 5.0
#: Wait before the stream is opened again, in seconds.
EVENTS_RETRY_INTERVAL = 0.2
#: Longest line of the stream, in bytes.
MAX_EVENT_BYTES = 4194304

_OK = 200


class UsageItem(msgspec.Struct):
    """What one task uses, in the worker's JSON."""

    id: str
    cores: float = 0
    memory: float = 0


class StartResult(msgspec.Struct):
    """The answer to one start in the worker's JSON."""

    id: str
    state: str
    reason: str = ''

    def convert(self) -> StartAnswer:
        """Return the answer as the side knows it."""
        return StartAnswer(self.id, self.state == 'running', self.reason)


class TaskEvent(msgspec.Struct):
    """A task, the answer to a batch or a usage report, in the worker's JSON."""

    id: str = ''
    state: str = ''
    reason: str = ''
    answer: str = ''
    cores: float = 0
    memory: float = 0
    run_time: float = 0
    number: int = 0
    usage: tuple[UsageItem, ...] = ()
    batch: str = ''
    results: tuple[StartResult, ...] = ()

    def convert(self) -> TaskStatus:
        """Return the status of the task as the side knows it."""
        return TaskStatus(
            self.id,
            self.state,
            self.reason,
            base64.b64decode(self.answer),
            self.cores,
            self.memory,
            self.run_time,
            self.number,
        )


class EventStream:
    """Follows the worker's events and connects again when they stop.

    :param reactor: Twisted's reactor.
    :param agent: the HTTP client.
    :param base: of the worker's URLs.
    :param event: number of the last known event.
    :param listener: told of the events.
    :param starts: told of the answers to starts.
    """

    def __init__(
        self,
        reactor: Any,
        agent: Any,
        base: str,
        event: int,
        listener: WorkerListener,
        starts: StartStream,
    ) -> None:
        """Prepare without connecting."""
        self.reactor = reactor
        self.agent = agent
        self.base = base
        self.event = event
        self.listener = listener
        self.starts = starts
        self.closed = False
        self.receiver: EventReceiver | None = None
        #: Fire as soon as the stream is open.
        self.waiters: list[Deferred[None]] = []
        self.timer: Any = None
        #: When the last line came.
        self.last_line_at: float = 0

    def open(self) -> None:
        """Ask for the events."""
        url = f'{self.base}/events?after={self.event}'
        request = treq.get(url, agent=self.agent, unbuffered=True)
        request.addTimeout(EVENTS_TIMEOUT, self.reactor)
        request.addCallbacks(self.opened, self.failed)

    def opened(self, response: Any) -> None:
        """Read the body of the answer.

        :param response: of treq.
        """
        if response.code != _OK or self.closed:
            self.failed(response)
            return
        self.receiver = EventReceiver(self)
        self.start_silence_timer()
        response.deliverBody(self.receiver)
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            waiter.callback(None)

    def wait(self) -> Deferred[None]:
        """Return a `Deferred` that fires when the stream is open.

        It fails with `NotSentError` if that does not succeed at once.
        """
        opened: Deferred[None] = Deferred()
        self.waiters.append(opened)
        return opened

    def start_silence_timer(self) -> None:
        """Start to wait for lines."""
        self.cancel_silence_timer()
        if not self.closed:
            self.last_line_at = self.reactor.seconds()
            self.timer = self.reactor.callLater(
                EVENTS_TIMEOUT, self.check_silence
            )

    def check_silence(self) -> None:
        """Give up a silent stream, or wait for the rest of its time.

        Lines come often and silence is rare, so that a line only notes its
        time instead of setting the timer anew.
        """
        remaining = self.last_line_at + EVENTS_TIMEOUT - self.reactor.seconds()
        if remaining > 0:
            self.timer = self.reactor.callLater(remaining, self.check_silence)
        else:
            self.abort()

    def cancel_silence_timer(self) -> None:
        """Stop waiting for a line."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def abort(self) -> None:
        """Give up a stream that is silent or malformed."""
        if self.receiver is not None:
            self.receiver.abort()

    def line_received(self, line: bytes) -> None:
        """Report one event.

        :param line: of JSON, empty to show that the worker lives.
        """
        self.last_line_at = self.reactor.seconds()
        if not line.strip():
            return
        try:
            event = msgspec.json.decode(line, type=TaskEvent)
        except msgspec.MsgspecError as error:
            logger.warning(str(error), step='events', peer=self.base)
            return
        if event.batch:
            answers = tuple(result.convert() for result in event.results)
            self.starts.answer(event.batch, answers)
        elif event.id:
            self.listener.task_ended(event.convert())
        elif event.usage:
            usage = tuple(
                TaskUsage(item.id, item.cores, item.memory)
                for item in event.usage
            )
            self.listener.usage_reported(usage)

    def failed(self, reason: object) -> None:
        """Connect again after a wait, and begin at the first event.

        The worker may be another run, which counts its events anew.

        :param reason: why the stream has ended.
        """
        self.cancel_silence_timer()
        self.receiver = None
        self.event = 0
        self.starts.fail_pending('stream of events has ended')
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            waiter.errback(
                NotSentError('no events', step='events', peer=self.base)
            )
        if self.closed:
            return
        self.listener.events_interrupted()
        self.reactor.callLater(EVENTS_RETRY_INTERVAL, self.reopen)

    def reopen(self) -> None:
        """Connect again unless closed meanwhile."""
        if not self.closed:
            self.open()

    def close(self) -> None:
        """Stop following."""
        self.closed = True
        self.cancel_silence_timer()
        self.abort()


class EventReceiver(LineReceiver):
    """Splits the event stream into lines.

    :param stream: gets the lines.
    """

    delimiter = b'\n'

    def __init__(self, stream: EventStream) -> None:
        """Keep the stream."""
        self.MAX_LENGTH = MAX_EVENT_BYTES  # noqa: WPS601
        self.stream = stream
        self.transport: Any = None

    def lineReceived(self, line: bytes) -> None:
        """Pass a line on.

        :param line: without its end.
        """
        self.stream.line_received(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Give up a stream with too long a line.

        :param line: the beginning.
        """
        self.abort()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Say that the stream has ended.

        :param reason: of Twisted.
        """
        self.stream.failed(reason)

    def abort(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.loseConnection()
