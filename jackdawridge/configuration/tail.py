"""The newest changes, by which peers are brought up to date."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from jackdawridge.configuration.messages import (
    ConfigurationUpdate,
    LogRecord,
)
from jackdawridge.configuration.records import (
    Change,
    RawRecord,
    parse_record,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Longest update in bytes; a peer that needs more gets a snapshot.
MAX_UPDATE_BYTES = 262144
#: Newest changes that are kept.
TAIL_LENGTH = 512


class Tail:
    """All changes from one offset to another, without gaps."""

    def __init__(self) -> None:
        """Start with no offset covered."""
        self.first = 0
        self.end = 0
        self.changes: deque[RawRecord] = deque()
        #: The last update, which most peers need at the same time.
        self.newest = ConfigurationUpdate(-1, -1, ())

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

    def update(self, after: int, position: int) -> ConfigurationUpdate | None:
        """Return an update between two offsets, None if it has to be a state.

        Calls in a row for the same offsets return the same object.

        :param after: position of the peer.
        :param position: that the update leads to.
        """
        newest = self.newest
        if (newest.after, newest.position) == (after, position):
            return newest
        changes = self.after(after, position)
        if changes is None or _size(changes) > MAX_UPDATE_BYTES:
            return None
        records = tuple(LogRecord(*change) for change in changes)
        self.newest = ConfigurationUpdate(after, position, records)
        return self.newest


def _size(records: Iterable[RawRecord]) -> int:
    """Return the size of some records in bytes."""
    return sum(len(record.body) for record in records)
