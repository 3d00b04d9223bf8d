"""Writes lines to a reader that may stop reading, and never waits for it."""

from __future__ import annotations

import os
import stat
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.util.clock import Clock

#: Bytes that wait for the reader at most; a second of lines at the rate below
#: takes about as much.
BUFFER_BYTES = 1048576
#: Part of that for lines that may be left out.
ORDINARY_PART = 0.5
#: Part below which it is said what was left out.
RESUME_PART = 0.25
#: Ordinary lines a second; the rest is counted and left out.
LINE_RATE = 2000
#: Time after which a reader that was too slow is tried again, in seconds.
RETRY_TIME = 0.05


class LeftOut(NamedTuple):
    """Lines that were not written."""

    ordinary: int
    important: int


class LineWriter:
    """Keeps lines in order until the end of the turn, then writes them at once.

    Lines beyond the bounds are left out and counted; once there is room again
    a line says how many. Important lines are the last to be left out.

    :param descriptor: file descriptor of the stream.
    :param summary: makes the line that says what was left out.
    """

    def __init__(
        self, descriptor: int, summary: Callable[[LeftOut], bytes]
    ) -> None:
        """Make writing to a pipe return at once."""
        self.descriptor = descriptor
        self.summary = summary
        self.lines: deque[bytes] = deque()
        self.size = 0
        self.left_out = LeftOut(0, 0)
        #: The reactor once it runs; until then lines are written at once.
        self.clock: Clock | None = None
        self.is_planned = False
        self.window_from: float = 0
        self.in_window = 0
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def follow(self, clock: Clock) -> None:
        """Gather lines by turns of a loop from now on.

        :param clock: the reactor, which is about to run.
        """
        self.clock = clock

    def finish(self) -> None:
        """Write at once from now on: the loop ends."""
        self.clock = None
        self.flush()

    def write(self, line: bytes, *, is_important: bool) -> None:
        """Take a line.

        :param line: with its end.
        :param is_important: whether it is left out last.
        """
        ordinary, important = self.left_out
        if is_important:
            if self.size + len(line) > BUFFER_BYTES:
                self.left_out = LeftOut(ordinary, important + 1)
                return
        elif not self.has_room(len(line)):
            self.left_out = LeftOut(ordinary + 1, important)
            return
        self.lines.append(line)
        self.size += len(line)
        if self.clock is None:
            self.flush()
        elif not self.is_planned:
            self.plan(0)

    def has_room(self, size: int) -> bool:
        """Return whether one more ordinary line is within the bounds.

        :param size: of the line in bytes.
        """
        if self.size + size > ORDINARY_PART * BUFFER_BYTES:
            return False
        if self.clock is None:
            return True
        now = self.clock.seconds()
        if now - self.window_from >= 1:
            self.window_from = now
            self.in_window = 0
        self.in_window += 1
        return self.in_window <= LINE_RATE

    def plan(self, delay: float) -> None:
        """Write a little later.

        :param delay: in seconds.
        """
        if self.clock is not None:
            self.is_planned = True
            self.clock.callLater(delay, self.flush)

    def flush(self) -> None:
        """Write what the reader takes, and the rest later."""
        self.is_planned = False
        if any(self.left_out) and self.size < RESUME_PART * BUFFER_BYTES:
            line = self.summary(self.left_out)
            self.lines.append(line)
            self.size += len(line)
            self.left_out = LeftOut(0, 0)
        while self.lines:
            if not self.write_some():
                break
        if self.lines:
            self.plan(RETRY_TIME)

    def write_some(self) -> bool:
        """Write once and return whether the reader may take more."""
        waiting = b''.join(self.lines)
        try:
            written = os.write(self.descriptor, waiting)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads any more, and there is nowhere to say so.
            written = len(waiting)
        rest = waiting[written:]
        self.lines.clear()
        self.size = len(rest)
        if rest:
            self.lines.append(rest)
        return not rest
