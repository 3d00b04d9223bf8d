"""Free ports on loopback."""

from __future__ import annotations

import os
import random
import socket

#: Below the ports that systems give to outgoing connections.
FIRST_PORT = 15000
LAST_PORT = 32000

# Test runs at the same time must not look for ports in the same order.
_random = random.Random(os.getpid())  # noqa: S311
# A port is free until the process that it was found for listens on it.
_found: set[int] = set()


def find_free_addresses(count: int) -> list[str]:
    """Return as many different free addresses on loopback.

    :param count: of addresses.
    """
    ports: set[int] = set()
    while len(ports) < count:
        port = _random.randint(FIRST_PORT, LAST_PORT)
        if port not in _found and is_free(port):
            ports.add(port)
            _found.add(port)
    return [f'127.0.0.1:{port}' for port in ports]


def is_free(port: int) -> bool:
    """Return whether nothing listens on a port.

    :param port: on loopback.
    """
    with socket.socket() as listener:
        try:
            listener.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
