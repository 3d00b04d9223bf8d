"""A reactor that writes without waiting for the word that it can."""

from __future__ import annotations

import heapq
import sys
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

#: By which Twisted keeps the reactor of the process.
_REACTOR_MODULE = 'twisted.internet.reactor'


class PromptReactor(EPollReactor):
    """Tries each write at the end of the turn that asked for it.

    Twisted's own reactor asks the kernel first whether the socket can be
    written to, which costs three system calls and another turn for each
    message, while the socket of a small message nearly always can. What
    cannot be written at once waits as usual. All that a turn writes to one
    connection leaves together.
    """

    def __init__(self) -> None:
        """Start without anything to write."""
        #: Writers that are tried before the next wait, in their order.
        self.due: dict[Any, None] = {}
        super().__init__()

    def addWriter(self, writer: Any) -> None:
        """Try a writer before the next wait.

        :param writer: has something to write.
        """
        if writer.fileno() not in self._writes:
            self.due[writer] = None

    def removeWriter(self, writer: Any) -> None:
        """Give up a writer.

        :param writer: has nothing to write any more.
        """
        if writer in self.due:
            self.due.pop(writer)
        else:
            super().removeWriter(writer)

    def removeAll(self) -> list[Any]:
        """Give up all readers and writers and return them."""
        due = list(self.due)
        self.due.clear()
        removed: list[Any] = super().removeAll()
        return removed + [writer for writer in due if writer not in removed]

    def getWriters(self) -> list[Any]:
        """Return all writers, those that are tried soon among them."""
        waiting: list[Any] = super().getWriters()
        return waiting + list(self.due)

    def doIteration(self, delay: float | None) -> None:
        """Write what is due, then wait for events and act on them.

        :param delay: longest wait in seconds, None for any.
        """
        if self.due:
            self.write_due()
            # What was written may have called back and set a timer.
            soonest = self.timeout()
            if delay is None or (soonest is not None and soonest < delay):
                delay = soonest
        self.doPoll(delay)

    def timeout(self) -> float | None:
        """Return the longest wait until a timer, None if there is none.

        Timers that were cancelled are dropped here: Twisted would wake up
        for each of them, and most requests set one that they cancel.
        """
        self._insertNewDelayedCalls()
        timers = self._pendingTimedCalls
        while timers and timers[0].cancelled:
            heapq.heappop(timers)
            self._cancellations -= 1
        return super().timeout()

    def write_due(self) -> None:
        """Try each writer once; one that has not finished waits."""
        for writer in tuple(self.due):
            if writer not in self.due:
                # The end of another connection has ended this one.
                continue
            self._doReadOrWrite(writer, writer.fileno(), self._POLL_OUT)
            if writer in self.due:
                self.due.pop(writer)
                # From here on the kernel tells when the writer can go on.
                EPollReactor.addWriter(self, writer)


def install_unless_any() -> None:
    """Make this the reactor of the process.

    A process whose imports have asked for a reactor before keeps that one.
    """
    if _REACTOR_MODULE not in sys.modules:
        installReactor(PromptReactor())
