"""Free addresses on loopback."""

from __future__ import annotations

import socket
from contextlib import ExitStack


def find_addresses(count: int) -> list[str]:
    """Return as many different free addresses."""
    with ExitStack() as stack:
        listeners = [stack.enter_context(socket.socket()) for _ in range(count)]
        for listener in listeners:
            listener.bind(('127.0.0.1', 0))
        return [
            '127.0.0.1:{0}'.format(listener.getsockname()[1])
            for listener in listeners
        ]
