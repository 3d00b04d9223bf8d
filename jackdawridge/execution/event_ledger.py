"""Which events the worker may forget."""

from __future__ import annotations


class EventLedger:
    """Finds the number up to which all events have been passed on."""

    def __init__(self) -> None:
        """Start before the first event."""
        self.last_event = 0
        self.forgotten_through = 0
        self.outstanding: set[int] = set()

    def restart(self) -> None:
        """Start anew, as the worker may count its events anew."""
        self.last_event = 0
        self.forgotten_through = 0
        self.outstanding.clear()

    def record(self, event: int) -> None:
        """Note an event whose task's entry has not received it.

        :param event: its number, 0 if the end came without an event.
        """
        if event:
            self.last_event = max(self.last_event, event)
            self.outstanding.add(event)

    def mark_delivered(self, events: tuple[int, ...]) -> None:
        """Note events whose endings have been received.

        :param events: their numbers.
        """
        self.outstanding.difference_update(events)

    def next_forgettable(self) -> int:
        """Return the newest number to forget, 0 if there is nothing new."""
        through = self.last_event
        if self.outstanding:
            through = min(self.outstanding) - 1
        if through <= self.forgotten_through:
            return 0
        self.forgotten_through = through
        return through
