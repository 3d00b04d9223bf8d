"""Test of the demo as a user runs it."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

LIMIT = 120


@pytest.mark.processes
class TestDemo:
    def test_promises_hold_in_its_report(self) -> None:
        command = [sys.executable, '-m', 'jackdawridge', 'demo']
        ran = subprocess.run(
            [*command, '--json', '--deployment', 'fiscalia', '--seed', '3'],
            capture_output=True,
            text=True,
            timeout=LIMIT,
            check=False,
        )
        report = json.loads(ran.stdout.splitlines()[-1])
        assert ran.returncode == 0, ran.stderr
        assert report['jobs_complete'] > 0
        assert report['tasks'] > report['jobs_complete']
        for name in ('jobs_failed', 'jobs_partial', 'double_starts'):
            assert report[name] == 0
        assert report['late_starts_in_removed_domain'] == 0
        assert report['requests'] > 0
        assert report['requests_failed'] == 0
