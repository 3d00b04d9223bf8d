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
#: Shortest wait for bytes that are due, in seconds.
MIN_WAIT = 0.001
#: Direction from the client to the target, and back.
UP = 'up'
DOWN = 'down'


class End(Protocol):
    """One end of a proxied connection.

    :param connection: that it belongs to.
    :param direction: in which the bytes it receives travel.
    """

    #: Typed loosely because Twisted's transports share no full interface.
    transport: Any

    def __init__(self, connection: Connection, direction: str) -> None:
        """Keep both."""
        self.connection = connection
        self.direction = direction
        self.is_open = False
        #: Bytes since the faults were last changed.
        self.received = 0
        #: Bytes that are held back for a time, in order.
        self.delayed: deque[bytes] = deque()
        #: Time before which nothing may be delivered, to keep the order.
        self.earliest: float = 0
        #: Bytes that are held back while the proxy is frozen.
        self.held: list[bytes] = []

    def connectionMade(self) -> None:
        """Take note of the connection."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.connection.opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Pass bytes to the other end, as the faults have it.

        :param data: received bytes.
        """
        self.connection.received(self, data)

    def connectionLost(self, reason: Failure = _DONE) -> None:
        """End the other end as well.

        :param reason: Twisted's reason.
        """
        self.is_open = False
        self.connection.ended(self)

    def write(self, data: bytes) -> None:
        """Send bytes unless this end is gone.

        :param data: from the other end.
        """
        if self.is_open:
            self.transport.write(data)

    def close(self) -> None:
        """End this end after what was written."""
        if self.is_open:
            self.transport.loseConnection()

    def abort(self) -> None:
        """End this end at once."""
        if self.is_open:
            self.transport.abortConnection()


class Connection:
    """A client's connection and the one to the target.

    :param proxy: whose faults count.
    """

    def __init__(self, proxy: FaultProxy) -> None:
        """Prepare both ends."""
        self.proxy = proxy
        self.client = End(self, UP)
        self.target = End(self, DOWN)
        #: Bytes of the client for a target that is not connected yet.
        self.early: list[bytes] = []
        #: Whether bytes vanished, so that it is of no further use.
        self.is_damaged = False

    def opened(self, end: End) -> None:
        """Dial the target, or send it what has come early."""
        self.proxy.connections.add(self)
        if end is self.client:
            self.proxy.dial(self)
            return
        if not self.client.is_open:
            end.abort()
        end.write(b''.join(self.early))
        self.early.clear()

    def received(self, end: End, data: bytes) -> None:
        """Pass bytes on, hold them back or lose them."""
        faults = self.proxy.faults
        if faults.get('mode') == 'freeze':
            end.held.append(data)
            return
        if faults.get('drop', '') in {end.direction, 'both'}:
            self.is_damaged = True
            self.proxy.bytes_dropped += len(data)
            return
        data = self.cut_off(end, data)
        delay = self.proxy.choose_delay()
        if delay or end.earliest:
            self.deliver_later(end, data, delay)
        else:
            self.deliver(end, data)

    def cut_off(self, end: End, data: bytes) -> bytes:
        """Count bytes of one direction; cut after the allowed ones."""
        allowed = self.proxy.allowed_bytes(end.direction)
        end.received += len(data)
        if allowed is None or end.received < allowed:
            return data
        excess = end.received - allowed
        other = self.target if end is self.client else self.client
        other.write(data[: len(data) - excess])
        other.close()
        end.abort()
        return b''

    def deliver_later(self, end: End, data: bytes, delay: float) -> None:
        """Deliver bytes after a delay, and after those before them."""
        now = self.proxy.reactor.seconds()
        end.earliest = max(end.earliest, now + delay)
        end.delayed.append(data)
        # Timers that are due together fire in any order, so that each takes
        # what is first in line.
        self.proxy.reactor.callLater(
            end.earliest - now, self.deliver_first, end
        )

    def deliver_first(self, end: End) -> None:
        """Send what has been held back longest to the other end."""
        self.deliver(end, end.delayed.popleft())

    def deliver(self, end: End, data: bytes) -> None:
        """Send bytes to the other end."""
        if end is self.target:
            self.client.write(data)
        elif self.target.is_open:
            self.target.write(data)
        else:
            self.early.append(data)

    def ended(self, end: End) -> None:
        """End the other end too; a frozen proxy tells nobody."""
        if self.proxy.faults.get('mode') != 'freeze':
            self.close()

    def close(self) -> None:
        """Close what is left of the connection, after what is under way."""
        self.proxy.connections.discard(self)
        self.close_when_sent(self.client, self.target)
        self.close_when_sent(self.target, self.client)

    def close_when_sent(self, end: End, other: End) -> None:
        """Close an end once it has got all bytes of the other."""
        if not end.delayed:
            other.close()
            return
        wait = max(MIN_WAIT, end.earliest - self.proxy.reactor.seconds())
        self.proxy.reactor.callLater(wait, self.close_when_sent, end, other)

    def cut(self) -> None:
        """Abort both ends at once."""
        self.proxy.connections.discard(self)
        self.client.abort()
        self.target.abort()

    def thaw(self) -> None:
        """Pass on what was held back."""
        if self.is_damaged:
            self.cut()
            return
        for end in (self.client, self.target):
            held = b''.join(end.held)
            end.held.clear()
            if held:
                self.received(end, held)
        if not (self.client.is_open and self.target.is_open):
            self.close()


