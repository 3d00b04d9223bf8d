"""In-memory log with appends, reads and trims."""

from __future__ import annotations

import msgspec

from jackdawridge.configuration.records import RawRecord
from jackdawridge.configuration.replay import Page, Replay


class FakeLog:
    """Keeps the records from offset `first` on."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[RawRecord] = []

    @property
    def head(self) -> int:
        return self.first + len(self.records)

    def append(self, document: object) -> int:
        offset = self.head
        body = msgspec.json.encode(document)
        self.records.append(RawRecord(offset, body))
        return offset

    def trim(self, first: int) -> None:
        while self.records and self.first < first:
            self.records.pop(0)
            self.first += 1

    def read(self, start: int, limit: int = 1000) -> Page:
        kept = [record for record in self.records if record.offset >= start]
        return Page(self.first, self.head, tuple(kept[:limit]))

    def read_to_end(self, replay: Replay) -> None:
        """Apply pages to a replay until it has read the whole log."""
        while True:
            page = self.read(replay.cursor)
            replay.apply_page(page)
            if not page.records:
                return
