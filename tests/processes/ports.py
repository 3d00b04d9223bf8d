"""Allocation of free ports on loopback."""

from __future__ import annotations

import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path
from typing import IO

#: Ports below the range that systems use for outgoing connections.
FIRST_PORT = 15000
LAST_PORT = 32000
#: Number of ports that a test run reserves at a time. Concurrent runs on one
#: machine could otherwise choose the same port before a process listens on it.
BLOCK_SIZE = 100

_random = random.Random(os.getpid())  # noqa: S311
#: Reserved ports of this run that are not allocated yet.
_ports: list[int] = []
#: Locks of the reserved blocks, held until this run ends.
_locks: list[IO[bytes]] = []


def find_free_addresses(count: int) -> list[str]:
    """Return distinct free addresses on loopback.

    :param count: number of addresses.
    """
    ports: list[int] = []
    while len(ports) < count:
        if not _ports:
            _ports.extend(reserve_block())
        port = _ports.pop()
        if is_free(port):
            ports.append(port)
    return [f'127.0.0.1:{port}' for port in ports]


def reserve_block() -> list[int]:
    """Reserve a block of ports for this run; return them in random order.

    :raises RuntimeError: if other runs have reserved all blocks.
    """
    firsts = list(range(FIRST_PORT, LAST_PORT, BLOCK_SIZE))
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
        ports = list(range(first, first + BLOCK_SIZE))
        _random.shuffle(ports)
        return ports
    raise RuntimeError('all blocks of ports are reserved by other test runs')


def is_free(port: int) -> bool:
    """Return whether a port on loopback can be bound.

    :param port: port number.
    """
    with socket.socket() as listener:
        try:
            listener.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
