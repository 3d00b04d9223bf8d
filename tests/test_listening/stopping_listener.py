"""Stops a listener that has not accepted its callers' connections yet.

Prints the first line that each caller gets, or the name of its error. Runs as a
process of its own, since a reactor cannot be started twice.
"""

from __future__ import annotations

import socket
import sys
from typing import TYPE_CHECKING

from twisted.internet import reactor as default_reactor

from jackdawridge.listening.listeners import HttpListener
from jackdawridge.listening.routes import GET, Route, Routes

if TYPE_CHECKING:
    from typing import Any

CALLERS = 5
REQUEST = b'GET / HTTP/1.1\r\nHost: test\r\n\r\n'
#: Timeout of a caller, in seconds.
TIMEOUT = 5.0

reactor: Any = default_reactor


def serve(request: object, rest: str) -> bytes:
    """Return the body of each answer."""
    return b'served'


def stop_with_callers(address: str) -> None:
    """Connect and send requests within one turn, then stop the listener."""
    routes = Routes(Route('/', GET, serve))
    listener = HttpListener(reactor, address, routes)
    listener.start()
    host, _, port = address.rpartition(':')
    callers = [
        socket.create_connection((host, int(port)), TIMEOUT)
        for _ in range(CALLERS)
    ]
    for caller in callers:
        caller.sendall(REQUEST)
    listener.stop().addCallback(lambda _: finish(callers))


def finish(callers: list[socket.socket]) -> None:
    """Print what the callers have got and end the process."""
    for caller in callers:
        try:
            line = caller.recv(1024).partition(b'\r\n')[0].decode()
        except OSError as error:
            line = type(error).__name__
        sys.stdout.write(f'{line}\n')
    reactor.stop()


if __name__ == '__main__':
    reactor.callWhenRunning(stop_with_callers, sys.argv[1])
    reactor.run()
