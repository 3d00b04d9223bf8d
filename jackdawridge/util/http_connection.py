"""One connection of HTTP/1.1 to a server, for one request at a time."""

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

#: Longest answer with its headers, in bytes: one of the platform's store has
#: at most 1 MB of records, in base64.
MAX_ANSWER_BYTES = 8388608


class Answer(NamedTuple):
    """An answer of HTTP."""

    status: int
    body: bytes
    #: By name in lower case.
    headers: dict[str, str]

    def document(self) -> Any:
        """Return the body as JSON.

        :raises msgspec.DecodeError: if it is none.
        """
        return msgspec.json.decode(self.body)

    def header(self, name: str) -> str:
        """Return a header, or an empty text.

        :param name: of the header.
        """
        return self.headers.get(name.lower(), '')


class HttpConnection(Protocol):
    """Sends a request and reads the whole answer, then is free for the next.

    :param freed: called when the connection can take another request.
    :param closed: called when it has ended.
    """

    #: Typed loosely because Twisted's transports share no full interface.
    transport: Any

    def __init__(
        self,
        freed: Callable[[HttpConnection], None],
        closed: Callable[[HttpConnection], None],
    ) -> None:
        """Prepare a connection that is being opened."""
        self.freed = freed
        self.closed = closed
        #: Fires with the answer to the open request.
        self.answered: Deferred[Answer] | None = None
        #: When the last answer was complete, in seconds.
        self.heard_at: float = 0
        self.reset()

    def reset(self) -> None:
        """Make ready for the next answer."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.parts: list[bytes] = []
        self.received = 0
        self.is_complete = False
        self.status = 0
        #: Whether the server takes another request after this answer.
        self.stays = False

    def ask(self, request: bytes) -> Deferred[Answer]:
        """Send a request and return what fires with the answer.

        A cancelled request ends the connection: its answer may still come.

        :param request: with its headers.
        """
        self.answered = Deferred(self.cancelled)
        self.transport.write(request)
        return self.answered

    def cancelled(self, _: Deferred[Answer]) -> None:
        """End the connection of a request that was given up."""
        self.answered = None
        self.transport.abortConnection()

    def connectionMade(self) -> None:
        """Send small requests at once."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        """Read a part of the answer.

        :param data: from the server.
        """
        self.received += len(data)
        if self.answered is None or self.received > MAX_ANSWER_BYTES:
            # Nothing was asked, or there is no end to the answer.
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

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header, for the parser.

        :param name: in any case.
        :param text: of the header.
        """
        if not self.is_complete:
            key = name.decode('latin-1').lower()
            self.headers[key] = text.decode('latin-1')

    def on_body(self, part: bytes) -> None:
        """Take a part of the body, for the parser.

        :param part: of the body.
        """
        if not self.is_complete:
            self.parts.append(part)

    def on_message_begin(self) -> None:
        """End the connection after an answer that nobody asked for."""
        if self.is_complete:
            self.stays = False

    def on_message_complete(self) -> None:
        """Take note of the end of the answer, for the parser."""
        if not self.is_complete:
            self.is_complete = True
            # The parser forgets both once this returns.
            self.status = self.parser.get_status_code()
            self.stays = self.parser.should_keep_alive()

    def complete(self) -> None:
        """Pass the answer on and make the connection free."""
        answer = Answer(self.status, b''.join(self.parts), self.headers)
        stays = self.stays
        answered = self.answered
        self.answered = None
        self.reset()
        if stays:
            self.freed(self)
        else:
            self.transport.loseConnection()
        if answered is not None and not answered.called:
            answered.callback(answer)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the open request.

        :param reason: of Twisted.
        """
        self.closed(self)
        if self.answered is None:
            return
        if reason.check(ConnectionDone) and self.ends_with_connection():
            self.status = self.parser.get_status_code()
            self.complete()
        elif reason.check(ConnectionDone):
            self.fail(Failure(ConnectionLost('closed before the answer')))
        else:
            self.fail(reason)

    def ends_with_connection(self) -> bool:
        """Return whether the answer has no length but ends here."""
        framed = self.headers.keys() & {'content-length', 'transfer-encoding'}
        return bool(self.headers) and not framed

    def fail(self, reason: Failure) -> None:
        """End the open request without an answer.

        :param reason: why.
        """
        answered = self.answered
        self.answered = None
        if answered is not None and not answered.called:
            answered.errback(reason)
