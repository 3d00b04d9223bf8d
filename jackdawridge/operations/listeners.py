"""HTTP listeners with bounds on what a peer may send."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from jackdawridge.logs import get_logger
from jackdawridge.operations.bodies import BodyMemory, BodyShare
from jackdawridge.util.clock import pause
from jackdawridge.wire.link import CONNECTION_DONE

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.internet.interfaces import IAddress, IProtocol
    from twisted.python.failure import Failure
    from twisted.web.resource import Resource

logger = get_logger('listener')

#: Longest body of a request, in bytes.
MAX_BODY_BYTES = 2097152
#: Time for a request to arrive as a whole, in seconds.
REQUEST_TIMEOUT = 15.0
#: Time without a request after which a connection is closed, in seconds.
IDLE_TIMEOUT = 60
#: Time for the last answers to leave the process, in seconds.
CLOSING_TIME = 0.05
#: Connections that a listener accepts at a time.
MAX_CONNECTIONS = 1024
#: Bytes of all bodies that a listener holds unless its settings say otherwise.
BODY_MEMORY = 8388608

_TOO_LARGE = b'HTTP/1.1 413 Content Too Large\r\n'
_TOO_SLOW = b'HTTP/1.1 408 Request Timeout\r\n'
_NO_MEMORY = b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n'
_CLOSING = (
    b'X-Jackdawridge-Outcome: not-run\r\n'
    b'Content-Length: 0\r\n'
    b'Connection: close\r\n'
    b'\r\n'
)


class BoundedRequest(Request):
    """A request whose body may not take more than the listener allows."""

    def __init__(self, channel: Any, *args: Any, **options: Any) -> None:
        """Start without content."""
        super().__init__(channel, *args, **options)
        self.share = BodyShare(channel.factory.bodies)
        self.refused = False

    def gotLength(self, length: int | None) -> None:
        """Refuse a request that announces too long a body.

        :param length: announced, None for a chunked body.
        """
        # Twisted keeps longer bodies in files, and there is no disk.
        super().gotLength(0)
        if length is not None and length > MAX_BODY_BYTES:
            self.refuse(_TOO_LARGE)

    def handleContentChunk(self, data: bytes) -> None:
        """Take a part of the body.

        :param data: the part.
        """
        if self.refused:
            return
        fits = self.share.grow(len(data))
        if self.share.length > MAX_BODY_BYTES:
            self.refuse(_TOO_LARGE)
        elif fits:
            super().handleContentChunk(data)
        else:
            logger.warning(
                'no memory for the body', step='receive', peer=self.peer_name()
            )
            self.refuse(_NO_MEMORY)

    def process(self) -> None:
        """Serve the request unless it was refused."""
        if not self.refused:
            super().process()

    def finish(self) -> None:
        """End the answer, after which the body is not needed."""
        self.share.release()
        super().finish()

    def connectionLost(self, reason: Failure) -> None:
        """Let go of the body.

        :param reason: of Twisted.
        """
        self.share.release()
        super().connectionLost(reason)

    def peer_name(self) -> str:
        """Return the address of the peer, for the log."""
        return str(self.getClientAddress())

    def refuse(self, status: bytes) -> None:
        """Answer that the body is not taken and end the connection.

        :param status: the first lines of the answer.
        """
        if not self.refused:
            self.refused = True
            self.share.release()
            channel: Any = self.channel
            channel.reject(status)


class BoundedChannel(HTTPChannel):
    """A connection on which each request has to arrive in time."""

    def __init__(self) -> None:
        """Start without a timer."""
        super().__init__()
        self.timer: Any = None

    def dataReceived(self, data: bytes) -> None:
        """Start the timer of a request with its first byte.

        :param data: from the peer.
        """
        if self.timer is None:
            self.timer = self.callLater(REQUEST_TIMEOUT, self.too_slow)
        super().dataReceived(data)

    def allContentReceived(self) -> None:
        """Stop the timer once the request is there."""
        self.stop_timer()
        super().allContentReceived()

    def connectionMade(self) -> None:
        """Count the connection in."""
        self.factory.channels.add(self)
        super().connectionMade()

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """Stop the timer and count the connection out.

        :param reason: of Twisted.
        """
        self.stop_timer()
        self.factory.connections -= 1
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    def stop_timer(self) -> None:
        """Stop the timer of a request."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def too_slow(self) -> None:
        """End a connection whose request does not arrive."""
        self.timer = None
        self.reject(_TOO_SLOW)

    def reject(self, status: bytes) -> None:
        """Answer with an error and end the connection.

        :param status: the first line of the answer.
        """
        transport: Any = self.transport
        if transport is not None:
            transport.write(status + _CLOSING)
            transport.loseConnection()


class HttpListener(Site):
    """Listens for HTTP; a component.

    :param reactor: Twisted's reactor.
    :param address: `ip:port`.
    :param resource: the root of what is served.
    :param body_memory: for the bodies of all open requests, in bytes.
    """

    protocol = BoundedChannel  # type: ignore[assignment]

    def __init__(
        self,
        reactor: Any,
        address: str,
        resource: Resource,
        body_memory: int = BODY_MEMORY,
    ) -> None:
        """Prepare without listening."""
        super().__init__(
            resource,
            requestFactory=BoundedRequest,
            timeout=IDLE_TIMEOUT,
            reactor=reactor,
        )
        self.displayTracebacks = False
        self.door_reactor = reactor
        self.address = address
        self.connections = 0
        #: The open connections.
        self.channels: set[BoundedChannel] = set()
        self.bodies = BodyMemory(body_memory)
        self.port: Any = None

    def buildProtocol(self, addr: IAddress | None) -> IProtocol | None:
        """Return a connection, None to refuse one over the limit.

        :param addr: of the peer.
        """
        if self.connections >= MAX_CONNECTIONS:
            logger.warning(
                'too many connections', step='accept', peer=str(addr)
            )
            return None
        self.connections += 1
        protocol: IProtocol | None = super().buildProtocol(addr)
        return protocol

    def log(self, request: object) -> None:
        """Write no access log; decisions have lines of their own.

        :param request: that was answered.
        """

    def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(':')
        self.port = self.door_reactor.listenTCP(int(port), self, interface=host)

    def stop(self) -> Deferred[None]:
        """Stop listening, and close the connections once all is written."""
        self.port.stopListening()
        for channel in tuple(self.channels):
            channel.loseConnection()
        return pause(self.door_reactor, CLOSING_TIME if self.channels else 0)
