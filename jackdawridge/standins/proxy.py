"""A TCP proxy that injects faults."""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING, Any, cast

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress

    from jackdawridge.standins.faults import ProxyFaults

_DONE = Failure(ConnectionDone())
#: Shortest delay before the next check for undelivered bytes, in seconds.
MIN_RECHECK_DELAY = 0.001
#: Direction from the client to the target (`up`) and back (`down`).
UP = 'up'
DOWN = 'down'


class ProxyEnd(Protocol):
    """One end of a proxied connection, at the client or at the target.

    :param connection: the proxied connection.
    :param direction: the direction of the bytes that this end receives, `up`
        or `down`.
    """

    #: Any because no interface of Twisted covers all methods used here.
    transport: Any

    def __init__(self, connection: ProxiedConnection, direction: str) -> None:
        """Initialise before the connection is made."""
        self.connection = connection
        self.direction = direction
        self.is_open = False
        #: Number of bytes received since the last change of faults.
        self.received_bytes = 0
        #: Chunks that wait for their delay, in order of arrival.
        self.delayed_chunks: deque[bytes] = deque()
        #: Reactor time of the last scheduled delivery; later chunks are not
        #: delivered before it, which prevents reordering.
        self.last_delivery: float = 0
        #: Chunks received while the proxy is frozen.
        self.held_chunks: list[bytes] = []

    def connectionMade(self) -> None:
        """Mark this end as open and tell the proxied connection."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.connection.handle_open(self)

    def dataReceived(self, data: bytes) -> None:
        """Forward bytes to the other end, subject to the faults.

        :param data: the received bytes.
        """
        self.connection.handle_data(self, data)

    def connectionLost(self, reason: Failure = _DONE) -> None:
        """Mark this end as closed and close the other end.

        :param reason: the reason given by Twisted.
        """
        self.is_open = False
        self.connection.handle_close(self)

    def write(self, data: bytes) -> None:
        """Send bytes unless this end is closed.

        :param data: the bytes received by the other end.
        """
        if self.is_open:
            self.transport.write(data)

    def close(self) -> None:
        """Close this end once all written bytes are sent."""
        if self.is_open:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Close this end at once, without sending written bytes."""
        if self.is_open:
            self.transport.abortConnection()


class ProxiedConnection:
    """A client's connection and its connection to the target.

    :param proxy: the proxy whose faults apply.
    """

    def __init__(self, proxy: FaultProxy) -> None:
        """Create both ends without connecting."""
        self.proxy = proxy
        self.client = ProxyEnd(self, UP)
        self.target = ProxyEnd(self, DOWN)
        #: Chunks from the client, buffered until the target is connected.
        self.unsent: list[bytes] = []
        #: Whether bytes were dropped, so that the byte stream is corrupt.
        self.has_dropped_bytes = False

    def handle_open(self, end: ProxyEnd) -> None:
        """Dial the target, or send it the buffered bytes."""
        self.proxy.connections.add(self)
        if end is self.client:
            self.proxy.dial(self)
            return
        if not self.client.is_open:
            end.abort()
        end.write(b''.join(self.unsent))
        self.unsent.clear()

    def handle_data(self, end: ProxyEnd, data: bytes) -> None:
        """Forward, delay, hold or drop received bytes."""
        faults = self.proxy.faults
        if faults.get('mode') == 'freeze':
            end.held_chunks.append(data)
            return
        if faults.get('drop', '') in {end.direction, 'both'}:
            self.has_dropped_bytes = True
            self.proxy.bytes_dropped += len(data)
            return
        data = self.apply_byte_limit(end, data)
        delay = self.proxy.draw_delay()
        if delay or end.last_delivery:
            self.deliver_later(end, data, delay)
        else:
            self.deliver(end, data)

    def apply_byte_limit(self, end: ProxyEnd, data: bytes) -> bytes:
        """Count bytes; at the limit, truncate them and close both ends."""
        byte_limit = self.proxy.find_byte_limit(end.direction)
        end.received_bytes += len(data)
        if byte_limit is None or end.received_bytes < byte_limit:
            return data
        excess = end.received_bytes - byte_limit
        other = self.target if end is self.client else self.client
        other.write(data[: len(data) - excess])
        other.close()
        end.abort()
        return b''

    def deliver_later(self, end: ProxyEnd, data: bytes, delay: float) -> None:
        """Deliver bytes after a delay, in order of arrival."""
        now = self.proxy.reactor.seconds()
        end.last_delivery = max(end.last_delivery, now + delay)
        end.delayed_chunks.append(data)
        # Timers that are due at the same time fire in any order, so each one
        # delivers the first chunk of the queue.
        self.proxy.reactor.callLater(
            end.last_delivery - now, self.deliver_first, end
        )

    def deliver_first(self, end: ProxyEnd) -> None:
        """Send the first delayed chunk to the other end."""
        self.deliver(end, end.delayed_chunks.popleft())

    def deliver(self, end: ProxyEnd, data: bytes) -> None:
        """Send bytes to the other end, or buffer them until it connects."""
        if end is self.target:
            self.client.write(data)
        elif self.target.is_open:
            self.target.write(data)
        else:
            self.unsent.append(data)

    def handle_close(self, end: ProxyEnd) -> None:
        """Close the other end too, unless the proxy is frozen."""
        if self.proxy.faults.get('mode') != 'freeze':
            self.close()

    def close(self) -> None:
        """Close both ends once the delayed bytes are delivered."""
        self.proxy.connections.discard(self)
        self.close_when_sent(self.client, self.target)
        self.close_when_sent(self.target, self.client)

    def close_when_sent(self, end: ProxyEnd, other: ProxyEnd) -> None:
        """Close the other end once all delayed bytes were sent to it."""
        if not end.delayed_chunks:
            other.close()
            return
        wait = max(
            MIN_RECHECK_DELAY, end.last_delivery - self.proxy.reactor.seconds()
        )
        self.proxy.reactor.callLater(wait, self.close_when_sent, end, other)

    def cut(self) -> None:
        """Abort both ends at once."""
        self.proxy.connections.discard(self)
        self.client.abort()
        self.target.abort()

    def resume(self) -> None:
        """Forward the held bytes; abort both ends if bytes were dropped."""
        if self.has_dropped_bytes:
            self.cut()
            return
        for end in (self.client, self.target):
            held_bytes = b''.join(end.held_chunks)
            end.held_chunks.clear()
            if held_bytes:
                self.handle_data(end, held_bytes)
        if not (self.client.is_open and self.target.is_open):
            self.close()


