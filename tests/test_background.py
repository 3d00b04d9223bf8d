"""Tests of stopping background threads that a failed test has left running."""

from __future__ import annotations

import subprocess  # noqa: S404
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
#: Time limit for the test run, which never ends if a thread continues, in
#: seconds.
TIMEOUT = 60

#: A test that fails without stopping the thread that it has started.
FAILING_TEST = """
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
    def test_background_threads_do_not_block_the_end_of_the_run(
        self, tmp_path: Path
    ) -> None:
        file = tmp_path / 'test_failing.py'
        file.write_text(FAILING_TEST)
        command = [sys.executable, '-m', 'pytest', '-p', 'tests.conftest']
        completed = subprocess.run(  # noqa: S603
            [*command, '-c', 'pyproject.toml', str(file)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT,
            check=False,
        )
        assert completed.returncode == 1, completed.stdout
        assert '1 failed' in completed.stdout
