"""Tests of the shutdown of a listener."""

from __future__ import annotations

import subprocess
import sys

from tests.processes.ports import find_free_addresses
from tests.test_listening.stopping_listener import CALLERS

#: Time limit of the process, in seconds.
TIMEOUT = 30


class TestStop:
    def test_connections_that_wait_for_acceptance_are_answered(self) -> None:
        """Closing the port alone resets them."""
        address = find_free_addresses(1)[0]
        ended = subprocess.run(
            [
                sys.executable,
                '-m',
                'tests.test_listening.stopping_listener',
                address,
            ],
            capture_output=True,
            check=True,
            text=True,
            timeout=TIMEOUT,
        )
        lines = ended.stdout.splitlines()
        assert len(lines) == CALLERS
        assert set(lines) == {'HTTP/1.1 200 OK'}
