"""Send windows, which bound the age of a start without a common clock."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class SendWindow(NamedTuple):
    """A number that a side has given out."""

    number: int
    #: Local time at which it was given out, in seconds.
    opened: float


class SendWindows:
    """The numbers that a side still takes.

    :param duration: time for which a number is taken, in seconds.
    """

    def __init__(self, duration: float) -> None:
        """Start without an open window."""
        self.duration = duration
        self.number = 0
        self.windows: deque[SendWindow] = deque()

    def open(self, now: float) -> int:
        """Give out the next number.

        :param now: local time in seconds.
        """
        self.close_old(now)
        self.number += 1
        self.windows.append(SendWindow(self.number, now))
        return self.number

    def accepts(self, number: int, now: float) -> bool:
        """Return whether a number was given out recently.

        :param number: from a start.
        :param now: local time in seconds.
        """
        self.close_old(now)
        if not self.windows:
            return False
        return self.windows[0].number <= number <= self.number

    def opened(self, number: int) -> float | None:
        """Return when a number was given out, None if that is long ago.

        :param number: from a reply to a heartbeat.
        """
        for window in self.windows:
            if window.number == number:
                return window.opened
        return None

    def close_old(self, now: float) -> None:
        """Drop the numbers that are no longer taken.

        :param now: local time in seconds.
        """
        while self.windows and self.windows[0].opened < now - self.duration:
            self.windows.popleft()
