"""A real process of the project, started and ended by a test."""

from __future__ import annotations

import json
import os
import signal
import subprocess  # noqa: S404
import sys
import threading
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
#: Time for a process to say that it is ready, in seconds.
READY_TIMEOUT = 30
#: Length of the part of a log that an error shows, in characters.
TAIL = 2000


class Process:
    """One process.

    :param name: shown in messages.
    :param arguments: of `python -m`.
    :param log: file that takes its error stream, and what it prints unless
        it announces itself.
    :param announces: whether it prints a line when it is ready.
    """

    def __init__(
        self,
        name: str,
        arguments: list[str],
        log: Path,
        *,
        announces: bool = True,
    ) -> None:
        """Start the process."""
        self.name = name
        self.log = log
        with log.open('ab') as stream:
            self.popen = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', *arguments],
                cwd=ROOT,
                stdout=subprocess.PIPE if announces else stream,
                stderr=stream,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )
        #: Whether the test has ended it.
        self.is_ended = False
        #: What the process said when it was ready.
        self.ready: dict[str, Any] = {}

    def wait_ready(self) -> dict[str, Any]:
        """Return the line of JSON that the process prints first."""
        assert self.popen.stdout is not None
        timer = threading.Timer(READY_TIMEOUT, self.popen.kill)
        timer.start()
        try:
            line = self.popen.stdout.readline()
        finally:
            timer.cancel()
        if not line:
            raise AssertionError(f'{self.name} did not start: {self.tail()}')
        self.ready = json.loads(line)
        return self.ready

    def tail(self) -> str:
        """Return the end of its log."""
        return self.log.read_text()[-TAIL:]

    def kill(self) -> None:
        """End the process at once and wait for its end."""
        self.is_ended = True
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Stop the process without its knowledge."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to end."""
        self.is_ended = True
        self.popen.terminate()

    def wait(self, timeout: float) -> int:
        """Return the exit code.

        :param timeout: in seconds.
        """
        return self.popen.wait(timeout)

    def close(self) -> None:
        """Make sure that the process has ended."""
        if self.popen.poll() is None:
            self.resume()
            self.kill()
        if self.popen.stdout is not None:
            self.popen.stdout.close()
