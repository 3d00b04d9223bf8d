"""Tests of the allocation of ports for tests."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from tests.processes.ports import BLOCK_SIZE, find_free_addresses, reserve_block

ROOT = Path(__file__).resolve().parents[1]
#: Script that reserves blocks of ports until its standard input is closed.
OTHER_RUN = """
import sys
from tests.processes.ports import reserve_block
print(*(port for _ in range(3) for port in reserve_block()), flush=True)
sys.stdin.read()
"""


class TestPorts:
    def test_addresses_are_distinct(self) -> None:
        found = find_free_addresses(2 * BLOCK_SIZE)
        assert len(set(found)) == len(found)

    def test_concurrent_runs_share_no_port(self) -> None:
        with subprocess.Popen(
            [sys.executable, '-c', OTHER_RUN],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        ) as other:
            assert other.stdout is not None
            other_ports = {
                int(port) for port in other.stdout.readline().split()
            }
            own_ports = {port for _ in range(3) for port in reserve_block()}
            assert other.stdin is not None
            other.stdin.close()
        assert len(other_ports) == len(own_ports) == 3 * BLOCK_SIZE
        assert not other_ports & own_ports
