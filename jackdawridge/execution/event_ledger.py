"""Tracks which events of the worker the entries have received."""

from __future__ import annotations


class EventLedger:
    """Finds the event up to which the worker may forget all events."""

    def __init__(self) -> None:
        """Initialise the ledger before the first event."""
        self.last_event = 0
        self.forgotten_through = 0
        self.outstanding: set[int] = set()

    def restart(self) -> None:
        """Reset the ledger, as a restarted worker counts its events from 1."""
        self.last_event = 0
        self.forgotten_through = 0
        self.outstanding.clear()

    def record(self, event: int) -> None:
        """Record an event whose ending has not reached its entry yet.

        :param event: number of the event, 0 if the task ended without one.
        """
        if event:
            self.last_event = max(self.last_event, event)
            self.outstanding.add(event)

    def mark_delivered(self, events: tuple[int, ...]) -> None:
        """Record that the endings of events have reached their entries.

        :param events: numbers of the events.
        """
        self.outstanding.difference_update(events)

    def next_forgettable(self) -> int:
        """Return the newest event to forget, 0 if it was returned before."""
        newest = self.last_event
        if self.outstanding:
            newest = min(self.outstanding) - 1
        if newest <= self.forgotten_through:
            return 0
        self.forgotten_through = newest
        return newest
