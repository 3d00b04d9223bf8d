"""A reactor whose connections stay in memory."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

LATENCY = 0.001
DONE = Failure(ConnectionDone())
REFUSED = Failure(ConnectionRefusedError())


class MemoryTransport:
    """One end of a connection."""

    def __init__(self, network: MemoryNetwork, ends: tuple[str, str]) -> None:
        self.network = network
        self.ends = ends
        self.protocol: Any = None
        self.other: MemoryTransport | None = None
        self.is_open = True

    def getPeer(self) -> IPv4Address:
        host, _, port = self.ends[1].rpartition(':')
        return IPv4Address('TCP', host, int(port))

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing."""

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Do nothing."""

    def writeSequence(self, chunks: tuple[bytes, ...]) -> None:
        sent = b''.join(chunks)
        self.network.callLater(LATENCY, self.deliver, sent)

    def deliver(self, sent: bytes) -> None:
        other = self.other
        if other and other.is_open and not self.network.is_cut(self.ends):
            other.protocol.dataReceived(sent)

    def abortConnection(self) -> None:
        self.network.callLater(0, self.end)
        if self.other and not self.network.is_cut(self.ends):
            self.network.callLater(LATENCY, self.other.end)

    def loseConnection(self) -> None:
        """Close in order; what was written arrives before the end."""
        self.abortConnection()

    def end(self) -> None:
        if self.is_open:
            self.is_open = False
            self.protocol.connectionLost(DONE)


class MemoryNetwork(Clock):
    """Time and connections of several processes."""

    def __init__(self) -> None:
        super().__init__()
        self.factories: dict[str, Any] = {}
        self.transports: list[MemoryTransport] = []
        #: Addresses whose traffic is lost.
        self.cut: set[str] = set()
        #: Pairs of addresses; what the first sends to the second is lost.
        self.one_way: set[tuple[str, str]] = set()
        #: Addresses behind that of a balancer, which takes turns.
        self.balanced: dict[str, list[str]] = {}

    def is_cut(self, ends: tuple[str, str]) -> bool:
        return ends in self.one_way or bool(self.cut & set(ends))

    def kill(self, address: str) -> None:
        """End a process without a word."""
        self.factories.pop(address, None)
        for transport in self.transports:
            if address in transport.ends:
                transport.end()


class MemoryReactor:
    """The reactor of one process."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.network = network
        self.address = address
        self.seconds = network.seconds
        self.callLater = network.callLater

    def listenTCP(self, port: int, factory: Any, interface: str) -> Any:
        self.network.factories[self.address] = factory
        return self

    def stopListening(self) -> None:
        self.network.factories.pop(self.address, None)

    def connectTCP(
        self, host: str, port: int, factory: Any, **options: object
    ) -> None:
        address = f'{host}:{port}'
        turns = self.network.balanced.get(address)
        if turns:
            turns.append(turns.pop(0))
            address = turns[0]
        self.network.callLater(LATENCY, self.connect, address, factory)

    def connect(self, address: str, factory: Any) -> None:
        accepting = self.network.factories.get(address)
        ends = (self.address, address)
        if accepting is None or self.network.is_cut(ends):
            factory.clientConnectionFailed(None, REFUSED)
            return
        near = MemoryTransport(self.network, ends)
        far = MemoryTransport(self.network, (address, self.address))
        near.other = far
        far.other = near
        self.network.transports.extend((near, far))
        near.protocol = factory.buildProtocol(near.getPeer())
        far.protocol = accepting.buildProtocol(far.getPeer())
        near.protocol.makeConnection(near)
        far.protocol.makeConnection(far)
