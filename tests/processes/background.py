"""Background threads of a test, stopped at its end at the latest."""

from __future__ import annotations

import threading

#: Background activities that a test has started and not stopped yet.
_RUNNING: set[Background] = set()


class Background:
    """Activity in background threads that runs until it is stopped.

    A test that fails does not reach the call that stops the threads, and a
    thread that continues would keep the test run from ending.
    """

    def __init__(self) -> None:
        """Register the activity so that the end of the test stops it."""
        #: Set when the threads must end.
        self.stopped = threading.Event()
        _RUNNING.add(self)

    def stop(self) -> None:
        """Signal the threads to end."""
        self.stopped.set()
        _RUNNING.discard(self)


def stop_all() -> int:
    """Stop all running activities and return their number."""
    remaining = tuple(_RUNNING)
    for background in remaining:
        background.stop()
    return len(remaining)
