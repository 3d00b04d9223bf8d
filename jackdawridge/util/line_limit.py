"""Limit on the log lines about events that others cause."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

#: Shortest time between two log lines about the same kind, in seconds.
LOG_INTERVAL = 1.0


class LineLimit:
    """Selects the events that are logged, one of each kind a second."""

    def __init__(self) -> None:
        """Start without events."""
        #: Events of each kind since its last log line.
        self.unlogged: dict[Hashable, int] = {}
        #: Time of the last log line of each kind, in seconds.
        self.logged_at: dict[Hashable, float] = {}

    def count(self, kind: Hashable, now: float) -> int:
        """Count an event.

        :param kind: what the log line is about, one of a few.
        :param now: local time in seconds.
        :returns: the number of events since the last log line of the kind, 0 if
            no line is due.
        """
        count = self.unlogged.get(kind, 0) + 1
        is_due = now - self.logged_at.get(kind, float('-inf')) >= LOG_INTERVAL
        if is_due:
            self.logged_at[kind] = now
        self.unlogged[kind] = 0 if is_due else count
        return count if is_due else 0
