"""A reactor with in-memory connections between simulated processes."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

#: Delay of data and connection events, in seconds.
LATENCY = 0.001
DONE = Failure(ConnectionDone())
REFUSED = Failure(ConnectionRefusedError())


class MemoryTransport:
    """One end of an in-memory connection."""

    def __init__(self, network: MemoryNetwork, ends: tuple[str, str]) -> None:
        self.network = network
        self.ends = ends
        self.protocol: Any = None
        self.remote: MemoryTransport | None = None
        self.is_open = True

    def getPeer(self) -> IPv4Address:
        host, _, port = self.ends[1].rpartition(':')
        return IPv4Address('TCP', host, int(port))

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Ignore the option, which has no effect in memory."""

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Ignore the producer; writes are never paused."""

    def writeSequence(self, chunks: tuple[bytes, ...]) -> None:
        sent = b''.join(chunks)
        self.network.callLater(LATENCY, self.deliver, sent)

    def deliver(self, sent: bytes) -> None:
        remote = self.remote
        if remote and remote.is_open and not self.network.drops(self.ends):
            remote.protocol.dataReceived(sent)

    def abortConnection(self) -> None:
        self.network.callLater(0, self.end)
        if self.remote and not self.network.drops(self.ends):
            self.network.callLater(LATENCY, self.remote.end)

    def loseConnection(self) -> None:
        """Close the connection after all written data has been delivered."""
        self.abortConnection()

    def end(self) -> None:
        if self.is_open:
            self.is_open = False
            self.protocol.connectionLost(DONE)


class MemoryNetwork(Clock):
    """Clock and connections shared by several simulated processes."""

    def __init__(self) -> None:
        super().__init__()
        self.factories: dict[str, Any] = {}
        self.transports: list[MemoryTransport] = []
        #: Addresses whose traffic is dropped in both directions.
        self.disconnected: set[str] = set()
        #: Pairs of sender and receiver addresses whose traffic is dropped.
        self.dropped_directions: set[tuple[str, str]] = set()
        #: Backend addresses behind a balancer's address, used in rotation.
        self.balancers: dict[str, list[str]] = {}

    def drops(self, ends: tuple[str, str]) -> bool:
        return ends in self.dropped_directions or bool(
            self.disconnected & set(ends)
        )

    def kill(self, address: str) -> None:
        """Stop a process at once and close its connections."""
        self.factories.pop(address, None)
        for transport in self.transports:
            if address in transport.ends:
                transport.end()


class MemoryReactor:
    """The reactor of one simulated process."""

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
        turns = self.network.balancers.get(address)
        if turns:
            turns.append(turns.pop(0))
            address = turns[0]
        self.network.callLater(LATENCY, self.connect, address, factory)

    def connect(self, address: str, factory: Any) -> None:
        accepting = self.network.factories.get(address)
        ends = (self.address, address)
        if accepting is None or self.network.drops(ends):
            factory.clientConnectionFailed(None, REFUSED)
            return
        near = MemoryTransport(self.network, ends)
        far = MemoryTransport(self.network, (address, self.address))
        near.remote = far
        far.remote = near
        self.network.transports.extend((near, far))
        near.protocol = factory.buildProtocol(near.getPeer())
        far.protocol = accepting.buildProtocol(far.getPeer())
        near.protocol.makeConnection(near)
        far.protocol.makeConnection(far)
