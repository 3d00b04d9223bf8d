"""Selection of the entries that a side links to."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Protocol

import xxhash

from jackdawridge.membership.lead_candidates import choose_lead_candidates
from jackdawridge.membership.messages import State

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from jackdawridge.membership.messages import Member

#: Time for which a dead or unlinked entry stays selected, in seconds.
HOLD_TIME = 10.0
#: The same for a side that has at most one link left, in seconds.
LAST_LINK_HOLD_TIME = 2.0
#: Time over which the sides spread their move to a new entry, in seconds.
MIGRATION_TIME = 30.0
#: The same for an entry that all sides link to, in seconds: until then it
#: reaches too few of them to be a lead.
LEAD_MIGRATION_TIME = 3.0
#: Time from the first selection in which a side moves to new entries without
#: that delay, in seconds. When all processes start at once, it learns of the
#: entries one after the other.
SETTLING_TIME = 5.0
#: Time in seconds between the release of an entry and the end of its link. It
#: covers the starts that the entry has sent before it hears of the release.
RELEASE_TIME = 0.5
#: Time after which the link ends whatever runs for the entry, in seconds.
MAX_RELEASE_TIME = 10.0

_HASH_RANGE = 18446744073709551616.0


def rendezvous_weight(side: str, entry: str) -> int:
    """Return the weight of an entry for a side; the highest are selected.

    :param side: node of the side.
    :param entry: node of the entry.
    """
    return xxhash.xxh64_intdigest(f'{side}|{entry}'.encode())


def choose_entries(
    side: str,
    entries: Iterable[Member],
    count: int,
    lead_candidates: Iterable[Member] = (),
) -> list[Member]:
    """Return the lead candidates, and others by rendezvous hashing, best first.

    At most half of them, rounded up, are in one failure domain, unless the
    other failure domains have too few entries.

    :param side: node of the side.
    :param entries: the candidates.
    :param count: the number of entries wanted.
    :param lead_candidates: the entries that all sides link to.
    """
    preferred = list(lead_candidates)
    taken = {entry.node for entry in preferred}
    ranked = sorted(
        (entry for entry in entries if entry.node not in taken),
        key=lambda entry: rendezvous_weight(side, entry.node),
        reverse=True,
    )
    limit = (count + 1) // 2
    used = Counter(entry.failure_domain for entry in preferred)
    spare: list[Member] = []
    for entry in ranked:
        used[entry.failure_domain] += 1
        within = used[entry.failure_domain] <= limit
        (preferred if within else spare).append(entry)
    return (preferred + spare)[:count]


class LinkUsage(Protocol):
    """Tells what the links to the entries are used for."""

    def is_idle(self, node: str) -> bool:
        """Return whether nothing runs for an entry.

        :param node: node of the entry.
        """

    def announce_release(self, node: str, *, is_released: bool) -> None:
        """Tell an entry whether its link is about to end.

        :param node: node of the entry.
        :param is_released: whether it is.
        """


class UnusedLinks:
    """Usage of links on which nothing runs."""

    def is_idle(self, node: str) -> bool:
        """Return that nothing runs for an entry.

        :param node: node of the entry.
        """
        return True

    def announce_release(self, node: str, *, is_released: bool) -> None:
        """Do nothing: no entry sends anything.

        :param node: node of the entry.
        :param is_released: whether its link is about to end.
        """


class EntrySubset:
    """The entries that a side keeps links to; avoids needless changes.

    A dead or unreachable entry stays selected for `HOLD_TIME`, so that its
    restart moves no sides; a side with at most one link left waits only
    `LAST_LINK_HOLD_TIME`. Each side moves to a new entry at its own time within
    `MIGRATION_TIME`, or at once within `SETTLING_TIME` of its start, and drops
    the old entry only once the new one is linked and nothing runs for the old
    one any more.

    :param side: node of the side.
    :param count: the number of entries wanted.
    :param lead_links: how many of them are lead candidates, if the fleet has
        more entries.
    """

    def __init__(self, side: str, count: int, lead_links: int = 0) -> None:
        """Start without entries."""
        self.side = side
        self.count = count
        self.lead_links = min(lead_links, count - 1)
        #: Nodes of the entries that all sides link to.
        self.lead_candidates: set[str] = set()
        #: Nodes of the selected entries.
        self.chosen: set[str] = set()
        #: Tells which entries the side still works for.
        self.usage: LinkUsage = UnusedLinks()
        #: Time since which an entry has been released, by node, in seconds.
        self.released_since: dict[str, float] = {}
        #: Time of the first selection, in seconds; None before it.
        self.started_at: float | None = None
        #: Time since which a selected entry has had no link.
        self.unlinked_since: dict[str, float] = {}
        #: Time since which hashing has given an entry that is not selected yet.
        self.wanted_since: dict[str, float] = {}

    def update(
        self, members: Iterable[Member], linked: Collection[str], now: float
    ) -> set[str]:
        """Return the nodes of the entries to keep links to.

        :param members: all known entries.
        :param linked: nodes of the linked entries.
        :param now: the time in seconds.
        """
        entries = {member.node: member for member in members}
        if self.started_at is None:
            self.started_at = now
        self.update_unlinked(linked, now)
        self.drop_ended(entries, linked, now)
        usable = [
            entry
            for entry in entries.values()
            if not entry.leaving
            and (entry.is_present() or entry.node in self.chosen)
        ]
        wanted_count = self.count + len(self.find_unreachable(now))
        candidates = choose_lead_candidates(usable, self.lead_links)
        self.lead_candidates = {entry.node for entry in candidates}
        desired = choose_entries(
            self.side, usable, min(wanted_count, 2 * self.count), candidates
        )
        retained = sum(entry.node in self.chosen for entry in usable)
        self.add_entries(desired, len(desired) - retained, now)
        self.release(self.find_surplus(desired, linked, entries), now)
        return set(self.chosen)

    def update_unlinked(self, linked: Collection[str], now: float) -> None:
        """Record since when each selected entry has had no link.

        :param linked: nodes of the linked entries.
        :param now: the time in seconds.
        """
        self.unlinked_since = {
            node: self.unlinked_since.get(node, now)
            for node in self.chosen
            if node not in linked
        }

    def find_unreachable(self, now: float) -> list[str]:
        """Return the selected entries that need a substitute.

        :param now: the time in seconds.
        """
        is_last = len(self.chosen) - len(self.unlinked_since) <= 1
        hold_time = LAST_LINK_HOLD_TIME if is_last else HOLD_TIME
        return [
            node
            for node, since in self.unlinked_since.items()
            if now - since >= hold_time
        ]

    def drop_ended(
        self, entries: dict[str, Member], linked: Collection[str], now: float
    ) -> None:
        """Drop entries that have left or stayed dead for the hold time.

        A leaving entry stays selected until it closes its link.

        :param entries: all known entries by node.
        :param linked: nodes of the linked entries.
        :param now: the time in seconds.
        """
        for node in tuple(self.chosen):
            entry = entries.get(node)
            if node not in linked and self.should_drop(entry, node, now):
                self.chosen.discard(node)
                self.unlinked_since.pop(node, None)

    def should_drop(self, entry: Member | None, node: str, now: float) -> bool:
        """Return whether to drop a selected entry that has no link.

        :param entry: its record, if known.
        :param node: its node.
        :param now: the time in seconds.
        """
        if entry is None or entry.leaving or entry.state == State.left:
            return True
        unlinked = now - self.unlinked_since.get(node, now)
        return entry.state == State.dead and unlinked >= HOLD_TIME

    def add_entries(
        self, desired: list[Member], shortage: int, now: float
    ) -> None:
        """Select entries: at once to fill a shortage, otherwise with a delay.

        :param desired: the entries that hashing gives, best first.
        :param shortage: the number of entries missing.
        :param now: the time in seconds.
        """
        missing = [entry for entry in desired if entry.node not in self.chosen]
        self.wanted_since = {
            entry.node: self.wanted_since.get(entry.node, now)
            for entry in missing
        }
        for position, entry in enumerate(missing):
            waited = now - self.wanted_since[entry.node]
            if position < shortage or waited >= self.migration_delay(
                entry.node, now
            ):
                self.chosen.add(entry.node)
                self.wanted_since.pop(entry.node)

    def migration_delay(self, entry: str, now: float) -> float:
        """Return the delay before this side moves to a new entry, in seconds.

        :param entry: node of the entry.
        :param now: the time in seconds.
        """
        if self.started_at is None or now - self.started_at < SETTLING_TIME:
            return 0
        is_candidate = entry in self.lead_candidates
        longest = LEAD_MIGRATION_TIME if is_candidate else MIGRATION_TIME
        return longest * rendezvous_weight(entry, self.side) / _HASH_RANGE

    def find_surplus(
        self,
        desired: list[Member],
        linked: Collection[str],
        entries: dict[str, Member],
    ) -> set[str]:
        """Return the selected entries that hashing doesn't give.

        :param desired: the entries that it gives.
        :param linked: nodes of the linked entries.
        :param entries: all known entries by node.
        :returns: nodes; none while a desired entry isn't linked. A leaving
            entry closes its link itself.
        """
        wanted = {entry.node for entry in desired}
        if not wanted <= set(linked):
            return set()
        leaving = {node for node, entry in entries.items() if entry.leaving}
        return self.chosen - wanted - leaving

    def release(self, surplus: set[str], now: float) -> None:
        """Release surplus entries, and drop those for which nothing runs.

        :param surplus: nodes of the entries that hashing doesn't give.
        :param now: the time in seconds.
        """
        retained = self.chosen - surplus
        for node in retained.intersection(self.released_since):
            # An entry that was dropped stays released until it is selected
            # again, since its link may not have ended yet.
            self.released_since.pop(node)
            self.usage.announce_release(node, is_released=False)
        for released in surplus:
            if released not in self.released_since:
                self.released_since[released] = now
                self.usage.announce_release(released, is_released=True)
            elif self.has_ended(released, now):
                self.chosen.discard(released)

    def has_ended(self, node: str, now: float) -> bool:
        """Return whether the link to a released entry can be closed.

        :param node: node of the entry.
        :param now: the time in seconds.
        """
        released = now - self.released_since[node]
        if released >= MAX_RELEASE_TIME:
            return True
        return released >= RELEASE_TIME and self.usage.is_idle(node)
