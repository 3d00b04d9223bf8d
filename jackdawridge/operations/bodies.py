"""The bound on the bodies of requests that a process holds."""

from __future__ import annotations

#: Length up to which a body is always taken, in bytes. The connections of a
#: listener bound how many there are.
SMALL_BODY_BYTES = 4096


class BodyMemory:
    """Counts the bytes of all larger bodies that are held.

    :param limit: of all bodies together, in bytes.
    """

    def __init__(self, limit: int) -> None:
        """Start without bodies."""
        self.limit = limit
        self.used = 0


class BodyShare:
    """What the body of one request takes of the memory for bodies.

    :param memory: that it is a part of.
    """

    def __init__(self, memory: BodyMemory) -> None:
        """Start with an empty body."""
        self.memory = memory
        #: Bytes of the body so far.
        self.length = 0
        #: Bytes that are counted.
        self.counted = 0

    def grow(self, size: int) -> bool:
        """Take a part of the body; return whether there is memory for it.

        :param size: of the part in bytes.
        """
        self.length += size
        if self.length <= SMALL_BODY_BYTES:
            return True
        wanted = self.length - self.counted
        if self.memory.used + wanted > self.memory.limit:
            return False
        self.memory.used += wanted
        self.counted = self.length
        return True

    def release(self) -> None:
        """Give the memory back; may be called again."""
        self.memory.used -= self.counted
        self.counted = 0
