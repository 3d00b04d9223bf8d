"""The newest changes, by which peers are brought up to date."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from jackdawridge.configuration.records import (
    Change,
    RawRecord,
    parse_record,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Newest changes that are kept.
TAIL_LENGTH = 512


class Tail:
    """All changes from one offset to another, without gaps."""

    def __init__(self) -> None:
        """Start with no offset covered."""
        self.first = 0
        self.end = 0
        self.changes: deque[RawRecord] = deque()

    def extend(
        self, after: int, position: int, records: Iterable[RawRecord]
    ) -> None:
        """Add the changes among the records between two offsets.

        :param after: offset of the first record.
        :param position: offset after the last record.
        :param records: all that are kept, or only the changes.
        """
        if position <= self.end:
            return
        if after > self.end:
            self.changes.clear()
            self.first = after
            self.end = after
        self.changes.extend(
            record
            for record in records
            if record.offset >= self.end
            and isinstance(parse_record(record.body), Change)
        )
        self.end = position
        while len(self.changes) > TAIL_LENGTH:
            self.first = self.changes.popleft().offset + 1

    def after(self, position: int, end: int) -> tuple[RawRecord, ...] | None:
        """Return the changes between two offsets, None if not all are kept.

        :param position: offset of the first one.
        :param end: offset after the last one.
        """
        if position < self.first or end > self.end:
            return None
        return tuple(
            record for record in self.changes if position <= record.offset < end
        )
