"""How kinds of tasks that slow each other down are kept apart."""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from jackdawridge.placement.assignment import Assignment
    from jackdawridge.placement.interference import Pair, PairChange
    from jackdawridge.placement.side_view import Side


class Separation(Protocol):
    """Learns from placed tasks which kinds to keep apart."""

    #: Number of tasks that were placed apart from a kind that disturbs them.
    separated: int

    def assigned(self, assignment: Assignment, side: Side) -> None:
        """Record that a task was placed.

        :param assignment: assignment of the task.
        :param side: its side.
        """

    def released(self, assignment: Assignment) -> None:
        """Record that a task no longer runs.

        :param assignment: its former assignment.
        """

    def succeeded(
        self, assignment: Assignment, run_time: float, now: float
    ) -> None:
        """Record the run time of a task, before it is released.

        :param assignment: assignment of the task.
        :param run_time: measured run time in seconds.
        :param now: current time in seconds.
        """

    def reported(self, side: Side, now: float) -> None:
        """Record a report of a side about its room.

        :param side: the side.
        :param now: current time in seconds.
        """

    def forget(self, side_id: str) -> None:
        """Discard what is known of a side.

        :param side_id: identifier of the side.
        """

    def disturbs(self, kind: str, cores: float, side: Side) -> bool:
        """Return whether a task would disturb or be disturbed at a side.

        :param kind: kind of the task.
        :param cores: cores of the task.
        :param side: side to check.
        """

    def pairs(self) -> dict[Pair, float]:
        """Return the logarithms of the slow-downs of all found pairs."""

    def pop_changes(self) -> list[PairChange]:
        """Remove and return the changes of pairs since the last call."""


class NoSeparation:
    """Places tasks regardless of what runs beside them."""

    def __init__(self) -> None:
        """Initialise the count, which stays 0."""
        self.separated = 0

    def assigned(self, assignment: Assignment, side: Side) -> None:
        """Ignore a placed task."""

    def released(self, assignment: Assignment) -> None:
        """Ignore a task that no longer runs."""

    def succeeded(
        self, assignment: Assignment, run_time: float, now: float
    ) -> None:
        """Ignore the run time of a task."""

    def reported(self, side: Side, now: float) -> None:
        """Ignore a report."""

    def forget(self, side_id: str) -> None:
        """Ignore a side that has left."""

    def disturbs(self, kind: str, cores: float, side: Side) -> bool:
        """Return False, as no pairs are known."""
        return False

    def pairs(self) -> dict[Pair, float]:
        """Return no pairs."""
        return {}

    def pop_changes(self) -> list[PairChange]:
        """Return no changes."""
        return []


def make_separation(name: str) -> Separation:
    """Return a way to place tasks that slow each other down.

    What learns from run times is imported only if it is used, since each
    import delays the start of every process.

    :param name: value of the setting `interference`, `off` or `avoid`.
    """
    if name == 'off':
        return NoSeparation()
    module = import_module('jackdawridge.placement.learned_separation')
    separation: Separation = module.LearnedSeparation()
    return separation
