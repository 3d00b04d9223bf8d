"""The addresses that a process dials."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from jackdawridge.membership.messages import State

if TYPE_CHECKING:
    from collections.abc import Collection

    from jackdawridge.membership.messages import Member
    from jackdawridge.membership.state import Table
    from jackdawridge.membership.subset import EntryChoice

#: A process without any link dials the seeds after this time, in seconds.
ALONE_AFTER = 1.5
#: An entry looks for entries that it does not know once in this time and
#: for this long, in seconds.
SCOUT_PERIOD = 30.0
SCOUT_TIME = 4.0


#: The other entries are dialled once all seeds have been reached, or after
#: this time, in seconds.
SEED_TIME = 1.5


class Links(NamedTuple):
    """The open links to entries."""

    #: Nodes of the linked entries.
    nodes: frozenset[str]
    #: Node behind each address that this process has dialled.
    dialled: dict[str, str]


class Landing(NamedTuple):
    """The entry that a seed has led to."""

    node: str
    #: The address that the entry names itself.
    address: str


class Landings:
    """Which entry was last reached at each seed.

    A seed that leads to an entry goes on being used for it, whatever the
    address that the entry names: it may be the only way there.

    :param seeds: the addresses of the settings.
    """

    def __init__(self, seeds: Collection[str]) -> None:
        """Start without knowledge."""
        self.seeds = frozenset(seeds)
        self.by_seed: dict[str, Landing] = {}
        self.started: float | None = None

    def are_sought(self, own_address: str, now: float) -> bool:
        """Return whether there are seeds that are still to be reached.

        :param own_address: of this process, which counts as reached.
        :param now: the time in seconds.
        """
        if self.started is None:
            self.started = now
        unreached = self.seeds - self.by_seed.keys() - {own_address}
        return bool(unreached) and now - self.started < SEED_TIME

    def note(self, address: str, landing: Landing) -> None:
        """Take note of an entry that was reached.

        :param address: that was dialled.
        :param landing: the entry behind it.
        """
        if address in self.seeds:
            self.by_seed[address] = landing

    def address_of(self, entry: Member) -> str:
        """Return the address at which to dial an entry.

        :param entry: its record.
        """
        wanted = Landing(entry.node, entry.address)
        for seed, landing in self.by_seed.items():
            if landing == wanted:
                return seed
        return entry.address


class Targets(Protocol):
    """Chooses the addresses that a process dials."""

    landings: Landings

    def addresses(self, table: Table, links: Links, now: float) -> set[str]:
        """Return the addresses to keep links to.

        :param table: of the members.
        :param links: to entries.
        :param now: the time in seconds.
        """


class SideTargets:
    """Chooses for a side: its entries, and the seeds while it has none.

    :param seeds: the addresses of the settings.
    :param choice: of the entries.
    """

    def __init__(self, seeds: Collection[str], choice: EntryChoice) -> None:
        """Start without links."""
        self.landings = Landings(seeds)
        self.choice = choice
        self.linked_at: float | None = None

    def addresses(self, table: Table, links: Links, now: float) -> set[str]:
        """Return the addresses to keep links to.

        :param table: of the members.
        :param links: to entries.
        :param now: the time in seconds.
        """
        entries = list(table.entries.values())
        seeds = set(self.landings.seeds)
        if self.landings.are_sought('', now):
            return seeds
        chosen = self.choice.update(entries, links.nodes, now)
        # A leaving entry still gathers what it has started here.
        chosen.update(
            entry.node
            for entry in entries
            if entry.leaving and entry.node in links.nodes
        )
        wanted = {
            self.landings.address_of(entry)
            for entry in entries
            if entry.node in chosen
        }
        if links.nodes:
            self.linked_at = now
        if self.linked_at is None or now - self.linked_at > ALONE_AFTER:
            return wanted | seeds
        return wanted


class EntryTargets:
    """Chooses for an entry: of two entries the lower node dials the other.

    A link that is in use stays, whoever has dialled. All seeds are reached
    first, as one may be the only way to an entry. They are dialled again
    while no entry is linked, and now and then for a moment, so that groups
    of entries that do not know of each other meet.

    :param seeds: the addresses of the settings.
    :param offset: shifts the times of looking around, in seconds.
    """

    def __init__(self, seeds: Collection[str], offset: float) -> None:
        """Start without links."""
        self.landings = Landings(seeds)
        self.offset = offset

    def addresses(self, table: Table, links: Links, now: float) -> set[str]:
        """Return the addresses to keep links to.

        :param table: of the members.
        :param links: to entries.
        :param now: the time in seconds.
        """
        own = table.own
        if self.landings.are_sought(own.address, now):
            return {*self.landings.seeds, *links.dialled} - {own.address}
        others = [
            entry for entry in table.entries.values() if entry.node != own.node
        ]
        accepted = links.nodes.difference(links.dialled.values())
        wanted = {
            self.landings.address_of(entry)
            for entry in holders(others)
            if own.node < entry.node and entry.node not in accepted
        }
        wanted.update(links.dialled)
        if not links.nodes or (now + self.offset) % SCOUT_PERIOD < SCOUT_TIME:
            wanted |= self.unknown_seeds(links.nodes)
        return wanted - {own.address, ''}

    def unknown_seeds(self, linked: Collection[str]) -> set[str]:
        """Return the seeds that did not lead to a linked entry.

        :param linked: nodes of the linked entries.
        """
        known = {
            seed
            for seed, landing in self.landings.by_seed.items()
            if landing.node in linked
        }
        return set(self.landings.seeds) - known


def holders(entries: Collection[Member]) -> list[Member]:
    """Return the entry that is expected behind each address.

    :param entries: known entries; a living one goes before a dead one of
        the same address.
    """
    ranked = sorted(entries, key=lambda entry: entry.state, reverse=True)
    by_address = {
        entry.address: entry for entry in ranked if entry.state != State.left
    }
    return list(by_address.values())
