"""Tests of the end of what a failed test has left running."""

from __future__ import annotations

import subprocess  # noqa: S404
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
#: Time for a run that would never end if a thread went on, in seconds.
TIMEOUT = 60

FAILING = """
import threading
from tests.processes.background import Background

class Endless(Background):
    def __init__(self):
        super().__init__()
        threading.Thread(target=self.run).start()

    def run(self):
        while not self.stopped.wait(0.01):
            pass

def test_fails():
    Endless()
    raise AssertionError
"""


class TestFailedTest:
    def test_its_threads_do_not_keep_the_run_from_ending(
        self, tmp_path: Path
    ) -> None:
        file = tmp_path / 'test_failing.py'
        file.write_text(FAILING)
        command = [sys.executable, '-m', 'pytest', '-p', 'tests.conftest']
        ran = subprocess.run(  # noqa: S603
            [*command, '-c', 'pyproject.toml', str(file)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT,
            check=False,
        )
        assert ran.returncode == 1, ran.stdout
        assert '1 failed' in ran.stdout
