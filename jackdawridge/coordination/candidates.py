"""The entries from which an entry selects its lead."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.coordination.selection import Candidate, can_reach_sides
from jackdawridge.membership.entry_subset import HOLD_TIME, LEAD_MIGRATION_TIME
from jackdawridge.membership.lead_candidates import PresentCandidates
from jackdawridge.membership.messages import State

if TYPE_CHECKING:
    from jackdawridge.config import Settings
    from jackdawridge.coordination.links import EntryLinks
    from jackdawridge.membership.messages import Member

#: Time in seconds for which an absent entry remains a lead candidate: sides
#: link to its substitute only after they have given it up.
CANDIDATE_HOLD_TIME = HOLD_TIME + LEAD_MIGRATION_TIME


class CandidateFinder:
    """Finds the linked entries that reach the sides of this one.

    Where each side links to nearly all entries, these are all of them,
    otherwise the entries that all sides link to.

    :param entries_per_side: number of entries that each side links to.
    :param lead_links: how many of them are lead candidates; none if 0.
    :param links: links of this entry to the others.
    """

    def __init__(
        self, entries_per_side: int, lead_links: int, links: EntryLinks
    ) -> None:
        """Start without candidates."""
        self.entries_per_side = entries_per_side
        self.lead_links = lead_links
        self.links = links
        #: Number of candidates that were found last.
        self.found = 0
        self.present = PresentCandidates(
            min(lead_links, entries_per_side - 1), CANDIDATE_HOLD_TIME
        )

    @classmethod
    def from_config(
        cls, settings: Settings, links: EntryLinks
    ) -> CandidateFinder:
        """Return a finder for the settings of an entry.

        :param settings: settings of the entry.
        :param links: links of the entry to the others.
        """
        return cls(
            settings.integer('entries_per_side'),
            settings.integer('lead_links'),
            links,
        )

    def find(self, now: float) -> list[Candidate]:
        """Return this entry and the linked entries that can be the lead.

        Entries that are leaving or not known to be alive can't.

        :param now: current time in seconds.
        """
        reaching = self.reaching_sides(self.links.directory.entries(), now)
        linked = self.links.incarnations() if reaching else set()
        candidates = [
            Candidate(entry.generation, entry.incarnation)
            for entry in reaching
            if entry.incarnation in linked and is_available(entry)
        ]
        self.found = len(candidates)
        return candidates

    def reaching_sides(self, entries: list[Member], now: float) -> list[Member]:
        """Return the entries that are linked to nearly all sides.

        :param entries: the entries that are alive or suspected.
        :param now: current time in seconds.
        """
        if can_reach_sides(len(entries), self.entries_per_side):
            return entries
        if not self.present.count:
            return []
        nodes = self.present.update(entries, now)
        return [entry for entry in entries if entry.node in nodes]


def is_available(entry: Member) -> bool:
    """Return whether an entry is alive and takes new work.

    :param entry: its record.
    """
    return entry.state == State.alive and not entry.leaving
