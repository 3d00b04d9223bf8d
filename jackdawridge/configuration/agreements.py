"""Work under the versions of agreements."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple


class Pinned(NamedTuple):
    """A version of an agreement that work is counted under."""

    agreement: str
    version: int


class OpenWork:
    """Counts the work of this process under each version."""

    def __init__(self) -> None:
        """Start without work."""
        self.counts: Counter[Pinned] = Counter()

    def add(self, pinned: Pinned) -> None:
        """Count one more piece of work.

        :param pinned: its version.
        """
        self.counts[pinned] += 1

    def remove(self, pinned: Pinned) -> None:
        """Count one piece of work less.

        :param pinned: its version.
        """
        if self.counts[pinned] > 1:
            self.counts[pinned] -= 1
        else:
            self.counts.pop(pinned, None)

    def count(self, pinned: Pinned) -> int:
        """Return the work under a version.

        :param pinned: the version.
        """
        return self.counts.get(pinned, 0)
