"""Following the log across trims, snapshots and states from peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.configuration.records import SnapshotRecord, parse_record
from jackdawridge.configuration.snapshot import restore
from jackdawridge.configuration.state import EMPTY, State, fold_all

if TYPE_CHECKING:
    from jackdawridge.configuration.records import RawRecord


class Page(NamedTuple):
    """What the log returned to one read."""

    #: Oldest offset that the log keeps.
    first: int
    #: Offset that the next append gets.
    head: int
    records: tuple[RawRecord, ...]


class Replay:
    """The state of one reader of the log.

    The state never gets older: a record below the position changes nothing,
    and a snapshot or a peer's state is taken only if it covers more. When
    the log has trimmed records that were not read, the records after the gap
    are set aside until a snapshot or a peer's state covers the gap.
    """

    def __init__(self, state: State = EMPTY) -> None:
        """Start with a state, the empty one for a new process."""
        self.state = state
        #: Offset to read next.
        self.cursor = state.position
        #: Records after a gap, kept until the gap is covered.
        self.aside: list[RawRecord] = []
        #: Newest as-of offset of a snapshot that was seen in the log.
        self.snapshot_as_of = -1

    @property
    def has_gap(self) -> bool:
        """Return whether records are missing that the log no longer has."""
        return self.cursor > self.state.position

    def take(self, page: Page) -> None:
        """Take what a read from `cursor` returned.

        :param page: the answer.
        """
        if page.head < self.cursor:
            return
        if page.first > self.cursor:
            self.aside.clear()
            self.cursor = page.first
        has_gap = self.has_gap
        fresh = [
            record for record in page.records if record.offset >= self.cursor
        ]
        if fresh:
            self.cursor = fresh[-1].offset + 1
        for record in fresh:
            self.note_snapshot(record)
        if has_gap:
            self.aside.extend(fresh)
            self.cover()
        else:
            self.state = fold_all(self.state, fresh)

    def note_snapshot(self, record: RawRecord) -> None:
        """Remember how far the snapshots in the log reach.

        :param record: any record.
        """
        entry = parse_record(record.body)
        if isinstance(entry, SnapshotRecord):
            self.snapshot_as_of = max(self.snapshot_as_of, entry.as_of)

    def cover(self) -> None:
        """Close the gap by a snapshot after it, if there is one."""
        for record in tuple(self.aside):
            entry = parse_record(record.body)
            if not isinstance(entry, SnapshotRecord):
                continue
            state = restore(entry)
            if state is not None and self.adopt(state):
                return

    def adopt(self, state: State) -> bool:
        """Take a state from a snapshot or a peer if it covers more.

        :param state: folded from the same log.
        :returns: whether it was taken and no gap is left.
        """
        if state.position <= self.state.position:
            return False
        start = self.aside[0].offset if self.aside else self.cursor
        if state.position < start:
            self.state = state
            return False
        self.state = fold_all(state, self.aside)
        self.aside.clear()
        self.cursor = self.state.position
        return True

    def is_complete(self, page: Page) -> bool:
        """Return whether a page that was taken left nothing unread.

        :param page: the answer.
        """
        return not self.has_gap and self.state.position == page.head