class FaultProxy:
    """Passes TCP connections to a target, with faults.

    :param reactor: Twisted's reactor.
    :param target: `ip:port`.
    :param seed: makes jitter repeatable.
    """

    def __init__(self, reactor: Any, target: str, seed: int = 0) -> None:
        """Prepare without listening."""
        self.reactor = reactor
        self.target = target
        self.random = random.Random(seed)
        self.faults: ProxyFaults = {}
        self.connections: set[Connection] = set()
        self.accepted = 0
        self.bytes_dropped = 0
        self.port: Any = None

    def start(self, address: str = '127.0.0.1:0') -> str:
        """Listen and return the address as `ip:port`.

        :param address: port 0 for any free one.
        """
        host, _, port = address.rpartition(':')
        self.port = self.reactor.listenTCP(
            int(port), ProxyFactory(self), interface=host
        )
        return '{0}:{1}'.format(host, self.port.getHost().port)

    def stop(self) -> Deferred[None]:
        """Stop listening and cut all connections."""
        self.cut()
        return cast('Deferred[None]', self.port.stopListening())

    def cut(self) -> None:
        """Abort all connections; new ones are accepted."""
        for connection in list(self.connections):
            connection.cut()

    def change_faults(self, faults: ProxyFaults) -> None:
        """Replace all faults; without any, bytes just pass.

        Connections that lost bytes are cut, and what was frozen passes on.

        :param faults: all of them.
        """
        self.faults = faults
        for connection in list(self.connections):
            connection.client.received = 0
            connection.target.received = 0
            if faults.get('mode') == 'refuse':
                connection.cut()
            elif faults.get('mode') != 'freeze':
                connection.thaw()

    def choose_delay(self) -> float:
        """Return the delay of some bytes in seconds."""
        delay = self.faults.get('delay', 0)
        jitter = self.faults.get('jitter', 0)
        if jitter:
            delay += self.random.uniform(0, jitter)
        return delay

    def allowed_bytes(self, direction: str) -> int | None:
        """Return after how many bytes connections are cut, if ever.

        :param direction: `up` or `down`.
        """
        if direction == UP:
            return self.faults.get('cut_after_up')
        return self.faults.get('cut_after_down')

    def dial(self, connection: Connection) -> None:
        """Connect to the target.

        :param connection: that has a client.
        """
        if self.faults.get('mode') == 'refuse':
            connection.cut()
            return
        host, _, port = self.target.rpartition(':')
        endpoint = TCP4ClientEndpoint(self.reactor, host, int(port))
        factory: Any = _ready_factory(connection.target)
        endpoint.connect(factory).addErrback(lambda _: connection.cut())


class ProxyFactory(Factory):
    """Makes the clients' ends.

    :param proxy: that they connect to.
    """

    noisy = False

    def __init__(self, proxy: FaultProxy) -> None:
        """Keep the proxy."""
        self.proxy = proxy

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        """Return the client's end of a new connection.

        :param addr: the client's address.
        """
        self.proxy.accepted += 1
        return Connection(self.proxy).client


def _ready_factory(protocol: Protocol) -> Any:
    """Return a factory that gives out one protocol."""
    factory = Factory.forProtocol(lambda: protocol)
    factory.noisy = False
    return factory
