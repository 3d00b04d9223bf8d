"""HTTP connections that limit the memory and the duration of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from jackdawridge.listening.chunked import ChunkedDecoder
from jackdawridge.listening.paced_channel import PacedChannel
from jackdawridge.listening.refusals import Refusal
from jackdawridge.listening.refusing_channel import NO_MEMORY, TIMED_OUT
from jackdawridge.wire.link import CONNECTION_DONE

if TYPE_CHECKING:
    from twisted.python.failure import Failure

#: Time within which a complete request has to arrive, in seconds.
REQUEST_TIMEOUT = 15.0
#: Memory that a header takes beside its bytes, in bytes.
HEADER_OVERHEAD = 256


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
            self.reject(Refusal.request_time, TIMED_OUT)

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
        self.abort()
        self.discard_input()

    def evict(self) -> None:
        """Close the connection, which holds most of all."""
        transport: Any = self.transport
        is_unsent = count_unsent(transport) > 0
        if self._handlingRequest or is_unsent:
            self.count_refusal(Refusal.connection_memory)
            self.abort()
        else:
            self.reject(Refusal.connection_memory, NO_MEMORY)
        self.discard_input()


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
