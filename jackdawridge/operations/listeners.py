"""HTTP listeners that limit the size and duration of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from jackdawridge.logs import get_logger
from jackdawridge.operations.bodies import BodyMemory, BodyReservation
from jackdawridge.util.clock import pause
from jackdawridge.wire.link import CONNECTION_DONE

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.internet.interfaces import IAddress, IProtocol
    from twisted.python.failure import Failure
    from twisted.web.resource import Resource

logger = get_logger('listener')

#: Longest body of a request, in bytes.
MAX_BODY_BYTES = 2097152
#: Time within which a complete request has to arrive, in seconds.
REQUEST_TIMEOUT = 15.0
#: Time after which a connection without a request is closed, in seconds.
IDLE_TIMEOUT = 60
#: Time for the last requests when the listener stops, and again for sending the
#: last answers, in seconds.
CLOSING_TIME = 0.05
#: Highest number of open connections of a listener.
MAX_CONNECTIONS = 1024
#: Memory for the bodies of all open requests of a listener whose settings name
#: none, in bytes.
DEFAULT_BODY_MEMORY = 8388608

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
            self.refuse(_TOO_LARGE)

    def handleContentChunk(self, data: bytes) -> None:
        """Append a chunk to the body, or refuse the request if it is too long.

        :param data: the received chunk.
        """
        if self.refused:
            return
        fits = self.reservation.reserve(len(data))
        if self.reservation.length > MAX_BODY_BYTES:
            self.refuse(_TOO_LARGE)
        elif fits:
            super().handleContentChunk(data)
        else:
            logger.warning(
                'request refused: no memory for its body',
                step='receive',
                peer=self.peer_address(),
            )
            self.refuse(_NO_MEMORY)

    def process(self) -> None:
        """Serve the request unless it was refused."""
        if not self.refused:
            super().process()

    def finish(self) -> None:
        """End the answer and release the memory of the body."""
        self.reservation.release()
        super().finish()

    def connectionLost(self, reason: Failure) -> None:
        """Release the memory of the body.

        :param reason: why the connection was lost.
        """
        self.reservation.release()
        super().connectionLost(reason)

    def peer_address(self) -> str:
        """Return the address of the peer as logged."""
        return str(self.getClientAddress())

    def refuse(self, status: bytes) -> None:
        """Answer with an error and close the connection.

        :param status: the first lines of the answer, from the status line on.
        """
        if not self.refused:
            self.refused = True
            self.reservation.release()
            channel: Any = self.channel
            channel.reject(status)


class BoundedChannel(HTTPChannel):
    """A connection on which requests have to arrive in `REQUEST_TIMEOUT`."""

    def __init__(self) -> None:
        """Start without a request, and so without a timer."""
        super().__init__()
        self.timer: Any = None
        #: Local time after which the request was sent, in seconds.
        self.received_after = float('-inf')

    def dataReceived(self, data: bytes) -> None:
        """Start the timer with the first bytes of a request.

        :param data: the received bytes.
        """
        if self.timer is None:
            self.received_after = self.factory.sent_after()
            self.timer = self.callLater(REQUEST_TIMEOUT, self.request_timed_out)
        self.factory.input_read()
        super().dataReceived(data)

    def allContentReceived(self) -> None:
        """Stop the timer of a request that has arrived completely."""
        self.stop_timer()
        super().allContentReceived()

    def connectionMade(self) -> None:
        """Add the connection to those of the listener."""
        self.factory.channels.add(self)
        self.factory.input_read()
        super().connectionMade()

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """Stop the timer and remove the connection from the listener.

        :param reason: why the connection was lost.
        """
        self.stop_timer()
        self.factory.input_read()
        self.factory.connections -= 1
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    def stop_timer(self) -> None:
        """Cancel the timer if it is running."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def request_timed_out(self) -> None:
        """Close a connection whose request has not arrived in time."""
        self.timer = None
        self.reject(_TIMED_OUT)

    def reject(self, status: bytes) -> None:
        """Answer with an error and close the connection.

        :param status: the first lines of the answer, from the status line on.
        """
        transport: Any = self.transport
        if transport is not None:
            transport.write(status + _CLOSING_HEADERS)
            transport.loseConnection()


class HttpListener(Site):
    """Listens for HTTP; a component.

    :param reactor: Twisted's reactor.
    :param address: `ip:port`.
    :param resource: root resource, which serves all paths.
    :param body_memory: memory for the bodies of all open requests, in bytes.
    """

    protocol = BoundedChannel  # type: ignore[assignment]

    def __init__(
        self,
        reactor: Any,
        address: str,
        resource: Resource,
        body_memory: int = DEFAULT_BODY_MEMORY,
    ) -> None:
        """Create the listener; `start` opens the port."""
        super().__init__(
            resource,
            requestFactory=BoundedRequest,
            timeout=IDLE_TIMEOUT,
            reactor=reactor,
        )
        self.displayTracebacks = False
        self.listen_reactor = reactor
        self.address = address
        self.connections = 0
        #: Open connections, of which `stop` closes all.
        self.channels: set[BoundedChannel] = set()
        self.body_memory = BodyMemory(body_memory)
        #: Returns a local time after which input was sent that is read now, in
        #: seconds.
        self.sent_after: Callable[[], float] = reactor.seconds
        #: Called whenever input was read or a connection was made or lost.
        self.input_read: Callable[[], None] = ignore_input
        self.port: Any = None

    def buildProtocol(self, addr: IAddress | None) -> IProtocol | None:
        """Return the protocol of a new connection, None to refuse it.

        :param addr: address of the peer.
        """
        if self.connections >= MAX_CONNECTIONS:
            logger.warning(
                'connection refused: too many connections',
                step='accept',
                peer=str(addr),
            )
            return None
        self.connections += 1
        protocol: IProtocol | None = super().buildProtocol(addr)
        return protocol

    def log(self, request: object) -> None:
        """Write no access log; handlers log their decisions themselves.

        :param request: the answered request.
        """

    def start(self) -> None:
        """Open the port."""
        host, _, port = self.address.rpartition(':')
        self.port = self.listen_reactor.listenTCP(
            int(port), self, interface=host
        )

    def stop(self) -> Deferred[None]:
        """Close the port, and each connection once its answers are written.

        Callers that have connected are accepted and have `CLOSING_TIME` to get
        an answer: the system would reset connections that it has established
        and this process has not accepted, or whose request is not read.

        Returns a `Deferred` that fires when the last answers are sent, at once
        if there are no connections.
        """
        accepted = -1
        while accepted < self.connections:
            accepted = self.connections
            self.port.doRead()
        self.port.stopListening()
        answered = pause(
            self.listen_reactor, CLOSING_TIME if self.channels else 0
        )
        return answered.addCallback(self.close_connections)

    def close_connections(self, _: None) -> Deferred[None]:
        """Close each connection once its answers are written.

        Returns a `Deferred` that fires after `CLOSING_TIME`, or at once if
        there are no connections.
        """
        for channel in tuple(self.channels):
            channel.loseConnection()
        return pause(self.listen_reactor, CLOSING_TIME if self.channels else 0)


def ignore_input() -> None:
    """Ignore that input was read."""


def age_of(request: Any, now: float) -> float:
    """Return for how long a request may have been under way, in seconds.

    :param request: request of a caller at an `HttpListener`.
    :param now: local time in seconds.
    """
    return max(now - float(request.channel.received_after), 0)
