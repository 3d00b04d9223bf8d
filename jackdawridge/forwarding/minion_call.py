"""One request at a minion, from its start to the end of the response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from jackdawridge.forwarding.callers import end_to_end_headers
from jackdawridge.forwarding.messages import (
    BODY_PART_BYTES,
    BODY_WINDOW_BYTES,
    Credit,
    Header,
    Response,
    ResponseBody,
)
from jackdawridge.forwarding.minion_client import (
    RequestBodySource,
    ResponseSink,
    was_not_sent,
)

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from jackdawridge.forwarding.identity import EntryId, RequestKey
    from jackdawridge.forwarding.messages import Load, Request
    from jackdawridge.forwarding.minion_client import MinionClient

_MILLISECONDS = 1000


class CallListener(Protocol):
    """Is told what becomes of requests at the minion."""

    def load(self) -> Load:
        """Return the load for replies."""

    def transmit(self, entry: EntryId, message: Any) -> None:
        """Send a message to an entry if there is a link."""

    def request_not_sent(self, key: RequestKey, reason: str) -> None:
        """Note that the minion never saw a request."""

    def response_lost(self, key: RequestKey, reason: str) -> None:
        """Note that the response to a request is lost."""

    def response_received(self, key: RequestKey, response: Response) -> None:
        """Note that a response is whole."""

    def response_streamed(self, key: RequestKey, part: ResponseBody) -> None:
        """Note that the last part of a long response is there."""


class MinionCall:
    """Passes one request to the minion and its response back.

    A short response is sent as one message. A longer one is sent in parts,
    as far as the entry gives credit.

    :param listener: is told what becomes of the request.
    :param key: of the request.
    :param request: as the entry sent it.
    """

    def __init__(
        self, listener: CallListener, key: RequestKey, request: Request
    ) -> None:
        """Prepare without sending."""
        self.listener = listener
        self.key = key
        self.request = request
        self.source: RequestBodySource | None = None
        self.responded: Deferred[Any] | None = None
        self.response: Any = None
        self.sink: Any = None
        self.parts: list[bytes] = []
        self.buffered = 0
        self.streaming = False
        self.sent = 0
        self.credit = BODY_WINDOW_BYTES
        self.abandoned = False

    def start(self, client: MinionClient) -> None:
        """Send the request.

        :param client: of the minion.
        """
        request = self.request
        if request.length:
            self.source = RequestBodySource(
                request.length, self.request_body_part
            )
            self.source.add_part(0, request.body)
        deadline = str(int(request.remaining * _MILLISECONDS))
        headers = (*request.headers, Header('X-Deadline-Ms', deadline))
        self.responded = client.send(
            request.method, request.path, headers, self.source
        )
        self.responded.addCallbacks(self.handle_response, self.handle_failure)

    def request_body_part(self, offset: int) -> None:
        """Ask the entry for a part of the request's body.

        :param offset: of the part.
        """
        credit = Credit(self.key.number, offset)
        self.listener.transmit(self.key.entry, credit)

    def handle_response(self, response: Any) -> None:
        """Take the head of the response.

        :param response: of Twisted.
        """
        self.response = response
        self.sink = ResponseSink(self.handle_body_part, self.handle_body_end)
        response.deliverBody(self.sink)

    def handle_failure(self, failure: Failure) -> None:
        """Tell whether a request that failed may have run.

        :param failure: of Twisted.
        """
        reason = failure.getErrorMessage()
        if was_not_sent(failure):
            self.listener.request_not_sent(
                self.key, f'minion not reached: {reason}'
            )
        else:
            self.listener.response_lost(
                self.key, f'minion did not answer: {reason}'
            )

    def handle_body_part(self, part: bytes) -> None:
        """Take a part of the response's body.

        :param part: of the body.
        """
        if self.abandoned:
            return
        self.parts.append(part)
        self.buffered += len(part)
        if self.streaming or self.buffered > BODY_PART_BYTES:
            self.stream()

    def stream(self) -> None:
        """Send what is buffered, and pause the minion without credit."""
        if not self.streaming:
            self.streaming = True
            self.send(self.make_response(b'', last=False))
        body = self.drain_buffer()
        part = ResponseBody(self.key.number, self.sent, body, False, True)
        self.sent += len(body)
        self.send(part)
        if self.sent >= self.credit:
            self.sink.transport.pauseProducing()

    def add_credit(self, offset: int) -> None:
        """Let the minion continue.

        :param offset: up to which the entry takes the body.
        """
        paused = self.sent >= self.credit
        self.credit = max(self.credit, offset)
        if paused and self.sent < self.credit and self.sink is not None:
            self.sink.transport.resumeProducing()

    def abandon(self) -> None:
        """Receive the rest of a response that nobody wants."""
        self.abandoned = True
        if self.streaming:
            self.add_credit(self.sent + 1)

    def stop(self) -> None:
        """Break the request off."""
        if self.sink is not None:
            self.sink.transport.loseConnection()
        elif self.responded is not None:
            self.responded.cancel()

    def handle_body_end(self, intact: bool) -> None:
        """Take the end of the response's body.

        :param intact: whether the body is whole.
        """
        if self.streaming:
            body = self.drain_buffer()
            part = ResponseBody(self.key.number, self.sent, body, True, intact)
            self.listener.response_streamed(self.key, part)
        elif intact:
            response = self.make_response(self.drain_buffer(), last=True)
            self.listener.response_received(self.key, response)
        else:
            self.listener.response_lost(
                self.key, 'the minion broke the response off'
            )

    def send(self, message: Response | ResponseBody) -> None:
        """Send a message to the entry.

        :param message: part of the response.
        """
        self.listener.transmit(self.key.entry, message)

    def make_response(self, body: bytes, *, last: bool) -> Response:
        """Return the message that begins the response.

        :param body: the first part.
        :param last: whether it is the whole.
        """
        headers = end_to_end_headers(self.response.headers.getAllRawHeaders())
        if not last and isinstance(self.response.length, int):
            length = Header('Content-Length', str(self.response.length))
            headers = (*headers, length)
        return Response(
            self.key.number,
            self.response.code,
            headers,
            body,
            last,
            self.listener.load(),
        )

    def drain_buffer(self) -> bytes:
        """Return what has arrived and was not sent."""
        body = b''.join(self.parts)
        self.parts.clear()
        self.buffered = 0
        return body
