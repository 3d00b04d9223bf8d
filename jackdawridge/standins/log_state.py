"""Streams of records with offsets, which are kept for a limited time."""

from __future__ import annotations

from collections import defaultdict, deque

from jackdawridge.standins.messages import LogRecord

#: Appends a second that are taken unless a fault says otherwise.
APPEND_RATE = 400.0


class Stream:
    """One stream of records."""

    def __init__(self) -> None:
        """Begin without records."""
        self.kept: deque[LogRecord] = deque()
        self.next = 0
        #: Time of each append, by offset, also of records no longer kept.
        self.times: list[float] = []

    @property
    def first(self) -> int:
        """Offset of the oldest record that is kept."""
        return self.kept[0].offset if self.kept else self.next

    def append(self, body: bytes, now: float) -> int:
        """Add a record and return its offset.

        :param body: JSON.
        :param now: the time.
        """
        record = LogRecord(self.next, now, body)
        self.kept.append(record)
        self.times.append(now)
        self.next += 1
        return record.offset

    def read(self, start: int, limit: int) -> list[LogRecord]:
        """Return records in order.

        :param start: the first offset, if it is still kept.
        :param limit: most records to return.
        """
        skipped = max(0, start - self.first)
        end = min(len(self.kept), skipped + limit)
        return [self.kept[index] for index in range(skipped, end)]

    def trim(self, before: int) -> None:
        """Drop the first records.

        :param before: offset of the first record to keep.
        """
        while self.kept and self.kept[0].offset < before:
            self.kept.popleft()

    def expire(self, oldest: float, count: int | None) -> None:
        """Drop records that are too old or too many.

        :param oldest: time of the oldest append to keep.
        :param count: number of newest records to keep; None for all.
        """
        while self.kept and self.kept[0].time < oldest:
            self.kept.popleft()
        if count is not None:
            self.trim(self.next - count)


class LogState:
    """All streams, and the rate at which appends are taken.

    :param now: the time.
    """

    def __init__(self, now: float) -> None:
        """Begin without streams."""
        self.streams: dict[str, Stream] = defaultdict(Stream)
        #: Appends a second that are taken.
        self.rate = APPEND_RATE
        self.retention_seconds = float('inf')
        self.retention_records: int | None = None
        self.tokens = self.rate
        self.now = now

    def append(self, stream: str, body: bytes, now: float) -> int | None:
        """Add a record and return its offset; None if over the rate.

        :param stream: its name.
        :param body: JSON.
        :param now: the time.
        """
        refill = (now - self.now) * self.rate
        self.tokens = min(self.rate, self.tokens + refill)
        self.now = now
        if self.tokens < 1:
            return None
        self.tokens -= 1
        offset = self.streams[stream].append(body, now)
        self.expire(now)
        return offset

    def expire(self, now: float) -> None:
        """Drop what is past the retention.

        :param now: the time.
        """
        oldest = now - self.retention_seconds
        for stream in self.streams.values():
            stream.expire(oldest, self.retention_records)
