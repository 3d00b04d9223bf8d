"""Tests of the ports that tests listen on."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from tests.processes.ports import BLOCK, find_free_addresses, take_block

ROOT = Path(__file__).resolve().parents[1]
#: Takes ports and holds them until its input ends.
OTHER_RUN = """
import sys
from tests.processes.ports import take_block
print(*(port for _ in range(3) for port in take_block()), flush=True)
sys.stdin.read()
"""


class TestPorts:
    def test_addresses_are_different(self) -> None:
        found = find_free_addresses(2 * BLOCK)
        assert len(set(found)) == len(found)

    def test_runs_at_the_same_time_share_no_port(self) -> None:
        with subprocess.Popen(
            [sys.executable, '-c', OTHER_RUN],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        ) as other:
            assert other.stdout is not None
            theirs = {int(port) for port in other.stdout.readline().split()}
            ours = {port for _ in range(3) for port in take_block()}
            assert other.stdin is not None
            other.stdin.close()
        assert len(theirs) == len(ours) == 3 * BLOCK
        assert not theirs & ours
