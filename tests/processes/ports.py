"""Free ports on loopback."""

from __future__ import annotations

import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path
from typing import IO

#: Below the ports that systems give to outgoing connections.
FIRST_PORT = 15000
LAST_PORT = 32000
#: Ports that a test run takes at a time, so that runs at the same time on one
#: machine never find the same port before a process listens on it.
BLOCK = 100

_random = random.Random(os.getpid())  # noqa: S311
#: Ports of the blocks of this run that were not given out yet.
_ports: list[int] = []
#: Held as long as this run lasts.
_locks: list[IO[bytes]] = []


def find_free_addresses(count: int) -> list[str]:
    """Return as many different free addresses on loopback.

    :param count: of addresses.
    """
    ports: list[int] = []
    while len(ports) < count:
        if not _ports:
            _ports.extend(take_block())
        port = _ports.pop()
        if is_free(port):
            ports.append(port)
    return [f'127.0.0.1:{port}' for port in ports]


def take_block() -> list[int]:
    """Return ports that no other run takes, in random order.

    :raises RuntimeError: if all blocks are taken.
    """
    firsts = list(range(FIRST_PORT, LAST_PORT, BLOCK))
    _random.shuffle(firsts)
    for first in firsts:
        path = Path(tempfile.gettempdir()) / f'jackdawridge-ports-{first}'
        lock = path.open('ab')
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        _locks.append(lock)
        ports = list(range(first, first + BLOCK))
        _random.shuffle(ports)
        return ports
    raise RuntimeError('other test runs have taken all ports')


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
