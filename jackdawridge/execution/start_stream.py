"""The stream of starts to a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.web.client import Agent
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from jackdawridge.execution.worker import (
    AnswerLostError,
    NotSentError,
    StartAnswer,
)
from jackdawridge.util.clock import make_loop

if TYPE_CHECKING:
    from twisted.python.failure import Failure

#: Time to connect and for the answer to a batch, in seconds.
CALL_TIMEOUT = 5.0
#: Interval of the empty lines that keep an idle stream open, in seconds.
KEEP_ALIVE_INTERVAL = 15.0

_HEADERS = Headers({'Content-Type': ['application/x-ndjson']})
_STEP = 'start'


class PendingBatch(NamedTuple):
    """A batch of starts whose answer is awaited."""

    written_at: float
    answered: Deferred[tuple[StartAnswer, ...]]


@implementer(IBodyProducer)
class StreamBody:
    """The body of one request, which ends with its connection.

    :param stream: told when the body can be written.
    """

    length = UNKNOWN_LENGTH

    def __init__(self, stream: StartStream) -> None:
        """Prepare for one request."""
        self.stream = stream
        self.consumer: Any = None
        self.produced: Deferred[None] = Deferred()

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Take the connection; the `Deferred` never fires.

        :param consumer: takes the body.
        """
        self.consumer = consumer
        self.stream.opened(self)
        return self.produced

    def pauseProducing(self) -> None:
        """Do nothing: the worker's room bounds what is written."""

    def resumeProducing(self) -> None:
        """Do nothing."""

    def stopProducing(self) -> None:
        """Let go of the connection, which has ended."""
        self.consumer = None


class StartStream:
    """Writes batches of starts into the body of one long request.

    The answers come on the stream of events. A batch that was written and is
    not answered when the stream ends may have been started.

    :param reactor: Twisted's reactor.
    :param base: of the worker's URLs.
    """

    def __init__(self, reactor: Any, base: str) -> None:
        """Prepare without connecting."""
        self.reactor = reactor
        self.base = base
        # Each request has a new connection, since one that was kept may have
        # been closed by the worker meanwhile.
        make_agent: Any = Agent
        self.agent: Any = make_agent(reactor, connectTimeout=CALL_TIMEOUT)
        self.connection: StreamBody | None = None
        self.request: Any = None
        #: Fire as soon as the stream is open.
        self.waiters: list[Deferred[None]] = []
        #: Batches without an answer by the id of their first task, the
        #: oldest first.
        self.pending: dict[str, PendingBatch] = {}
        self.last_answer_at: float = 0
        self.timer: Any = None
        self.keep_alive_loop = make_loop(reactor, self.keep_alive)

    @property
    def is_open(self) -> bool:
        """Whether batches can be written."""
        return (
            self.connection is not None and self.connection.consumer is not None
        )

    def open(self) -> Deferred[None]:
        """Return a `Deferred` that fires when batches can be written.

        It fails with `NotSentError`.
        """
        opened: Deferred[None] = Deferred()
        self.waiters.append(opened)
        if self.connection is None:
            self.connect()
        return opened

    def connect(self) -> None:
        """Send the head of a request."""
        connection = StreamBody(self)
        self.connection = connection
        self.request = self.agent.request(
            b'POST',
            f'{self.base}/tasks/stream'.encode(),
            _HEADERS,
            connection,
        )
        self.request.addBoth(self.request_ended, connection)

    def opened(self, connection: StreamBody) -> None:
        """Tell those who wait that batches can be written.

        :param connection: that can be written to.
        """
        if not self.keep_alive_loop.running:
            self.keep_alive_loop.start(KEEP_ALIVE_INTERVAL, now=False)
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            waiter.callback(None)

    def request_ended(
        self, reason: Failure | object, connection: StreamBody
    ) -> None:
        """Give up what was not answered.

        :param reason: why the request has ended.
        :param connection: of the request.
        """
        if connection is not self.connection:
            return
        self.connection = None
        if self.keep_alive_loop.running:
            self.keep_alive_loop.stop()
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            waiter.errback(
                NotSentError(str(reason), step=_STEP, peer=self.base)
            )
        self.fail_pending(f'stream of starts has ended: {reason}')

    def write(
        self, name: str, line: bytes
    ) -> Deferred[tuple[StartAnswer, ...]]:
        """Write a batch and return its answer.

        :param name: of the batch, which its answer has.
        :param line: the batch as JSON with a line end.
        """
        connection = self.connection
        if connection is None or connection.consumer is None:
            raise NotSentError('stream is closed', step=_STEP, peer=self.base)
        answered: Deferred[tuple[StartAnswer, ...]] = Deferred()
        self.pending[name] = PendingBatch(self.reactor.seconds(), answered)
        connection.consumer.write(line)
        self.arm_timer()
        return answered

    def answer(self, name: str, answers: tuple[StartAnswer, ...]) -> None:
        """Take the answer to a batch.

        :param name: of the batch; others than ours are passed over.
        :param answers: to its starts.
        """
        batch = self.pending.pop(name, None)
        if batch is not None:
            self.last_answer_at = self.reactor.seconds()
            batch.answered.callback(answers)

    def fail_pending(self, reason: str) -> None:
        """Give up all batches that were not answered.

        :param reason: for the error.
        """
        pending = self.pending
        self.pending = {}
        for batch in pending.values():
            self.fail_batch(batch, reason)

    def fail_batch(self, batch: PendingBatch, reason: str) -> None:
        """Say that the answer to a batch was lost.

        :param batch: that was written.
        :param reason: for the error.
        """
        batch.answered.errback(
            AnswerLostError(reason, step=_STEP, peer=self.base)
        )

    def arm_timer(self) -> None:
        """Wait for the time of the oldest batch, if any, to be over."""
        if self.pending and (self.timer is None or not self.timer.active()):
            oldest = next(iter(self.pending.values()))
            due = oldest.written_at + CALL_TIMEOUT - self.reactor.seconds()
            self.timer = self.reactor.callLater(max(0, due), self.expire)

    def expire(self) -> None:
        """Give up the batches whose time is over."""
        horizon = self.reactor.seconds() - CALL_TIMEOUT
        overdue = [
            name
            for name, batch in self.pending.items()
            if batch.written_at <= horizon
        ]
        for name in overdue:
            batch = self.pending.pop(name)
            if self.last_answer_at < batch.written_at:
                self.abort()
            self.fail_batch(batch, 'no answer in time')
        self.arm_timer()

    def keep_alive(self) -> None:
        """Write an empty line."""
        if self.connection is not None and self.connection.consumer is not None:
            self.connection.consumer.write(b'\n')

    def abort(self) -> None:
        """End the request and its connection."""
        if self.request is not None and not self.request.called:
            self.request.cancel()

    def close(self) -> None:
        """End the request and stop waiting."""
        self.abort()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
