"""Outcomes that a side keeps until the entry has acknowledged them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.execution.messages import OutcomeBatch

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jackdawridge.execution.messages import Ending, Refusal, Room, TaskKey


class UnacknowledgedBatch(NamedTuple):
    """A batch that was sent and is not acknowledged yet."""

    batch: OutcomeBatch
    #: Numbers of the worker's events that reported the endings.
    events: tuple[int, ...]


class Outbox:
    """Batches and numbers the outcomes for one incarnation of an entry.

    :param numbers: yields the batch numbers, ascending.
    """

    def __init__(self, numbers: Iterator[int]) -> None:
        """Initialise an empty outbox."""
        self.numbers = numbers
        self.refusals: list[Refusal] = []
        self.endings: list[Ending] = []
        self.events: list[int] = []
        self.unacknowledged: deque[UnacknowledgedBatch] = deque()

    def add_refusal(self, refusal: Refusal) -> None:
        """Add a refusal to the next batch.

        :param refusal: refusal of a start.
        """
        self.refusals.append(refusal)

    def add_ending(self, ending: Ending, event: int) -> None:
        """Add an ending to the next batch.

        :param ending: ending of a task.
        :param event: number of the worker's event that reported it, 0 if there
            is none.
        """
        self.endings.append(ending)
        if event:
            self.events.append(event)

    def has_unsent_outcomes(self) -> bool:
        """Return whether any outcome was not sent yet."""
        return bool(self.refusals or self.endings)

    def flush(self, processed: int, room: Room) -> OutcomeBatch | None:
        """Return the next batch, None if there is no unsent outcome.

        :param processed: number of the last start batch that was handled.
        :param room: room to report to the entry.
        """
        if not self.has_unsent_outcomes():
            return None
        batch = OutcomeBatch(
            next(self.numbers),
            processed,
            room,
            tuple(self.refusals),
            tuple(self.endings),
        )
        self.unacknowledged.append(
            UnacknowledgedBatch(batch, tuple(self.events))
        )
        self.refusals.clear()
        self.endings.clear()
        self.events.clear()
        return batch

    def acknowledge(self, received: int) -> tuple[int, ...]:
        """Drop acknowledged batches and return the worker's events behind them.

        :param received: number of the last batch that the entry has handled.
        """
        events: list[int] = []
        while (
            self.unacknowledged
            and self.unacknowledged[0].batch.number <= received
        ):
            events.extend(self.unacknowledged.popleft().events)
        return tuple(events)

    def all_events(self) -> tuple[int, ...]:
        """Return the numbers of the worker's events behind all kept endings."""
        sent_events = (
            number for sent in self.unacknowledged for number in sent.events
        )
        return (*sent_events, *self.events)

    def is_empty(self) -> bool:
        """Return whether the entry has acknowledged every outcome."""
        return not (self.refusals or self.endings or self.unacknowledged)

    def keys(self) -> set[TaskKey]:
        """Return the keys of all outcomes kept here."""
        keys = {refusal.key for refusal in self.refusals}
        keys.update(ending.key for ending in self.endings)
        for batch, _ in self.unacknowledged:
            keys.update(refusal.key for refusal in batch.refusals)
            keys.update(ending.key for ending in batch.endings)
        return keys
