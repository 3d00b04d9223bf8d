"""Limit on what the connections of a process hold together.

Answers a crowd of clients that send without end: requests that never become
complete, and requests whose answers are never read.
"""

from __future__ import annotations

from typing import Protocol

#: Memory for what all connections of a process hold, in bytes.
DEFAULT_CONNECTION_MEMORY = 25165824
#: Part of the limit that is free after connections were evicted, as a divisor.
#: All connections are measured each time, so many small ones are evicted at a
#: time and not one by one.
SPARE_PART = 64


class Holder(Protocol):
    """A connection that holds memory."""

    #: Time at which its last request began to arrive, in seconds.
    received_after: float

    def measure(self) -> int:
        """Return what the connection holds now, in bytes."""

    def evict(self) -> None:
        """Close the connection, which has been released."""


class ConnectionMemory:
    """Counts what connections hold and closes the largest beyond a limit.

    :param limit: highest total of the connections, in bytes.
    """

    def __init__(self, limit: int = DEFAULT_CONNECTION_MEMORY) -> None:
        """Start without connections."""
        self.limit = limit
        self.used = 0
        #: What each connection held when it was last counted, in bytes.
        self.sizes: dict[Holder, int] = {}

    def count(self, holder: Holder) -> None:
        """Count what a connection holds now; evict some beyond the limit.

        :param holder: the connection, which may be evicted itself.
        """
        self.recount(holder)
        if self.used > self.limit:
            self.relieve()

    def recount(self, holder: Holder) -> None:
        """Replace the amount of a connection by what it holds now.

        :param holder: the connection.
        """
        size = holder.measure()
        self.used += size - self.sizes.get(holder, 0)
        self.sizes[holder] = size

    def release(self, holder: Holder) -> None:
        """Forget a connection; further calls have no effect.

        :param holder: a connection that is closed.
        """
        self.used -= self.sizes.pop(holder, 0)

    def relieve(self) -> None:
        """Evict connections until a `SPARE_PART` of the limit is free.

        All are measured first: a client may have read its answer since its
        connection was counted. None is evicted if they are within the limit.
        """
        for holder in self.sizes:
            self.recount(holder)
        if self.used <= self.limit:
            return
        target = self.limit - self.limit // SPARE_PART
        for candidate in rank(self.sizes):
            if self.used <= target:
                return
            self.release(candidate)
            candidate.evict()


def rank(sizes: dict[Holder, int]) -> list[Holder]:
    """Return connections in the order of their eviction.

    The first holds most. Among equals it is the one whose request began to
    arrive first.

    :param sizes: what each connection holds, in bytes.
    """
    return sorted(
        sizes,
        key=lambda holder: (-sizes[holder], holder.received_after),
    )
