"""Clients that send requests outside every limit to one address."""

from __future__ import annotations

import selectors
import socket
import time
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from tests.processes.process import Process

#: Send buffer of a client, in bytes. It limits what the system takes over
#: without the process having read it.
SEND_BUFFER_BYTES = 65536
#: Time limit for a crowd that sends, in seconds.
TIMEOUT = 120.0
#: Time without any progress after which the server is taken to have stopped
#: reading, in seconds.
STALL_TIME = 3.0
_KIB = 1024


class Crowd(NamedTuple):
    """How many clients send what."""

    #: What each connection sends first.
    head: bytes
    #: What each connection then sends without end.
    piece: bytes
    #: Number of clients, each with one connection at a time.
    clients: int
    #: What a client sends on all of its connections, in bytes.
    volume: int
    #: Number of connections that a client opens at most.
    connections: int


class Client:
    """Sends endlessly and connects again when its connection is closed.

    It reads nothing.

    :param address: address of the server.
    :param crowd: what it sends.
    """

    def __init__(self, address: tuple[str, int], crowd: Crowd) -> None:
        """Open the first connection."""
        self.address = address
        self.crowd = crowd
        self.sent = 0
        self.opened = 0
        self.connect()

    def connect(self) -> None:
        """Open a connection, on which the head comes first."""
        self.opened += 1
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        self.socket.settimeout(STALL_TIME)
        self.unsent = memoryview(self.crowd.head or self.crowd.piece)
        try:
            self.socket.connect(self.address)
        except OSError:
            # The server refuses connections, which it may.
            self.socket.close()
            self.socket = socket.socket()
        self.socket.setblocking(False)

    @property
    def is_done(self) -> bool:
        """Whether the client has sent all that the crowd sends."""
        return (
            self.sent >= self.crowd.volume
            or self.opened > self.crowd.connections
        )

    def send(self) -> None:
        """Send what the connection takes, or connect again."""
        try:
            count = self.socket.send(self.unsent)
        except BlockingIOError:
            return
        except OSError:
            self.socket.close()
            self.connect()
            return
        self.sent += count
        self.unsent = self.unsent[count:] or memoryview(self.crowd.piece)


def send_crowd(address: str, crowd: Crowd) -> list[Client]:
    """Send a crowd and return its clients, whose connections are still open.

    It ends when each client has sent its volume or the server has stopped
    reading.

    :param address: `ip:port`.
    :param crowd: what is sent.
    :raises AssertionError: if the crowd has not ended in time.
    """
    host, _, port = address.rpartition(':')
    clients = [Client((host, int(port)), crowd) for _ in range(crowd.clients)]
    until = time.monotonic() + TIMEOUT
    while send_once([client for client in clients if not client.is_done]):
        assert time.monotonic() < until, 'the crowd does not end'
    return clients


def send_once(clients: list[Client]) -> bool:
    """Let each client send whose connection takes something now.

    Returns whether any did.
    """
    with selectors.DefaultSelector() as selector:
        for client in clients:
            selector.register(client.socket, selectors.EVENT_WRITE, client)
        events = selector.select(STALL_TIME) if clients else []
    for key, _ in events:
        key.data.send()
    return bool(events)


def disperse(clients: list[Client]) -> None:
    """Close the connections of a crowd."""
    for client in clients:
        client.socket.close()


def peak_memory(process: Process) -> int:
    """Return the highest resident memory of a process so far, in bytes.

    :raises AssertionError: if the process has ended.
    """
    path = Path(f'/proc/{process.popen.pid}/status')
    for line in path.read_text().splitlines():
        name, _, amount = line.partition(':')
        if name == 'VmHWM':
            return int(amount.split()[0]) * _KIB
    raise AssertionError(f'{process.name} has ended: {process.log_tail()}')


def count_descriptors(process: Process) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f'/proc/{process.popen.pid}/fd').iterdir()))
