"""Threads of a test, which end with the test at the latest."""

from __future__ import annotations

import threading

#: Seen by all threads that a test has started and not ended yet.
_RUNNING: set[Background] = set()


class Background:
    """Something that goes on in threads until it is told to stop.

    A test that fails does not come to the line that stops it. A thread that
    went on would keep the whole run from ending.
    """

    def __init__(self) -> None:
        """Let the end of the test stop it."""
        #: Set when the threads have to end.
        self.stopped = threading.Event()
        _RUNNING.add(self)

    def stop(self) -> None:
        """Tell the threads to end."""
        self.stopped.set()
        _RUNNING.discard(self)


def stop_all() -> int:
    """Stop what a test has left running, and return how much that was."""
    left = tuple(_RUNNING)
    for background in left:
        background.stop()
    return len(left)
