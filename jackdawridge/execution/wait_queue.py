"""Queue of starts that wait at a side for room to become free."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.execution.messages import Room

if TYPE_CHECKING:
    from collections.abc import Collection

    from jackdawridge.execution.messages import Start, TaskKey

#: Time after which a queued start is refused, in seconds.
MAX_WAIT_TIME = 0.06

#: Most starts in the queue.
MAX_WAITERS = 64

#: No room at all.
EMPTY_ROOM = Room(0, 0, 0, 0)


class Waiter(NamedTuple):
    """A start in the queue."""

    #: Incarnation of the entry that sent the start.
    entry: str
    #: Send window that the start carries.
    window: int
    start: Start
    waiting_since: float


class WaitQueue:
    """Starts in order of arrival; none is admitted before an earlier one."""

    def __init__(self) -> None:
        """Initialise an empty queue."""
        self.waiters: deque[Waiter] = deque()
        self.keys: set[TaskKey] = set()
        #: Sum of the room that the queued starts request.
        self.requested = EMPTY_ROOM

    def append(self, waiter: Waiter) -> bool:
        """Append a start unless the queue is full.

        :param waiter: start to append.
        :returns: whether it was appended.
        """
        if len(self.waiters) >= MAX_WAITERS:
            return False
        self.waiters.append(waiter)
        self.update_totals()
        return True

    def pop_first(self) -> Waiter:
        """Remove and return the first start."""
        waiter = self.waiters.popleft()
        self.update_totals()
        return waiter

    def is_overdue(self, now: float) -> bool:
        """Return whether the first start has waited too long.

        :param now: local time in seconds.
        """
        return bool(self.waiters) and (
            now - self.waiters[0].waiting_since >= MAX_WAIT_TIME
        )

    def remove(self, entry: str, tickets: Collection[str]) -> list[Waiter]:
        """Remove and return the starts of some jobs.

        :param entry: incarnation of the entry that sent them.
        :param tickets: tickets of the jobs.
        """
        removed = [
            waiter
            for waiter in self.waiters
            if waiter.entry == entry and waiter.start.ticket in tickets
        ]
        if removed:
            self.waiters = deque(
                waiter for waiter in self.waiters if waiter not in removed
            )
            self.update_totals()
        return removed

    def update_totals(self) -> None:
        """Recompute the keys and the requested room of the queue."""
        self.keys = {waiter.start.key() for waiter in self.waiters}
        self.requested = Room(
            sum(waiter.start.cores for waiter in self.waiters),
            sum(waiter.start.memory for waiter in self.waiters),
            sum(waiter.start.accelerators for waiter in self.waiters),
            0,
        )
