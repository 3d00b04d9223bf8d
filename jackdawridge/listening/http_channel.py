"""HTTP connections that limit the size and duration of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.server import Request

from jackdawridge.listening.bodies import SMALL_BODY_BYTES, BodyReservation
from jackdawridge.listening.chunked import ChunkedDecoder
from jackdawridge.listening.paced_channel import PacedChannel
from jackdawridge.listening.refusals import Refusal
from jackdawridge.wire.link import CONNECTION_DONE

if TYPE_CHECKING:
    from twisted.python.failure import Failure

#: Longest body of a request, in bytes.
MAX_BODY_BYTES = 2097152
#: Time within which a complete request has to arrive, in seconds.
REQUEST_TIMEOUT = 15.0
#: Memory that a header takes beside its bytes, in bytes.
HEADER_OVERHEAD = 256

_TOO_LARGE = b'HTTP/1.1 413 Content Too Large\r\n'
_TIMED_OUT = b'HTTP/1.1 408 Request Timeout\r\n'
_NO_MEMORY = b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n'
_CLOSING_HEADERS = (
    b'X-Jackdawridge-Outcome: not-run\r\n'
    b'Content-Length: 0\r\n'
    b'Connection: close\r\n'
    b'\r\n'
)


class BoundedRequest(Request):
    """A request whose body is limited by `MAX_BODY_BYTES` and `BodyMemory`."""

    def __init__(self, channel: Any, *args: Any, **options: Any) -> None:
        """Start with an empty body."""
        super().__init__(channel, *args, **options)
        self.reservation = BodyReservation(channel.factory.body_memory)
        self.refused = False

    def gotLength(self, length: int | None) -> None:
        """Refuse a request whose `Content-Length` is over `MAX_BODY_BYTES`.

        :param length: the announced length in bytes, None for a chunked body.
        """
        # Twisted would keep a long body in a file, but there is no disk. With a
        # length of 0 it keeps any body in memory.
        super().gotLength(0)
        if length is not None and length > MAX_BODY_BYTES:
            self.refuse(Refusal.body_size, _TOO_LARGE)

    def handleContentChunk(self, data: bytes) -> None:
        """Append a chunk to the body, or refuse the request if it is too long.

        :param data: the received chunk.
        """
        if self.refused:
            return
        fits = self.reservation.reserve(len(data))
        if self.reservation.length > MAX_BODY_BYTES:
            self.refuse(Refusal.body_size, _TOO_LARGE)
        elif fits:
            super().handleContentChunk(data)
        else:
            self.refuse(Refusal.body_memory, _NO_MEMORY)

    def process(self) -> None:
        """Serve the request unless it was refused; a costly one in its turn.

        A long body takes long to decode.
        """
        if self.refused:
            return
        listener: Any = self.channel.factory
        is_long = self.reservation.length > SMALL_BODY_BYTES
        if is_long or listener.serves_in_turns:
            listener.limits.turns.request(self)
        else:
            self.take_turn()

    def take_turn(self) -> None:
        """Serve the request."""
        Request.process(self)

    def finish(self) -> None:
        """End the answer and release the memory of the body."""
        self.reservation.release()
        super().finish()

    def connectionLost(self, reason: Failure) -> None:
        """Release the memory of the body.

        :param reason: why the connection was lost.
        """
        self.reservation.release()
        self.channel.factory.limits.turns.cancel(self)
        super().connectionLost(reason)

    def refuse(self, kind: Refusal, status: bytes) -> None:
        """Answer with an error and close the connection.

        :param kind: why the request is refused.
        :param status: the first lines of the answer, from the status line on.
        """
        if not self.refused:
            self.refused = True
            self.reservation.release()
            channel: Any = self.channel
            channel.reject(kind, status)


class BoundedChannel(PacedChannel):
    """A connection on which requests have to arrive in `REQUEST_TIMEOUT`.

    What it holds is counted by the `ConnectionMemory` of its listener.
    """

    def __init__(self) -> None:
        """Start without a request, and so without a timer."""
        super().__init__()
        self.timer: Any = None
        #: Local time after which the request was sent, in seconds.
        self.received_after = float('-inf')
        #: Local time after which the last input was sent, in seconds.
        self.read_after = self.received_after
        #: Local time since which no request was completed, in seconds.
        self.waiting_since = self.received_after
        #: Memory of the head of the request that is being answered, in bytes.
        self.head_size = 0

    def dataReceived(self, data: bytes) -> None:
        """Start the timer with the first bytes of a request.

        :param data: the received bytes.
        """
        if not self.is_closed:
            if data and not self.paused:
                self.read_after = self.factory.sent_after()
            if self.timer is None:
                self.received_after = self.read_after
            self.start_timer()
            self.factory.input_read()
            super().dataReceived(data)
            if not (self._buffer or self.requests):
                # No request has begun: it was a blank line.
                self.stop_timer()
            self.count_memory()

    def allHeadersReceived(self) -> None:
        """Replace the decoder of a chunked body by one without trailers."""
        super().allHeadersReceived()
        if self.length is None and self._transferDecoder is not None:
            self._transferDecoder = ChunkedDecoder(
                self.requests[-1].handleContentChunk, self._finishRequestBody
            )

    def allContentReceived(self) -> None:
        """Stop the timer of a request that has arrived completely."""
        self.stop_timer()
        self.head_size = measure_head(self)
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:
        """Release the memory of the head of an answered request.

        :param request: the request whose answer is written.
        """
        self.head_size = 0
        self.waiting_since = self.factory.listen_reactor.seconds()
        if self.timer is not None:
            # What came behind the request had to wait for its answer.
            self.timer.reset(REQUEST_TIMEOUT)
        super().requestDone(request)
        self.count_memory()

    def connectionMade(self) -> None:
        """Begin to wait for a request."""
        self.waiting_since = self.factory.listen_reactor.seconds()
        self.factory.input_read()
        super().connectionMade()

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """Stop the timers and remove the connection from the listener.

        :param reason: why the connection was lost.
        """
        self.stop_timer()
        self.factory.input_read()
        self.factory.channels.discard(self)
        super().connectionLost(reason)
        self.discard_input()

    def discard_input(self) -> None:
        """Release what has been received and is not part of a request."""
        self.factory.limits.memory.release(self)
        super().discard_input()

    def start_timer(self) -> None:
        """Start the timer of a request unless it runs."""
        if self.timer is None:
            self.timer = self.callLater(REQUEST_TIMEOUT, self.request_timed_out)

    def stop_timer(self) -> None:
        """Cancel the timer if it is running."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def request_timed_out(self) -> None:
        """Close a connection whose request has not arrived in time.

        What has come behind another request waits for its answer first, and a
        refusal in its place would say that the other request has not run.
        """
        self.timer = None
        transport: Any = self.transport
        is_waiting = self.paused and not self.is_decoding
        if self._handlingRequest or is_waiting:
            self.start_timer()
        elif not transport.disconnecting:
            self.reject(Refusal.request_time, _TIMED_OUT)

    def count_memory(self) -> None:
        """Count what the connection holds; it may be evicted for it."""
        if not self.is_closed:
            self.factory.limits.memory.count(self)

    def measure(self) -> int:
        """Return the memory of all but the body of a request, in bytes."""
        size = self.head_size + measure_head(self) + len(self._buffer)
        if self._dataBuffer:
            size += sum(map(len, self._dataBuffer))
        if isinstance(self._transferDecoder, ChunkedDecoder):
            size += self._transferDecoder.buffered
        return size + count_unsent(self.transport)

    def is_answering(self) -> bool:
        """Return whether a request is being answered on the connection."""
        transport: Any = self.transport
        return self._handlingRequest and not transport.disconnecting

    def leave(self) -> None:
        """Give up the place at the listener, for another connection.

        The connection is closed at once, so that it takes no descriptor.
        """
        self.count_refusal(Refusal.place)
        self.factory.channels.discard(self)
        transport: Any = self.transport
        transport.abortConnection()
        self.discard_input()

    def evict(self) -> None:
        """Close the connection, which holds most of all."""
        transport: Any = self.transport
        is_unsent = count_unsent(transport) > 0
        if self._handlingRequest or is_unsent:
            self.count_refusal(Refusal.connection_memory)
            transport.abortConnection()
        else:
            self.reject(Refusal.connection_memory, _NO_MEMORY)
        self.discard_input()

    def reject(self, kind: Refusal, status: bytes) -> None:
        """Answer with an error and close the connection.

        :param kind: why the connection is closed.
        :param status: the first lines of the answer, from the status line on.
        """
        self.count_refusal(kind)
        transport: Any = self.transport
        if transport is not None:
            transport.write(status + _CLOSING_HEADERS)
            self.loseConnection()

    def count_refusal(self, kind: Refusal) -> None:
        """Count a refusal of a request on this connection.

        :param kind: why it is refused.
        """
        self.factory.count_refusal(kind, str(self.getPeer()))

    def lineLengthExceeded(self, line: bytes) -> None:
        """Count a line that is too long, and close the connection.

        :param line: what has been received of it.
        """
        self.count_refusal(Refusal.malformed)
        self.loseConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:
        """Count a malformed request, which Twisted answers with 400."""
        self.count_refusal(Refusal.malformed)
        super()._respondToBadRequestAndDisconnect()


def count_unsent(transport: Any) -> int:
    """Return the number of written bytes that the system has not taken.

    :param transport: Twisted's transport of a connection, None without one.
    """
    if transport is None:
        return 0
    unsent: int = transport._tempDataLen  # noqa: WPS437
    return unsent + len(transport.dataBuffer) - int(transport.offset)


def measure_head(channel: Any) -> int:
    """Return the memory of the head that is being received, in bytes.

    :param channel: a connection, with Twisted's counts of what it received.
    """
    headers: int = channel._receivedHeaderCount  # noqa: WPS437
    size: int = channel._receivedHeaderSize  # noqa: WPS437
    return headers * HEADER_OVERHEAD + size
