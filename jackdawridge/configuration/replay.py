"""Replay of the log across trimmed records, snapshots and peers' states."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.configuration.records import SnapshotRecord, parse_record
from jackdawridge.configuration.snapshot import restore_state
from jackdawridge.configuration.state import EMPTY_STATE, State, fold_all

if TYPE_CHECKING:
    from jackdawridge.configuration.records import RawRecord


class Page(NamedTuple):
    """The answer of the log to one read."""

    #: Oldest offset in the log.
    first: int
    #: Offset of the next append.
    head: int
    records: tuple[RawRecord, ...]


class Replay:
    """The state of one reader of the log.

    The state never goes back: records below the position are ignored, and a
    snapshot or a peer's state is adopted only if its position is higher. If
    the log has trimmed records that were not read, the records after the gap
    are buffered until a snapshot or a peer's state covers the gap.
    """

    def __init__(self, state: State = EMPTY_STATE) -> None:
        """Initialize with a state, the empty one for a new process."""
        self.state = state
        #: Offset to read next.
        self.cursor = state.position
        #: Records after a gap, kept until a state covers the gap.
        self.buffered: list[RawRecord] = []
        #: Highest position of a snapshot in the log, -1 if none was read.
        self.snapshot_as_of = -1

    @property
    def has_gap(self) -> bool:
        """Return whether the log has trimmed records that were not read."""
        return self.cursor > self.state.position

    def apply_page(self, page: Page) -> None:
        """Apply a page that was read from `cursor`.

        :param page: the answer of the log.
        """
        if page.head < self.cursor:
            return
        if page.first > self.cursor:
            self.buffered.clear()
            self.cursor = page.first
        has_gap = self.has_gap
        unread = [
            record for record in page.records if record.offset >= self.cursor
        ]
        if unread:
            self.cursor = unread[-1].offset + 1
        for record in unread:
            self.track_snapshot(record)
        if has_gap:
            self.buffered.extend(unread)
            self.close_gap()
        else:
            self.state = fold_all(self.state, unread)

    def track_snapshot(self, record: RawRecord) -> None:
        """Update the highest position of a snapshot in the log.

        :param record: any record.
        """
        parsed = parse_record(record.body)
        if isinstance(parsed, SnapshotRecord):
            self.snapshot_as_of = max(self.snapshot_as_of, parsed.as_of)

    def close_gap(self) -> None:
        """Close the gap with a buffered snapshot, if one covers it."""
        for record in tuple(self.buffered):
            parsed = parse_record(record.body)
            if not isinstance(parsed, SnapshotRecord):
                continue
            state = restore_state(parsed)
            if state is not None and self.adopt(state):
                return

    def adopt(self, state: State) -> bool:
        """Adopt a state from a snapshot or a peer if it is newer.

        :param state: folded from the same log.
        :returns: whether the state was adopted and left no gap.
        """
        if state.position <= self.state.position:
            return False
        start = self.buffered[0].offset if self.buffered else self.cursor
        if state.position < start:
            self.state = state
            return False
        self.state = fold_all(state, self.buffered)
        self.buffered.clear()
        self.cursor = self.state.position
        return True

    def is_complete(self, page: Page) -> bool:
        """Return whether the log was read to its end with a page.

        :param page: a page that was applied.
        """
        return not self.has_gap and self.state.position == page.head
