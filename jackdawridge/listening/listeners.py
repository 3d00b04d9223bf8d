"""HTTP listeners with limits on what clients may send."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

from twisted.web.server import Site

from jackdawridge.listening.bodies import BodyMemory
from jackdawridge.listening.bounded_request import BoundedRequest
from jackdawridge.listening.http_channel import BoundedChannel
from jackdawridge.listening.input_limits import InputLimits
from jackdawridge.listening.places import choose_leaving
from jackdawridge.listening.refusals import Refusal
from jackdawridge.util.clock import pause

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.internet.interfaces import IAddress, IProtocol
    from twisted.web.resource import Resource

#: Time after which a connection without a request is closed, in seconds.
IDLE_TIMEOUT = 60
#: Time for the last requests when the listener stops, and again for sending the
#: last answers, in seconds.
CLOSING_TIME = 0.05
#: Highest number of open connections of a listener.
MAX_CONNECTIONS = 1024
#: Buffers of the system for a connection, in bytes, which it doubles: for what
#: it receives before the process reads it, and for answers that the client has
#: not received. The latter holds several segments of any network: a smaller one
#: would wait for a delayed acknowledgement after each.
RECEIVE_BUFFER_BYTES = 8192
SEND_BUFFER_BYTES = 131072
#: Memory for the bodies of all open requests of a listener whose settings name
#: none, in bytes.
DEFAULT_BODY_MEMORY = 8388608


class HttpListener(Site):
    """Listens for HTTP; a component.

    :param reactor: Twisted's reactor.
    :param address: `ip:port`.
    :param resource: root resource, which serves all paths.
    :param body_memory: memory for the bodies of all open requests, in bytes.
    :param limits: limits that the listeners of a process share; None for some
        of its own.
    """

    protocol = BoundedChannel  # type: ignore[assignment]

    def __init__(
        self,
        reactor: Any,
        address: str,
        resource: Resource,
        body_memory: int = DEFAULT_BODY_MEMORY,
        limits: InputLimits | None = None,
    ) -> None:
        """Create the listener; `start` opens the port."""
        super().__init__(
            resource,
            requestFactory=BoundedRequest,
            # Twisted would decode forms, which take many times the memory of
            # the body; no handler reads them.
            parsePOSTFormSubmission=False,
            timeout=IDLE_TIMEOUT,
            reactor=reactor,
        )
        self.displayTracebacks = False
        self.listen_reactor = reactor
        self.address = address
        #: Connections that have a place here, of which `stop` closes all.
        self.channels: set[BoundedChannel] = set()
        self.body_memory = BodyMemory(body_memory)
        self.limits = limits or InputLimits.default(reactor)
        #: Whether each request waits for its turn, since the answers of this
        #: listener take long to make.
        self.serves_in_turns = False
        #: Returns a local time after which input was sent that is read now, in
        #: seconds.
        self.sent_after: Callable[[], float] = reactor.seconds
        #: Called whenever input was read or a connection was made or lost.
        self.input_read: Callable[[], None] = ignore_input
        self.port: Any = None

    def buildProtocol(self, addr: IAddress | None) -> IProtocol | None:
        """Return the protocol of a new connection, None to refuse it.

        At a full listener connections that wait for a request make room.

        :param addr: address of the peer.
        """
        if len(self.channels) >= MAX_CONNECTIONS:
            for leaving in choose_leaving(self.channels):
                leaving.leave()
        if len(self.channels) >= MAX_CONNECTIONS:
            self.count_refusal(Refusal.connections, str(addr))
            return None
        channel: Any = super().buildProtocol(addr)
        self.channels.add(channel)
        protocol: IProtocol | None = channel
        return protocol

    def count_refusal(self, kind: Refusal, peer: str) -> None:
        """Count a refusal of a connection or of a request on it.

        :param kind: why it is refused.
        :param peer: address of the client.
        """
        self.limits.refusals.count(kind, peer, self.listen_reactor.seconds())

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
        # Connections take over these sizes, which the system otherwise raises
        # to megabytes.
        for option, size in (
            (socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
            (socket.SO_SNDBUF, SEND_BUFFER_BYTES),
        ):
            self.port.socket.setsockopt(socket.SOL_SOCKET, option, size)

    def stop(self) -> Deferred[None]:
        """Close the port, and each connection once its answers are written.

        Callers that have connected are accepted and have `CLOSING_TIME` to get
        an answer: the system would reset connections that it has established
        and this process has not accepted, or whose request is not read.

        Returns a `Deferred` that fires when the last answers are sent, at once
        if there are no connections.
        """
        accepted = -1
        while accepted < len(self.channels):
            accepted = len(self.channels)
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
