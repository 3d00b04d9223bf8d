"""Test of the command `demo` in a process of its own."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

#: Timeout of the command, in seconds.
TIMEOUT = 120


@pytest.mark.processes
class TestDemoCommand:
    def test_report_shows_no_violation(self) -> None:
        command = [sys.executable, '-m', 'jackdawridge', 'demo']
        completed = subprocess.run(
            [*command, '--json', '--deployment', 'fiscalia', '--seed', '3'],
            capture_output=True,
            text=True,
            timeout=TIMEOUT,
            check=False,
        )
        report = json.loads(completed.stdout.splitlines()[-1])
        assert completed.returncode == 0, completed.stderr
        assert report['jobs_complete'] > 0
        assert report['tasks'] > report['jobs_complete']
        for name in ('jobs_failed', 'jobs_partial', 'double_starts'):
            assert report[name] == 0
        assert report['late_starts_in_removed_domain'] == 0
        assert report['requests'] > 0
        assert report['requests_failed'] == 0
