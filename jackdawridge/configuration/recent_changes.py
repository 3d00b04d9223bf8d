"""Buffer of the most recent changes, from which peers are updated."""

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

#: Maximum size of an update in bytes; a peer that needs more gets a snapshot.
MAX_UPDATE_BYTES = 262144
#: Maximum number of changes in the buffer.
MAX_RECENT_CHANGES = 512


class RecentChanges:
    """All changes between two offsets, without gaps."""

    def __init__(self) -> None:
        """Initialize with an empty range of offsets."""
        self.start = 0
        self.end = 0
        self.changes: deque[RawRecord] = deque()
        #: The last update, which most peers need at the same time.
        self.last_update = ConfigurationUpdate(-1, -1, ())

    def extend(
        self, after: int, position: int, records: Iterable[RawRecord]
    ) -> None:
        """Add the changes among the records between two offsets.

        If there is a gap to the buffered range, the range starts anew.

        :param after: offset of the first record.
        :param position: offset after the last record.
        :param records: all records of the range, or only the changes.
        """
        if position <= self.end:
            return
        if after > self.end:
            self.changes.clear()
            self.start = after
            self.end = after
        self.changes.extend(
            record
            for record in records
            if record.offset >= self.end
            and isinstance(parse_record(record.body), Change)
        )
        self.end = position
        while len(self.changes) > MAX_RECENT_CHANGES:
            self.start = self.changes.popleft().offset + 1

    def between(self, position: int, end: int) -> tuple[RawRecord, ...] | None:
        """Return the changes between two offsets, None if some are not kept.

        :param position: offset of the first change.
        :param end: offset after the last change.
        """
        if position < self.start or end > self.end:
            return None
        return tuple(
            record for record in self.changes if position <= record.offset < end
        )

    def make_update(
        self, after: int, position: int
    ) -> ConfigurationUpdate | None:
        """Return an update between two offsets, None if a snapshot is needed.

        Consecutive calls for the same offsets return the same object.

        :param after: position of the peer.
        :param position: position of the peer after the update.
        """
        last_update = self.last_update
        if (last_update.after, last_update.position) == (after, position):
            return last_update
        changes = self.between(after, position)
        if changes is None or _total_bytes(changes) > MAX_UPDATE_BYTES:
            return None
        records = tuple(LogRecord(*change) for change in changes)
        self.last_update = ConfigurationUpdate(after, position, records)
        return self.last_update


def _total_bytes(records: Iterable[RawRecord]) -> int:
    """Return the total size of records in bytes."""
    return sum(len(record.body) for record in records)
