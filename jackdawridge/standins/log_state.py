"""Streams of records with offsets, retention and an append rate."""

from __future__ import annotations

from collections import defaultdict, deque

from jackdawridge.standins.messages import LogRecord

#: Accepted appends per second unless the fault `append_rate` is set.
DEFAULT_APPEND_RATE = 400.0


class Stream:
    """One stream of records."""

    def __init__(self) -> None:
        """Initialise without records."""
        self.retained: deque[LogRecord] = deque()
        self.next = 0
        #: Time of each append by offset, including dropped records.
        self.times: list[float] = []

    @property
    def first(self) -> int:
        """Offset of the oldest retained record, or `next` if none."""
        return self.retained[0].offset if self.retained else self.next

    def append(self, body: bytes, now: float) -> int:
        """Add a record and return its offset.

        :param body: the record as JSON.
        :param now: the current time, in seconds.
        """
        record = LogRecord(self.next, now, body)
        self.retained.append(record)
        self.times.append(now)
        self.next += 1
        return record.offset

    def read(self, start: int, limit: int) -> list[LogRecord]:
        """Return retained records in order.

        :param start: the offset to read from.
        :param limit: the highest number of records to return.
        """
        skipped = max(0, start - self.first)
        end = min(len(self.retained), skipped + limit)
        return [self.retained[index] for index in range(skipped, end)]

    def trim(self, before: int) -> None:
        """Drop the records before an offset.

        :param before: the offset of the first record to retain.
        """
        while self.retained and self.retained[0].offset < before:
            self.retained.popleft()

    def expire(self, oldest: float, count: int | None) -> None:
        """Drop the records that are past the retention limits.

        :param oldest: the time before which appended records are dropped.
        :param count: the number of newest records to retain; None for all.
        """
        while self.retained and self.retained[0].time < oldest:
            self.retained.popleft()
        if count is not None:
            self.trim(self.next - count)


class LogState:
    """All streams, with a token bucket that limits the append rate.

    :param now: the current time, in seconds.
    """

    def __init__(self, now: float) -> None:
        """Initialise without streams and with a full token bucket."""
        self.streams: dict[str, Stream] = defaultdict(Stream)
        #: Accepted appends per second; also the size of the token bucket.
        self.append_rate = DEFAULT_APPEND_RATE
        self.retention_seconds = float('inf')
        self.retention_records: int | None = None
        self.tokens = self.append_rate
        self.refilled_at = now

    def append(self, stream: str, body: bytes, now: float) -> int | None:
        """Append a record; return its offset, or None if over the rate.

        :param stream: the name of the stream.
        :param body: the record as JSON.
        :param now: the current time, in seconds.
        """
        refill = (now - self.refilled_at) * self.append_rate
        self.tokens = min(self.append_rate, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            return None
        self.tokens -= 1
        offset = self.streams[stream].append(body, now)
        self.expire(now)
        return offset

    def expire(self, now: float) -> None:
        """Drop the records that are past the retention limits.

        :param now: the current time, in seconds.
        """
        oldest = now - self.retention_seconds
        for stream in self.streams.values():
            stream.expire(oldest, self.retention_records)
