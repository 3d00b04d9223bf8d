"""Selection of the entries that can decide for all others of a fleet.

Load: jobs come to ten entries at a rate near the capacity of the fleet, and a
side links to five of them. No entry would reach the sides of another, so that
each would place its tasks in an order of its own. All sides therefore link to
the same few entries, one of which is the lead; the others replace it.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.membership.messages import Member

#: Number of entries above which no single entry decides for all.
MAX_ENTRIES_PER_LEAD = 16
#: Fraction of the greatest capacity of an entry that a candidate needs.
MIN_CAPACITY_FRACTION = 0.5


def choose_lead_candidates(
    entries: Iterable[Member], count: int
) -> list[Member]:
    """Return the entries that all sides link to.

    They are in different failure domains if possible. A restart changes
    nothing, since only nodes, failure domains and capacities count.

    :param entries: the entries to choose from.
    :param count: the number of candidates wanted.
    :returns: none if the entries are too many for one lead.
    """
    if not count:
        return []
    known = sorted(entries, key=_rank)
    if not known or len(known) > MAX_ENTRIES_PER_LEAD:
        return []
    needed = MIN_CAPACITY_FRACTION * max(entry.capacity for entry in known)
    used: Counter[str] = Counter()
    #: Position of each entry among those of its failure domain, by node.
    turns: dict[str, int] = {}
    able = [entry for entry in known if entry.capacity >= needed]
    for member in able:
        turns[member.node] = used[member.failure_domain]
        used[member.failure_domain] += 1
    return sorted(able, key=lambda entry: turns[entry.node])[:count]


class PresentCandidates:
    """The lead candidates, which sides have had time to link to.

    Sides keep the link to an entry that has died for some time, so that its
    restart moves none of them. Until then it has no substitute either.

    :param count: the number of candidates wanted.
    :param hold_time: time in seconds for which an absent entry counts.
    """

    def __init__(self, count: int, hold_time: float) -> None:
        """Start without entries."""
        self.count = count
        self.hold_time = hold_time
        #: The last record of each entry, by node.
        self.known: dict[str, Member] = {}
        #: Time at which each entry was last present, in seconds.
        self.seen_at: dict[str, float] = {}

    def update(self, present: Iterable[Member], now: float) -> set[str]:
        """Return the nodes of the candidates; some may be absent.

        :param present: the entries that are alive or suspected.
        :param now: the time in seconds.
        """
        for member in present:
            self.known[member.node] = member
            self.seen_at[member.node] = now
        for node, seen_at in tuple(self.seen_at.items()):
            if now - seen_at > self.hold_time:
                self.known.pop(node)
                self.seen_at.pop(node)
        chosen = choose_lead_candidates(self.known.values(), self.count)
        return {entry.node for entry in chosen}


def _rank(entry: Member) -> int:
    """Return the place of an entry in an order that suits all sides."""
    return xxhash.xxh64_intdigest(entry.node.encode())
