"""HTTP connections that handle costly input in turns."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from jackdawridge.listening.chunked import ChunkedDecoder
from jackdawridge.listening.refusing_channel import RefusingChannel

if TYPE_CHECKING:
    from twisted.web.http_headers import Headers

#: Number of bytes that are read from a connection at a time, and of unsent
#: bytes above which none are read.
BUFFER_BYTES = 16384


class PacedChannel(RefusingChannel):
    """A connection that takes turns with the others of its process.

    In each turn it begins one pipelined request, or decodes some chunks of a
    body, so that no client keeps the others waiting. The next request begins
    once the answers before it have been sent, so that unread answers do not
    pile up.
    """

    def __init__(self) -> None:
        """Start without a pipelined request."""
        super().__init__()
        #: Whether received chunks of a body wait for the next turn.
        self.is_decoding = False
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
            self.request_turn()
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
            self.request_turn()
        else:
            super().resumeProducing()

    def rawDataReceived(self, data: bytes) -> None:
        """Decode a part of a body; read no more of it before the next turn.

        :param data: part of a body, or what came behind an open request.
        """
        super().rawDataReceived(data)
        decoder = self._transferDecoder
        self.is_decoding = (
            isinstance(decoder, ChunkedDecoder) and decoder.is_interrupted
        )
        if self.is_decoding:
            self.paused = True
            transport: Any = self.transport
            transport.pauseProducing()
            self.request_turn()

    def request_turn(self) -> None:
        """Take part in the next turns, unless answers wait to be sent."""
        if not (self._waitingForTransport or self.is_closed):
            self.factory.limits.turns.add(self)

    def take_turn(self) -> None:
        """Begin the next pipelined request or go on with a body; read on.

        While a request is being answered the end of the connection must be
        noticed.
        """
        transport: Any = self.transport
        is_refused = self.is_decoding and transport.disconnecting
        if self._waitingForTransport or is_refused:
            return
        self.paused = False
        if self.is_decoding:
            self.rawDataReceived(b'')
        else:
            self.dataReceived(b'')
        is_closing = self.is_closed or transport.disconnecting
        if not (self.paused or self._waitingForTransport or is_closing):
            transport.resumeProducing()

    def abort(self) -> None:
        """Close the connection without sending what is left."""
        transport: Any = self.transport
        transport.abortConnection()

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
        self.factory.limits.turns.discard(self)
        self._buffer = b''
        self._dataBuffer = []
        self._transferDecoder = None
