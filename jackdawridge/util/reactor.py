"""A reactor that attempts writes before polling for writability."""

from __future__ import annotations

import heapq
import sys
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

#: Module under which Twisted registers the reactor of the process.
_REACTOR_MODULE = 'twisted.internet.reactor'


class PromptReactor(EPollReactor):
    """Attempts each write at the end of the turn that requested it.

    Twisted's own reactor polls the kernel for writability first, which costs
    three system calls and another turn for each message, although the socket
    is nearly always writable for a small message. Data that the kernel does
    not accept at once waits for writability as usual. All data that a turn
    writes to one connection is sent together.
    """

    def __init__(self) -> None:
        """Create a reactor without writers."""
        #: Writers to try before the next poll, in order of their requests.
        self.pending_writers: dict[Any, None] = {}
        super().__init__()

    def addWriter(self, writer: Any) -> None:
        """Try a writer before the next poll, unless it awaits writability.

        :param writer: writer that has data to write.
        """
        if writer.fileno() not in self._writes:
            self.pending_writers[writer] = None

    def removeWriter(self, writer: Any) -> None:
        """Remove a writer.

        :param writer: writer that has no more data to write.
        """
        if writer in self.pending_writers:
            self.pending_writers.pop(writer)
        else:
            super().removeWriter(writer)

    def removeAll(self) -> list[Any]:
        """Remove all readers and writers and return them."""
        pending = list(self.pending_writers)
        self.pending_writers.clear()
        removed: list[Any] = super().removeAll()
        return removed + [writer for writer in pending if writer not in removed]

    def getWriters(self) -> list[Any]:
        """Return all writers, including the pending ones."""
        awaiting_poll: list[Any] = super().getWriters()
        return awaiting_poll + list(self.pending_writers)

    def doIteration(self, delay: float | None) -> None:
        """Try the pending writers, then poll and handle the events.

        :param delay: maximum duration of the poll in seconds, None for no
            limit.
        """
        if self.pending_writers:
            self.try_pending_writers()
            # A callback of a write may have scheduled an earlier timer.
            next_timeout = self.timeout()
            if delay is None or (
                next_timeout is not None and next_timeout < delay
            ):
                delay = next_timeout
        self.doPoll(delay)

    def timeout(self) -> float | None:
        """Return the time until the next timer in seconds, None without one.

        Cancelled timers are removed first: Twisted would wake up for each of
        them, and most requests set a timer that they cancel.
        """
        self._insertNewDelayedCalls()
        timers = self._pendingTimedCalls
        while timers and timers[0].cancelled:
            heapq.heappop(timers)
            self._cancellations -= 1
        return super().timeout()

    def try_pending_writers(self) -> None:
        """Try each pending writer once; poll for those with data left."""
        for writer in tuple(self.pending_writers):
            if writer not in self.pending_writers:
                # Closed by a callback of another connection.
                continue
            self._doReadOrWrite(writer, writer.fileno(), self._POLL_OUT)
            if writer in self.pending_writers:
                self.pending_writers.pop(writer)
                # The kernel did not accept all data: poll for writability.
                EPollReactor.addWriter(self, writer)


def install_prompt_reactor() -> None:
    """Install the reactor unless the process has one already.

    Importing a module that imports `twisted.internet.reactor` installs
    Twisted's default reactor, which is then kept.
    """
    if _REACTOR_MODULE not in sys.modules:
        installReactor(PromptReactor())
