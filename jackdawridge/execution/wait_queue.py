"""Starts that wait at a side for room that is about to become free."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.execution.messages import Room

if TYPE_CHECKING:
    from collections.abc import Collection

    from jackdawridge.execution.messages import Start, TaskKey

#: Time that a start waits for room before it is refused, in seconds.
WAIT_TIME = 0.06

#: Starts that wait at a time.
MAX_WAITERS = 64

#: Nothing.
EMPTY_ROOM = Room(0, 0, 0, 0)


class Waiter(NamedTuple):
    """A start that waits."""

    #: Incarnation of the entry that sent it.
    entry: str
    #: Number of the send window that it came in.
    window: int
    start: Start
    waiting_since: float


class WaitQueue:
    """Starts in the order of their arrival; none overtakes another."""

    def __init__(self) -> None:
        """Begin empty."""
        self.waiters: deque[Waiter] = deque()
        self.keys: set[TaskKey] = set()
        #: What all that wait ask for together.
        self.requested = EMPTY_ROOM

    def join(self, waiter: Waiter) -> bool:
        """Let a start wait, unless too many do.

        :param waiter: the start.
        """
        if len(self.waiters) >= MAX_WAITERS:
            return False
        self.waiters.append(waiter)
        self.update_totals()
        return True

    def leave(self) -> Waiter:
        """Take the first start out."""
        waiter = self.waiters.popleft()
        self.update_totals()
        return waiter

    def is_overdue(self, now: float) -> bool:
        """Return whether the first start has waited too long.

        :param now: local time in seconds.
        """
        return bool(self.waiters) and (
            now - self.waiters[0].waiting_since >= WAIT_TIME
        )

    def remove(self, entry: str, tickets: Collection[str]) -> list[Waiter]:
        """Take out the starts of some jobs.

        :param entry: incarnation of the entry whose jobs they are.
        :param tickets: of the jobs.
        """
        leaving = [
            waiter
            for waiter in self.waiters
            if waiter.entry == entry and waiter.start.ticket in tickets
        ]
        if leaving:
            self.waiters = deque(
                waiter for waiter in self.waiters if waiter not in leaving
            )
            self.update_totals()
        return leaving

    def update_totals(self) -> None:
        """Sum up what is asked for, and by whom."""
        self.keys = {waiter.start.key() for waiter in self.waiters}
        self.requested = Room(
            sum(waiter.start.cores for waiter in self.waiters),
            sum(waiter.start.memory for waiter in self.waiters),
            sum(waiter.start.accelerators for waiter in self.waiters),
            0,
        )