class FaultProxy:
    """Forwards TCP connections to a target and injects faults.

    :param reactor: the Twisted reactor.
    :param target: the address of the target as `ip:port`.
    :param seed: the seed of the random jitter.
    """

    def __init__(self, reactor: Any, target: str, seed: int = 0) -> None:
        """Initialise without listening."""
        self.reactor = reactor
        self.target = target
        self.random = random.Random(seed)
        self.faults: ProxyFaults = {}
        self.connections: set[ProxiedConnection] = set()
        self.accepted = 0
        self.bytes_dropped = 0
        self.port: Any = None

    def start(self, address: str = '127.0.0.1:0') -> str:
        """Start listening and return the bound address as `ip:port`.

        :param address: the address to listen on; port 0 for any free port.
        """
        host, _, port = address.rpartition(':')
        self.port = self.reactor.listenTCP(
            int(port), ProxyFactory(self), interface=host
        )
        return '{0}:{1}'.format(host, self.port.getHost().port)

    def stop(self) -> Deferred[None]:
        """Stop listening and abort all connections."""
        self.cut()
        return cast('Deferred[None]', self.port.stopListening())

    def cut(self) -> None:
        """Abort all connections and keep accepting new ones."""
        for connection in list(self.connections):
            connection.cut()

    def change_faults(self, faults: ProxyFaults) -> None:
        """Replace all faults and reset the byte counts.

        Connections that dropped bytes are aborted; held bytes are forwarded
        unless the proxy stays frozen.

        :param faults: the new faults; empty to forward all bytes.
        """
        self.faults = faults
        for connection in list(self.connections):
            connection.client.received_bytes = 0
            connection.target.received_bytes = 0
            if faults.get('mode') == 'refuse':
                connection.cut()
            elif faults.get('mode') != 'freeze':
                connection.resume()

    def draw_delay(self) -> float:
        """Return the delay of a chunk with random jitter, in seconds."""
        delay = self.faults.get('delay', 0)
        jitter = self.faults.get('jitter', 0)
        if jitter:
            delay += self.random.uniform(0, jitter)
        return delay

    def find_byte_limit(self, direction: str) -> int | None:
        """Return the bytes after which a connection is cut, or None.

        :param direction: the direction, `up` or `down`.
        """
        if direction == UP:
            return self.faults.get('cut_after_up')
        return self.faults.get('cut_after_down')

    def dial(self, connection: ProxiedConnection) -> None:
        """Connect a client to the target, or abort it on failure.

        :param connection: the connection, whose client end is open.
        """
        if self.faults.get('mode') == 'refuse':
            connection.cut()
            return
        host, _, port = self.target.rpartition(':')
        endpoint = TCP4ClientEndpoint(self.reactor, host, int(port))
        factory: Any = _single_protocol_factory(connection.target)
        endpoint.connect(factory).addErrback(lambda _: connection.cut())


class ProxyFactory(Factory):
    """Creates the client ends of new connections.

    :param proxy: the proxy that the clients connect to.
    """

    noisy = False

    def __init__(self, proxy: FaultProxy) -> None:
        """Initialise for one proxy."""
        self.proxy = proxy

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        """Return the client's end of a new connection.

        :param addr: the address of the client.
        """
        self.proxy.accepted += 1
        return ProxiedConnection(self.proxy).client


def _single_protocol_factory(protocol: Protocol) -> Any:
    """Return a factory that always builds the given protocol."""
    factory = Factory.forProtocol(lambda: protocol)
    factory.noisy = False
    return factory
