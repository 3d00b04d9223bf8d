"""A persistent HTTP/1.1 client connection without pipelining."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import httptools
import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

#: Maximum length of a response with its headers, in bytes. The largest
#: expected one, from the platform's store, has 1 MB of records in base64.
MAX_RESPONSE_BYTES = 8388608
#: Maximum memory of the headers of a response, in bytes.
MAX_HEADER_MEMORY = 65536
#: Memory that a header takes beside its bytes, in bytes.
HEADER_OVERHEAD = 256


class HttpResponse(NamedTuple):
    """A complete HTTP response."""

    status: int
    body: bytes
    #: Headers by name in lower case.
    headers: dict[str, str]

    def document(self) -> Any:
        """Return the body decoded as JSON.

        :raises msgspec.DecodeError: if the body is not JSON.
        """
        return msgspec.json.decode(self.body)

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string.

        :param name: name of the header, in any case.
        """
        return self.headers.get(name.lower(), '')


class HttpConnection(Protocol):
    """Sends one request at a time and buffers its whole response.

    :param on_idle: called when the response is complete and the connection
        can be reused.
    :param on_closed: called when the connection has closed.
    """

    #: Typed loosely because Twisted's transports share no full interface.
    transport: Any

    def __init__(
        self,
        on_idle: Callable[[HttpConnection], None],
        on_closed: Callable[[HttpConnection], None],
    ) -> None:
        """Create the protocol of a connection that is not open yet."""
        self.on_idle = on_idle
        self.on_closed = on_closed
        #: Fires with the response to the open request; None without one.
        self.pending: Deferred[HttpResponse] | None = None
        #: Time at which the last response was complete, in seconds.
        self.last_response_at: float = 0
        self.reset()

    def reset(self) -> None:
        """Discard the state of the last response."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        #: Memory of the headers, in bytes.
        self.header_memory = 0
        self.body_parts: list[bytes] = []
        self.bytes_received = 0
        self.is_complete = False
        self.status = 0
        #: Whether the server keeps the connection open after the response.
        self.keep_alive = False

    def send(self, request: bytes) -> Deferred[HttpResponse]:
        """Send a request and return a `Deferred` that fires with the response.

        Cancelling it aborts the connection, since the response may still
        arrive and would be taken for that to the next request.

        :param request: encoded request with its headers and body.
        """
        self.pending = Deferred(self.handle_cancelled)
        self.transport.write(request)
        return self.pending

    def handle_cancelled(self, _: Deferred[HttpResponse]) -> None:
        """Abort the connection of a cancelled request."""
        self.pending = None
        self.transport.abortConnection()

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm, which would delay small requests."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        """Parse a part of the response.

        :param data: bytes from the server.
        """
        self.bytes_received += len(data)
        if self.pending is None or self.is_too_long():
            # The response is unsolicited or too long.
            self.transport.abortConnection()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(Failure(error))
            self.transport.abortConnection()
            return
        if self.is_complete:
            self.complete()

    def is_too_long(self) -> bool:
        """Return whether the response takes more memory than allowed."""
        return (
            self.bytes_received > MAX_RESPONSE_BYTES
            or self.header_memory > MAX_HEADER_MEMORY
        )

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; called by the parser.

        :param name: name of the header, in any case.
        :param text: value of the header.
        """
        self.header_memory += len(name) + len(text) + HEADER_OVERHEAD
        if not (self.is_complete or self.header_memory > MAX_HEADER_MEMORY):
            key = name.decode('latin-1').lower()
            self.headers[key] = text.decode('latin-1')

    def on_body(self, part: bytes) -> None:
        """Store a part of the body; called by the parser.

        :param part: part of the body.
        """
        if not self.is_complete:
            self.body_parts.append(part)

    def on_message_begin(self) -> None:
        """Prevent reuse after an unsolicited response; called by the parser."""
        if self.is_complete:
            self.keep_alive = False

    def on_message_complete(self) -> None:
        """Record the end of the response; called by the parser."""
        if not self.is_complete:
            self.is_complete = True
            # The parser discards both once this returns.
            self.status = self.parser.get_status_code()
            self.keep_alive = self.parser.should_keep_alive()

    def complete(self) -> None:
        """Release or close the connection, then deliver the response."""
        response = HttpResponse(
            self.status, b''.join(self.body_parts), self.headers
        )
        keep_alive = self.keep_alive
        pending = self.pending
        self.pending = None
        self.reset()
        if keep_alive:
            self.on_idle(self)
        else:
            self.transport.loseConnection()
        if pending is not None and not pending.called:
            pending.callback(response)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Complete or fail the open request.

        :param reason: reason given by Twisted.
        """
        self.on_closed(self)
        if self.pending is None:
            return
        if reason.check(ConnectionDone) and self.is_delimited_by_close():
            self.status = self.parser.get_status_code()
            self.complete()
        elif reason.check(ConnectionDone):
            self.fail(
                Failure(
                    ConnectionLost(
                        'connection closed before the response was complete'
                    )
                )
            )
        else:
            self.fail(reason)

    def is_delimited_by_close(self) -> bool:
        """Return whether the response ends where the connection closes.

        This holds for a response with neither a length nor a transfer
        encoding.
        """
        framing = self.headers.keys() & {'content-length', 'transfer-encoding'}
        return bool(self.headers) and not framing

    def fail(self, reason: Failure) -> None:
        """Fail the open request.

        :param reason: failure with which its `Deferred` fires.
        """
        pending = self.pending
        self.pending = None
        if pending is not None and not pending.called:
            pending.errback(reason)
