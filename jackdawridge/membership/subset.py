"""The choice of the entries that a side links to."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import xxhash

from jackdawridge.membership.messages import State

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from jackdawridge.membership.messages import Member

#: Time for which a dead or unlinked entry keeps its place, in seconds.
HOLD = 10.0
#: The same for a side that is left with a single link, in seconds.
HURRIED_HOLD = 2.0
#: Sides move to a new entry spread over this time, in seconds.
SPREAD = 30.0

_HASH_RANGE = 18446744073709551616.0


def weight(side: str, entry: str) -> int:
    """Return the weight of an entry for a side; the highest ones are chosen.

    :param side: node of the side.
    :param entry: node of the entry.
    """
    return xxhash.xxh64_intdigest(f'{side}|{entry}'.encode())


def choose(side: str, entries: Iterable[Member], count: int) -> list[Member]:
    """Return the entries of a side by rendezvous hashing, best first.

    No more than half of them are in one failure domain while others have
    entries to offer.

    :param side: node of the side.
    :param entries: the candidates.
    :param count: how many are wanted.
    """
    ranked = sorted(
        entries, key=lambda entry: weight(side, entry.node), reverse=True
    )
    limit = (count + 1) // 2
    used: Counter[str] = Counter()
    first: list[Member] = []
    spare: list[Member] = []
    for entry in ranked:
        used[entry.failure_domain] += 1
        within = used[entry.failure_domain] <= limit
        (first if within else spare).append(entry)
    return (first + spare)[:count]


class EntryChoice:
    """The entries that a side keeps links to, changed without haste.

    An entry that is dead or cannot be reached keeps its place for `HOLD`,
    so that its restart moves nobody, but for sides left with a single link.
    A side moves to a new entry at a time of its own within `SPREAD`, and
    gives an old one up only once the new one is linked.

    :param side: node of the side.
    :param count: how many entries are wanted.
    """

    def __init__(self, side: str, count: int) -> None:
        """Start without entries."""
        self.side = side
        self.count = count
        #: Nodes of the chosen entries.
        self.chosen: set[str] = set()
        #: Since when a chosen entry has had no link.
        self.unlinked: dict[str, float] = {}
        #: Since when an entry that is not chosen would be.
        self.wanted: dict[str, float] = {}

    def update(
        self, members: Iterable[Member], linked: Collection[str], now: float
    ) -> set[str]:
        """Return the nodes of the entries to keep links to.

        :param members: all known entries.
        :param linked: nodes of the entries that are linked.
        :param now: the time in seconds.
        """
        entries = {member.node: member for member in members}
        self.note_links(linked, now)
        self.drop_ended(entries, linked, now)
        usable = [
            entry
            for entry in entries.values()
            if not entry.leaving
            and (entry.is_present() or entry.node in self.chosen)
        ]
        target = self.count + len(self.unreachable(now))
        desired = choose(self.side, usable, min(target, 2 * self.count))
        held = sum(entry.node in self.chosen for entry in usable)
        self.add(desired, len(desired) - held, now)
        self.drop_surplus([entry.node for entry in desired], linked, entries)
        return set(self.chosen)

    def note_links(self, linked: Collection[str], now: float) -> None:
        """Keep the time since which each chosen entry has had no link.

        :param linked: nodes of the entries that are linked.
        :param now: the time in seconds.
        """
        self.unlinked = {
            node: self.unlinked.get(node, now)
            for node in self.chosen
            if node not in linked
        }

    def unreachable(self, now: float) -> list[str]:
        """Return the chosen entries that others have to stand in for.

        :param now: the time in seconds.
        """
        is_last = len(self.chosen) - len(self.unlinked) <= 1
        patience = HURRIED_HOLD if is_last else HOLD
        return [
            node
            for node, since in self.unlinked.items()
            if now - since >= patience
        ]

    def drop_ended(
        self, entries: dict[str, Member], linked: Collection[str], now: float
    ) -> None:
        """Give up entries that left, or that have been dead for a while.

        A leaving entry keeps its link until it closes it.

        :param entries: all known entries by node.
        :param linked: nodes of the entries that are linked.
        :param now: the time in seconds.
        """
        for node in tuple(self.chosen):
            entry = entries.get(node)
            if node not in linked and self.has_ended(entry, node, now):
                self.chosen.discard(node)
                self.unlinked.pop(node, None)

    def has_ended(self, entry: Member | None, node: str, now: float) -> bool:
        """Return whether a chosen entry without a link is given up.

        :param entry: what is known about it, if anything.
        :param node: its node.
        :param now: the time in seconds.
        """
        if entry is None or entry.leaving or entry.state == State.left:
            return True
        unlinked = now - self.unlinked.get(node, now)
        return entry.state == State.dead and unlinked >= HOLD

    def add(self, desired: list[Member], short: int, now: float) -> None:
        """Choose entries: at once while there are too few, else in time.

        :param desired: the entries that hashing gives.
        :param short: how many entries are missing.
        :param now: the time in seconds.
        """
        missing = [entry for entry in desired if entry.node not in self.chosen]
        self.wanted = {
            entry.node: self.wanted.get(entry.node, now) for entry in missing
        }
        for position, entry in enumerate(missing):
            waited = now - self.wanted[entry.node]
            if position < short or waited >= self.delay(entry.node):
                self.chosen.add(entry.node)
                self.wanted.pop(entry.node)

    def delay(self, entry: str) -> float:
        """Return the time after which this side moves to a new entry.

        :param entry: node of the entry.
        """
        return SPREAD * weight(entry, self.side) / _HASH_RANGE

    def drop_surplus(
        self,
        desired: list[str],
        linked: Collection[str],
        entries: dict[str, Member],
    ) -> None:
        """Give up entries that hashing does not give, once others are linked.

        :param desired: nodes of the entries that hashing gives.
        :param linked: nodes of the entries that are linked.
        :param entries: all known entries by node.
        """
        if not all(node in linked for node in desired):
            return
        for node in self.chosen - set(desired):
            if not entries[node].leaving:
                self.chosen.discard(node)
