"""HTTP connections that serve one pipelined request at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.http import HTTPChannel

if TYPE_CHECKING:
    from twisted.web.http_headers import Headers

#: Number of bytes that are read from a connection at a time, and of unsent
#: bytes above which none are read.
BUFFER_BYTES = 16384


class PacedChannel(HTTPChannel):
    """A connection that begins one pipelined request in each turn.

    The next request begins once the answers before it have been sent, so that
    no client keeps the others waiting or lets unread answers pile up.
    """

    def __init__(self) -> None:
        """Start without a pipelined request."""
        super().__init__()
        #: Call that continues with the next pipelined request.
        self.continuation: Any = None
        #: Whether input is ignored, since the connection is lost or evicted.
        self.is_closed = False

    def connectionMade(self) -> None:
        """Limit what is read at a time."""
        transport: Any = self.transport
        transport.bufferSize = BUFFER_BYTES
        super().connectionMade()

    def requestDone(self, request: Any) -> None:
        """Postpone the next pipelined request to another turn.

        :param request: the request whose answer is written.
        """
        self.paused = True
        super().requestDone(request)
        self.paused = bool(self._buffer and self.persistent)
        if self.paused:
            self.schedule_continuation()
        if self.paused or self._waitingForTransport:
            transport: Any = self.transport
            transport.pauseProducing()

    def loseConnection(self) -> None:
        """Close the connection even if its client does not read.

        It is aborted some time after the idle timeout, for which Twisted has no
        timer while a request is being answered.
        """
        self.setTimeout(self.factory.timeOut)
        super().loseConnection()

    def resumeProducing(self) -> None:
        """Continue with pipelined requests when the answers have been sent."""
        if self.paused:
            self._waitingForTransport = False
            self.schedule_continuation()
        else:
            super().resumeProducing()

    def schedule_continuation(self) -> None:
        """Continue in the next turn, unless answers wait to be sent."""
        if self.continuation is None and not self._waitingForTransport:
            self.continuation = self.callLater(0, self.continue_input)

    def continue_input(self) -> None:
        """Begin the next pipelined request, and read on.

        While it is being answered the end of the connection must be noticed.
        """
        self.continuation = None
        if self._waitingForTransport:
            return
        self.paused = False
        self.dataReceived(b'')
        transport: Any = self.transport
        is_closing = self.is_closed or transport.disconnecting
        if not (self.paused or self._waitingForTransport or is_closing):
            transport.resumeProducing()

    def writeHeaders(
        self, version: bytes, code: bytes, reason: bytes, headers: Headers
    ) -> None:
        """Write the head of an answer in one piece.

        An answer that its client does not read would otherwise take several
        times its size.

        :param version: HTTP version.
        :param code: status code.
        :param reason: reason phrase.
        :param headers: headers of the answer.
        """
        lines = [b'%b %b %b\r\n' % (version, code, reason)]
        for name, texts in headers.getAllRawHeaders():
            lines.extend(b'%b: %b\r\n' % (name, text) for text in texts)
        self.write(b'%b\r\n' % b''.join(lines))

    def discard_input(self) -> None:
        """Release what has been received and is not part of a request.

        The decoder refers to the connection. Until the garbage collector found
        this cycle, both and their buffers would stay in memory.
        """
        self.is_closed = True
        if self.continuation is not None:
            self.continuation.cancel()
            self.continuation = None
        self._buffer = b''
        self._dataBuffer = []
        self._transferDecoder = None
