"""Stream of a worker's events over HTTP."""

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

#: Time without any line after which the stream is reopened, in seconds.
EVENTS_TIMEOUT = 5.0
#: Wait before the stream is reopened, in seconds.
EVENTS_RETRY_INTERVAL = 0.2
#: Longest line of the stream, in bytes.
MAX_EVENT_BYTES = 4194304

_OK = 200


class UsageItem(msgspec.Struct):
    """Usage of one task, in the worker's JSON."""

    id: str
    cores: float = 0
    memory: float = 0


class StartResult(msgspec.Struct):
    """Answer to one start, in the worker's JSON."""

    id: str
    state: str
    reason: str = ''

    def to_answer(self) -> StartAnswer:
        """Convert to the answer that the side uses."""
        return StartAnswer(self.id, self.state == 'running', self.reason)


class TaskEvent(msgspec.Struct):
    """A task, an answer to a batch or a usage report, in the worker's JSON."""

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

    def to_status(self) -> TaskStatus:
        """Convert to the task status that the side uses."""
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
    """Follows the worker's events and reconnects when the stream ends.

    :param reactor: Twisted's reactor.
    :param agent: HTTP client.
    :param base: base of the worker's URLs.
    :param event: number of the last known event.
    :param listener: receives the events.
    :param start_stream: receives the answers to starts.
    """

    def __init__(
        self,
        reactor: Any,
        agent: Any,
        base: str,
        event: int,
        listener: WorkerListener,
        start_stream: StartStream,
    ) -> None:
        """Initialise the stream without connecting."""
        self.reactor = reactor
        self.agent = agent
        self.base = base
        self.event = event
        self.listener = listener
        self.start_stream = start_stream
        self.closed = False
        self.receiver: EventReceiver | None = None
        #: Fired as soon as the stream is open.
        self.waiters: list[Deferred[None]] = []
        self.timer: Any = None
        #: Time at which the last line arrived, in seconds.
        self.last_line_at: float = 0

    def open(self) -> None:
        """Request the events."""
        url = f'{self.base}/events?after={self.event}'
        request = treq.get(url, agent=self.agent, unbuffered=True)
        request.addTimeout(EVENTS_TIMEOUT, self.reactor)
        request.addCallbacks(self.response_received, self.schedule_reconnection)

    def response_received(self, response: Any) -> None:
        """Start to read the body of the response.

        :param response: response of treq.
        """
        if response.code != _OK or self.closed:
            self.schedule_reconnection(response)
            return
        self.receiver = EventReceiver(self)
        self.start_silence_timer()
        response.deliverBody(self.receiver)
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            waiter.callback(None)

    def when_open(self) -> Deferred[None]:
        """Return a `Deferred` that fires when the stream is open.

        It fails with `NotSentError` if the next attempt to connect fails.
        """
        opened: Deferred[None] = Deferred()
        self.waiters.append(opened)
        return opened

    def start_silence_timer(self) -> None:
        """Start the timer that detects a silent stream."""
        self.cancel_silence_timer()
        if not self.closed:
            self.last_line_at = self.reactor.seconds()
            self.timer = self.reactor.callLater(
                EVENTS_TIMEOUT, self.check_silence
            )

    def check_silence(self) -> None:
        """Close a silent stream, or wait for the rest of the timeout.

        Lines are frequent and silence is rare, so a line only records its time
        instead of restarting the timer.
        """
        remaining = self.last_line_at + EVENTS_TIMEOUT - self.reactor.seconds()
        if remaining > 0:
            self.timer = self.reactor.callLater(remaining, self.check_silence)
        else:
            self.abort()

    def cancel_silence_timer(self) -> None:
        """Cancel the timer that detects a silent stream."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def abort(self) -> None:
        """Close a stream that is silent or malformed."""
        if self.receiver is not None:
            self.receiver.abort()

    def line_received(self, line: bytes) -> None:
        """Handle one line of the stream.

        :param line: JSON of an event, empty to show that the worker is alive.
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
            answers = tuple(result.to_answer() for result in event.results)
            self.start_stream.answer_received(event.batch, answers)
        elif event.id:
            self.listener.task_ended(event.to_status())
        elif event.usage:
            usage = tuple(
                TaskUsage(item.id, item.cores, item.memory)
                for item in event.usage
            )
            self.listener.usage_reported(usage)

    def schedule_reconnection(self, reason: object) -> None:
        """Schedule a reconnection that starts at the first event.

        A restarted worker counts its events from 1.

        :param reason: reason why the stream has ended.
        """
        self.cancel_silence_timer()
        self.receiver = None
        self.event = 0
        self.start_stream.fail_pending('stream of events has ended')
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            waiter.errback(
                NotSentError(
                    'event stream is not open', step='events', peer=self.base
                )
            )
        if self.closed:
            return
        self.listener.events_interrupted()
        self.reactor.callLater(EVENTS_RETRY_INTERVAL, self.reopen)

    def reopen(self) -> None:
        """Reconnect unless the stream was closed meanwhile."""
        if not self.closed:
            self.open()

    def close(self) -> None:
        """Stop following the events."""
        self.closed = True
        self.cancel_silence_timer()
        self.abort()


class EventReceiver(LineReceiver):
    """Splits the event stream into lines.

    :param stream: receives the lines.
    """

    delimiter = b'\n'

    def __init__(self, stream: EventStream) -> None:
        """Initialise the receiver of one response."""
        self.MAX_LENGTH = MAX_EVENT_BYTES  # noqa: WPS601
        self.stream = stream
        self.transport: Any = None

    def lineReceived(self, line: bytes) -> None:
        """Pass a line to the stream.

        :param line: line without its line end.
        """
        self.stream.line_received(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Close the connection because a line is too long.

        :param line: start of the line.
        """
        self.abort()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Report the end of the response to the stream.

        :param reason: Twisted's reason for the loss.
        """
        self.stream.schedule_reconnection(reason)

    def abort(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.loseConnection()
