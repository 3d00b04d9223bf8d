"""Selection of the entry that places tasks for all linked entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Time in seconds for which an entry that did not answer isn't selected again.
EXCLUSION_TIME = 0.5


#: Fraction of an entry's sides that its lead must be linked to.
MIN_REACHED_FRACTION = 0.9


def can_reach_sides(entries: int, entries_per_side: int) -> bool:
    """Return whether any entry can be linked to nearly all sides of another.

    Where each side links to a few of many entries none can, and it would cost
    a delegation that is rejected to learn that.

    :param entries: number of entries.
    :param entries_per_side: number of entries that each side links to.
    """
    return entries_per_side >= MIN_REACHED_FRACTION * entries


class Candidate(NamedTuple):
    """An entry that can be the lead; the smallest candidate is selected.

    The entry that has been running longest has learned most about run times,
    and an entry that has just started doesn't replace a lead.
    """

    #: Grows with the start time of the entry's process.
    generation: int
    incarnation: str


class LeadSelector:
    """Selects the same lead at all entries that know the same candidates.

    Where entries know different candidates, an entry that isn't a lead rejects
    the delegation and the sender places its own tasks. Two leads at a time are
    safe, since each side admits its starts itself; the tasks are merely placed
    in a less suitable order.
    """

    def __init__(self) -> None:
        """Start without excluded entries."""
        #: Time in seconds until which an entry is excluded, by incarnation.
        self.excluded_until: dict[str, float] = {}
        #: Time in seconds before which this entry places its own tasks.
        self.no_lead_until = float('-inf')

    def exclude(
        self, incarnation: str, now: float, duration: float = EXCLUSION_TIME
    ) -> None:
        """Exclude an entry from the selection for a limited time.

        :param incarnation: run of the entry to exclude.
        :param now: current time in seconds.
        :param duration: time for which the entry is excluded, in seconds.
        """
        self.excluded_until[incarnation] = now + duration

    def select(
        self, candidates: Iterable[Candidate], now: float
    ) -> Candidate | None:
        """Return the candidate that should be the lead, None if there is none.

        :param candidates: this entry and the linked entries that are alive.
        :param now: current time in seconds.
        """
        if now < self.no_lead_until:
            return None
        self.excluded_until = {
            incarnation: until
            for incarnation, until in self.excluded_until.items()
            if until > now
        }
        usable = [
            candidate
            for candidate in candidates
            if candidate.incarnation not in self.excluded_until
        ]
        return min(usable, default=None)
