"""Send windows, which bound the age of a start without a common clock."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class SendWindow(NamedTuple):
    """A send window that a side has opened."""

    number: int
    #: Local time at which it was opened, in seconds.
    opened: float


class SendWindows:
    """The send windows from which a side still accepts starts.

    :param duration: time for which a window stays open, in seconds.
    """

    def __init__(self, duration: float) -> None:
        """Initialise without an open window."""
        self.duration = duration
        self.number = 0
        self.windows: deque[SendWindow] = deque()

    def open(self, now: float) -> int:
        """Open the next window and return its number.

        :param now: local time in seconds.
        """
        self.close_old(now)
        self.number += 1
        self.windows.append(SendWindow(self.number, now))
        return self.number

    def accepts(self, number: int, now: float) -> bool:
        """Return whether a window is still open.

        :param number: number of the window, from a start.
        :param now: local time in seconds.
        """
        self.close_old(now)
        if not self.windows:
            return False
        return self.windows[0].number <= number <= self.number

    def opened(self, number: int) -> float | None:
        """Return when a window was opened, None if it was closed since.

        :param number: number of the window, from a reply to a heartbeat.
        """
        for window in self.windows:
            if window.number == number:
                return window.opened
        return None

    def close_old(self, now: float) -> None:
        """Close the windows whose duration is over.

        :param now: local time in seconds.
        """
        while self.windows and self.windows[0].opened < now - self.duration:
            self.windows.popleft()
