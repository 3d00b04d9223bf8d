"""Clients outside every limit that stay until they are dismissed."""

from __future__ import annotations

import selectors
import socket
import threading
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from tests.processes.background import Background

if TYPE_CHECKING:
    from types import TracebackType

#: Longest time in which the clients connect one after the other, in seconds. A
#: listener drops connections that come faster than it accepts them.
CONNECT_TIME = 10
#: Time after which the crowd looks whether it is dismissed, in seconds.
_POLL_TIME = 0.1
_RECEIVE_BYTES = 65536
_READ = selectors.EVENT_READ
_WRITE = selectors.EVENT_WRITE


class Behaviour(NamedTuple):
    """What each client of a crowd does."""

    #: Number of clients, each with one connection at a time.
    clients: int
    #: What each connection sends first.
    head: bytes = b''
    #: What each connection then sends without end; it falls silent if empty.
    piece: bytes = b''
    #: Whether the client reads answers.
    reads: bool = True
    #: Whether the client closes each connection once the head is sent.
    closes: bool = False


class LastingClient:
    """Opens one connection after the other and sends on each."""

    def __init__(
        self,
        address: tuple[str, int],
        behaviour: Behaviour,
        selector: selectors.BaseSelector,
    ) -> None:
        """Open the first connection."""
        self.address = address
        self.behaviour = behaviour
        self.selector = selector
        #: Whether the first connection was made or refused.
        self.is_connected = False
        self.is_closed = False
        self.connect()

    def connect(self) -> None:
        """Open a connection without waiting for it."""
        self.unsent = memoryview(self.behaviour.head or self.behaviour.piece)
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(self.address)
        self.selector.register(self.socket, _READ | _WRITE, self)

    def handle(self, events: int) -> None:
        """Send and receive what the connection takes and has."""
        self.is_connected = True
        try:
            self.transfer(events)
        except BlockingIOError:
            return
        except OSError:
            self.close()
        if self.is_closed:
            self.is_closed = False
            self.connect()

    def transfer(self, events: int) -> None:
        """Send what the connection takes, and discard what it has."""
        if events & _WRITE:
            self.send()
        if events & _READ and not self.is_closed:
            if not self.socket.recv(_RECEIVE_BYTES):
                self.close()

    def send(self) -> None:
        """Send the next bytes; wait for the end once there are none."""
        if self.unsent:
            self.unsent = self.unsent[self.socket.send(self.unsent) :]
        if not self.unsent:
            self.unsent = memoryview(self.behaviour.piece)
        if not self.unsent and self.behaviour.closes:
            self.close()
        elif not self.unsent:
            self.selector.modify(self.socket, _READ, self)
        elif not self.behaviour.reads:
            self.selector.modify(self.socket, _WRITE, self)

    def close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.selector.unregister(self.socket)
            self.socket.close()


class LastingCrowd(Background):
    """Clients of one address, served by a thread while the context lasts.

    :param address: `ip:port`.
    :param behaviour: what the clients do.
    """

    def __init__(self, address: str, behaviour: Behaviour) -> None:
        """Create a crowd, which comes when the context is entered."""
        super().__init__()
        host, _, port = address.rpartition(':')
        self.address = (host, int(port))
        self.behaviour = behaviour
        self.thread = threading.Thread(target=self.run)
        #: Set when all clients have had time to connect.
        self.has_settled = threading.Event()
        self.errors: list[Exception] = []

    def __enter__(self) -> LastingCrowd:
        """Start the clients and wait until each has opened a connection."""
        self.thread.start()
        self.has_settled.wait()
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close all connections."""
        self.stop()
        self.thread.join()
        assert not self.errors, self.errors

    def run(self) -> None:
        with selectors.DefaultSelector() as selector:
            clients: list[LastingClient] = []
            try:
                self.serve(selector, clients)
            except Exception as error:
                self.errors.append(error)
            finally:
                self.has_settled.set()
                for client in clients:
                    client.close()

    def serve(self, selector: Any, clients: list[LastingClient]) -> None:
        until = time.monotonic() + CONNECT_TIME
        while not self.stopped.is_set():
            is_late = time.monotonic() >= until
            if not clients or clients[-1].is_connected or is_late:
                self.add_client(selector, clients)
            for key, events in selector.select(_POLL_TIME):
                key.data.handle(events)

    def add_client(self, selector: Any, clients: list[LastingClient]) -> None:
        if len(clients) < self.behaviour.clients:
            client = LastingClient(self.address, self.behaviour, selector)
            clients.append(client)
        else:
            self.has_settled.set()
