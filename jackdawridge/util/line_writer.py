"""Non-blocking writes of log lines, which are dropped if the reader stalls."""

from __future__ import annotations

import os
import stat
from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.util.clock import Clock

#: Maximum size of the buffered lines, in bytes; about one second of lines at
#: `MAX_LINES_PER_SECOND`.
MAX_BUFFER_BYTES = 1048576
#: Fraction of the buffer that ordinary lines may fill; the rest is reserved
#: for important ones.
ORDINARY_FRACTION = 0.5
#: Fraction of the buffer below which dropped lines are reported.
REPORT_FRACTION = 0.25
#: Maximum number of ordinary lines a second; further ones are dropped.
MAX_LINES_PER_SECOND = 2000
#: Maximum number of important lines a second; further ones are dropped.
MAX_IMPORTANT_LINES_PER_SECOND = 4000
#: Delay before writing again to a reader that was too slow, in seconds.
RETRY_DELAY = 0.05


class DroppedLines(NamedTuple):
    """Numbers of lines that were dropped."""

    ordinary: int
    important: int


class LineWriter:
    """Buffers the lines of a reactor turn and writes them together.

    Lines beyond the limits on size and rate are dropped and counted. Once the
    buffer has drained, a line reports their number. Ordinary lines are
    dropped before important ones.

    :param descriptor: file descriptor of the stream.
    :param format_report: returns the line that reports dropped lines.
    """

    def __init__(
        self, descriptor: int, format_report: Callable[[DroppedLines], bytes]
    ) -> None:
        """Make the descriptor non-blocking if it is a pipe or a socket."""
        self.descriptor = descriptor
        self.format_report = format_report
        self.lines: deque[bytes] = deque()
        #: Size of the buffered lines, in bytes.
        self.size = 0
        #: Lines dropped since the last report.
        self.dropped = DroppedLines(0, 0)
        #: The reactor while it runs; lines are written immediately if None.
        self.clock: Clock | None = None
        self.is_flush_scheduled = False
        #: Start of the second for which lines are counted.
        self.window_start: float = 0
        #: Lines in that second, by whether they are important.
        self.lines_in_window: Counter[bool] = Counter()
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def start_buffering(self, clock: Clock) -> None:
        """Buffer the lines of each reactor turn from now on.

        :param clock: the reactor, which is about to run.
        """
        self.clock = clock

    def stop_buffering(self) -> None:
        """Write lines immediately from now on, as the reactor has stopped."""
        self.clock = None
        self.flush()

    def write(self, line: bytes, *, is_important: bool) -> None:
        """Write or buffer a line, or drop it if a limit is exceeded.

        :param line: line with its line break.
        :param is_important: whether the line is subject to the limits of
            important lines, and may fill the whole buffer.
        """
        if not self.accepts(len(line), is_important=is_important):
            ordinary, important = self.dropped
            self.dropped = DroppedLines(
                ordinary + (not is_important), important + is_important
            )
            return
        self.lines.append(line)
        self.size += len(line)
        if self.clock is None:
            self.flush()
        elif not self.is_flush_scheduled:
            self.schedule_flush(0)

    def accepts(self, size: int, *, is_important: bool) -> bool:
        """Return whether a line is within the limits on size and rate.

        The line is counted towards the limit on the rate.

        :param size: size of the line in bytes.
        :param is_important: whether it is an important line.
        """
        fraction = 1 if is_important else ORDINARY_FRACTION
        if self.size + size > fraction * MAX_BUFFER_BYTES:
            return False
        if self.clock is None:
            return True
        now = self.clock.seconds()
        if now - self.window_start >= 1:
            self.window_start = now
            self.lines_in_window.clear()
        self.lines_in_window[is_important] += 1
        limit = (
            MAX_IMPORTANT_LINES_PER_SECOND
            if is_important
            else MAX_LINES_PER_SECOND
        )
        return self.lines_in_window[is_important] <= limit

    def schedule_flush(self, delay: float) -> None:
        """Flush the buffer after a delay, if the reactor runs.

        :param delay: delay in seconds.
        """
        if self.clock is not None:
            self.is_flush_scheduled = True
            self.clock.callLater(delay, self.flush)

    def flush(self) -> None:
        """Write as much as the reader accepts and schedule the rest."""
        self.is_flush_scheduled = False
        if any(self.dropped) and self.size < REPORT_FRACTION * MAX_BUFFER_BYTES:
            line = self.format_report(self.dropped)
            self.lines.append(line)
            self.size += len(line)
            self.dropped = DroppedLines(0, 0)
        while self.lines:
            if not self.write_buffer():
                break
        if self.lines:
            self.schedule_flush(RETRY_DELAY)

    def write_buffer(self) -> bool:
        """Write the buffer once and return whether all of it was accepted."""
        buffered = b''.join(self.lines)
        try:
            written = os.write(self.descriptor, buffered)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the stream, and there is no other one on
            # which to report this.
            written = len(buffered)
        remainder = buffered[written:]
        self.lines.clear()
        self.size = len(remainder)
        if remainder:
            self.lines.append(remainder)
        return not remainder
