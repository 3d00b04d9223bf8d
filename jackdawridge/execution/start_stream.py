"""Stream of starts to a worker over HTTP."""

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

#: Timeout of connecting and of the answer to a batch, in seconds.
CALL_TIMEOUT = 5.0
#: Interval between the empty lines that keep an idle stream open, in seconds.
KEEP_ALIVE_INTERVAL = 15.0

_HEADERS = Headers({'Content-Type': ['application/x-ndjson']})
_STEP = 'start'


class PendingBatch(NamedTuple):
    """A batch of starts that was not answered yet."""

    written_at: float
    answer: Deferred[tuple[StartAnswer, ...]]


@implementer(IBodyProducer)
class StreamBody:
    """Streaming body of one request, which ends with its connection.

    :param stream: notified when the body can be written.
    """

    length = UNKNOWN_LENGTH

    def __init__(self, stream: StartStream) -> None:
        """Initialise the body of one request."""
        self.stream = stream
        self.consumer: Any = None
        self.produced: Deferred[None] = Deferred()

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Keep the consumer; the returned `Deferred` never fires.

        :param consumer: connection that sends the body.
        """
        self.consumer = consumer
        self.stream.body_ready(self)
        return self.produced

    def pauseProducing(self) -> None:
        """Ignore the pause: the worker's room bounds what is written."""

    def resumeProducing(self) -> None:
        """Ignore the end of a pause."""

    def stopProducing(self) -> None:
        """Drop the consumer, whose connection has ended."""
        self.consumer = None


class StartStream:
    """Writes batches of starts into the body of one long request.

    The answers arrive on the event stream. A batch that is unanswered when
    this stream ends may have been started.

    :param reactor: Twisted's reactor.
    :param base: base of the worker's URLs.
    """

    def __init__(self, reactor: Any, base: str) -> None:
        """Initialise the stream without connecting."""
        self.reactor = reactor
        self.base = base
        # Each request uses a new connection, because the worker may have
        # closed an idle one meanwhile.
        make_agent: Any = Agent
        self.agent: Any = make_agent(reactor, connectTimeout=CALL_TIMEOUT)
        self.body: StreamBody | None = None
        self.request: Any = None
        #: Fired as soon as the stream is open.
        self.waiters: list[Deferred[None]] = []
        #: Unanswered batches by the id of their first task, the oldest first.
        self.pending: dict[str, PendingBatch] = {}
        self.last_answer_at: float = 0
        self.timer: Any = None
        self.keep_alive_loop = make_loop(reactor, self.keep_alive)

    @property
    def is_open(self) -> bool:
        """Whether batches can be written."""
        return self.body is not None and self.body.consumer is not None

    def open(self) -> Deferred[None]:
        """Return a `Deferred` that fires when batches can be written.

        It fails with `NotSentError` if the request fails.
        """
        opened: Deferred[None] = Deferred()
        self.waiters.append(opened)
        if self.body is None:
            self.connect()
        return opened

    def connect(self) -> None:
        """Send the head of a request."""
        body = StreamBody(self)
        self.body = body
        self.request = self.agent.request(
            b'POST',
            f'{self.base}/tasks/stream'.encode(),
            _HEADERS,
            body,
        )
        self.request.addBoth(self.request_ended, body)

    def body_ready(self, body: StreamBody) -> None:
        """Fire the `Deferred`s that wait for an open stream.

        :param body: body that can be written to.
        """
        if not self.keep_alive_loop.running:
            self.keep_alive_loop.start(KEEP_ALIVE_INTERVAL, now=False)
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            waiter.callback(None)

    def request_ended(self, reason: Failure | object, body: StreamBody) -> None:
        """Fail the waiters and all unanswered batches.

        :param reason: reason why the request has ended.
        :param body: body of the request.
        """
        if body is not self.body:
            return
        self.body = None
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
        """Write a batch and return a `Deferred` of its answer.

        The `Deferred` fails with `AnswerLostError`.

        :param name: name of the batch, which its answer repeats.
        :param line: the batch as JSON with a line end.
        :raises NotSentError: if the stream is not open.
        """
        body = self.body
        if body is None or body.consumer is None:
            raise NotSentError(
                'stream of starts is not open', step=_STEP, peer=self.base
            )
        answer: Deferred[tuple[StartAnswer, ...]] = Deferred()
        self.pending[name] = PendingBatch(self.reactor.seconds(), answer)
        body.consumer.write(line)
        self.arm_timer()
        return answer

    def answer_received(
        self, name: str, answers: tuple[StartAnswer, ...]
    ) -> None:
        """Fire the `Deferred` of a batch with its answer.

        :param name: name of the batch; an unknown one is ignored.
        :param answers: answers to the starts of the batch.
        """
        batch = self.pending.pop(name, None)
        if batch is not None:
            self.last_answer_at = self.reactor.seconds()
            batch.answer.callback(answers)

    def fail_pending(self, reason: str) -> None:
        """Fail all unanswered batches.

        :param reason: message of the error.
        """
        pending = self.pending
        self.pending = {}
        for batch in pending.values():
            self.fail_batch(batch, reason)

    def fail_batch(self, batch: PendingBatch, reason: str) -> None:
        """Fail a batch with `AnswerLostError`.

        :param batch: batch that was written.
        :param reason: message of the error.
        """
        batch.answer.errback(
            AnswerLostError(reason, step=_STEP, peer=self.base)
        )

    def arm_timer(self) -> None:
        """Set the timer for the oldest unanswered batch, if there is one."""
        if self.pending and (self.timer is None or not self.timer.active()):
            oldest = next(iter(self.pending.values()))
            remaining = (
                oldest.written_at + CALL_TIMEOUT - self.reactor.seconds()
            )
            self.timer = self.reactor.callLater(max(0, remaining), self.expire)

    def expire(self) -> None:
        """Fail the batches that timed out.

        The stream is closed if no answer has arrived since such a batch was
        written.
        """
        cutoff = self.reactor.seconds() - CALL_TIMEOUT
        overdue = [
            name
            for name, batch in self.pending.items()
            if batch.written_at <= cutoff
        ]
        for name in overdue:
            batch = self.pending.pop(name)
            if self.last_answer_at < batch.written_at:
                self.abort()
            self.fail_batch(batch, 'worker did not answer in time')
        self.arm_timer()

    def keep_alive(self) -> None:
        """Write an empty line."""
        if self.body is not None and self.body.consumer is not None:
            self.body.consumer.write(b'\n')

    def abort(self) -> None:
        """Cancel the request, which closes its connection."""
        if self.request is not None and not self.request.called:
            self.request.cancel()

    def close(self) -> None:
        """Cancel the request and the timer."""
        self.abort()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
