"""Limit on the memory that request bodies take."""

from __future__ import annotations

#: Length up to which a body is always accepted, in bytes. The number of such
#: bodies is limited by the number of connections of a listener.
SMALL_BODY_BYTES = 4096


class BodyMemory:
    """Counts the memory of all bodies longer than `SMALL_BODY_BYTES`.

    :param limit: highest total length of these bodies, in bytes.
    """

    def __init__(self, limit: int) -> None:
        """Start with all of the memory free."""
        self.limit = limit
        self.used = 0


class BodyReservation:
    """The memory that the body of one request has reserved.

    :param memory: the memory from which it is reserved.
    """

    def __init__(self, memory: BodyMemory) -> None:
        """Start with an empty body, which needs no memory."""
        self.memory = memory
        #: Length of the body so far, in bytes.
        self.length = 0
        #: Memory that is reserved for the body, in bytes.
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Reserve memory for a chunk; return whether there is enough.

        :param size: length of the chunk, in bytes.
        """
        self.length += size
        if self.length <= SMALL_BODY_BYTES:
            return True
        missing = self.length - self.reserved
        if self.memory.used + missing > self.memory.limit:
            return False
        self.memory.used += missing
        self.reserved = self.length
        return True

    def release(self) -> None:
        """Release the memory; further calls have no effect."""
        self.memory.used -= self.reserved
        self.reserved = 0
