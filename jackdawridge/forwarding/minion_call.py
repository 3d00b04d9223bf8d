"""One request at the minion, from its start to the end of the response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from jackdawridge.forwarding.caller_requests import end_to_end_headers
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
    """Receives the results of requests at the minion."""

    def load(self) -> Load:
        """Return the current load, which every reply carries."""

    def transmit(self, entry: EntryId, message: Any) -> None:
        """Send a message to an entry; drop it if the entry is not linked."""

    def request_not_sent(self, key: RequestKey, reason: str) -> None:
        """Handle a request that never reached the minion."""

    def response_lost(self, key: RequestKey, reason: str) -> None:
        """Handle the loss of a response."""

    def response_received(self, key: RequestKey, response: Response) -> None:
        """Handle a complete response that fits into one message."""

    def response_streamed(self, key: RequestKey, part: ResponseBody) -> None:
        """Handle the last part of a streamed response."""


class MinionCall:
    """Sends one request to the minion and its response to the entry.

    A response of up to `BODY_PART_BYTES` is sent as one message. A longer one
    is streamed in parts as far as the entry grants credit.

    :param listener: receives the result of the request.
    :param key: key of the request.
    :param request: request as the entry sent it.
    """

    def __init__(
        self, listener: CallListener, key: RequestKey, request: Request
    ) -> None:
        """Initialise without sending the request."""
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
        """Send the request to the minion.

        :param client: HTTP client for the minion.
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
        """Ask the entry for the next part of the request body.

        :param offset: offset of the part in bytes.
        """
        credit = Credit(self.key.number, offset)
        self.listener.transmit(self.key.entry, credit)

    def handle_response(self, response: Any) -> None:
        """Handle the head of the response and read its body.

        :param response: Twisted response without its body.
        """
        self.response = response
        self.sink = ResponseSink(self.handle_body_part, self.handle_body_end)
        response.deliverBody(self.sink)

    def handle_failure(self, failure: Failure) -> None:
        """Report a failed request, by whether the minion may have run it.

        :param failure: failure of the HTTP client.
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
        """Handle a part of the response body.

        :param part: part of the body.
        """
        if self.abandoned:
            return
        self.parts.append(part)
        self.buffered += len(part)
        if self.streaming or self.buffered > BODY_PART_BYTES:
            self.stream()

    def stream(self) -> None:
        """Send the buffered body, and stop reading when credit is used up."""
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
        """Extend the credit and resume reading from the minion.

        :param offset: offset in bytes up to which the body may be sent.
        """
        paused = self.sent >= self.credit
        self.credit = max(self.credit, offset)
        if paused and self.sent < self.credit and self.sink is not None:
            self.sink.transport.resumeProducing()

    def abandon(self) -> None:
        """Read and discard the rest of a response that is no longer needed."""
        self.abandoned = True
        if self.streaming:
            self.add_credit(self.sent + 1)

    def stop(self) -> None:
        """Stop the request by closing its connection to the minion."""
        if self.sink is not None:
            self.sink.transport.loseConnection()
        elif self.responded is not None:
            self.responded.cancel()

    def handle_body_end(self, intact: bool) -> None:
        """Handle the end of the response body.

        :param intact: whether the body is complete.
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
                self.key,
                'the minion closed the connection during the response',
            )

    def send(self, message: Response | ResponseBody) -> None:
        """Send a message to the entry.

        :param message: response, or a part of its body.
        """
        self.listener.transmit(self.key.entry, message)

    def make_response(self, body: bytes, *, last: bool) -> Response:
        """Return the message with the head of the response.

        :param body: first part of the body.
        :param last: whether this is the whole body.
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
        """Empty the buffer and return the body parts in it."""
        body = b''.join(self.parts)
        self.parts.clear()
        self.buffered = 0
        return body
