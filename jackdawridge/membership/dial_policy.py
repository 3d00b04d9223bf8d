"""Selection of the addresses that a process dials."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from jackdawridge.membership.messages import State

if TYPE_CHECKING:
    from collections.abc import Collection

    from jackdawridge.membership.entry_subset import EntrySubset, LinkUsage
    from jackdawridge.membership.messages import Member
    from jackdawridge.membership.table import MemberTable

#: Time without any link to an entry after which a side dials the seeds again,
#: in seconds.
RESEED_TIMEOUT = 1.5
#: Interval at which an entry dials seeds that have led to no linked entry, in
#: seconds.
SEED_REDIAL_PERIOD = 30.0
#: Time for which it keeps dialling them in each interval, in seconds.
SEED_REDIAL_TIME = 4.0


class Links(NamedTuple):
    """The open links to entries."""

    #: Nodes of the linked entries.
    nodes: frozenset[str]
    #: Node behind each address that this process has dialled.
    dialled: dict[str, str]


class ReachedEntry(NamedTuple):
    """The entry that a dialled address has led to."""

    node: str
    #: Peer address that the entry announces.
    address: str


class SeedMap:
    """Maps each seed address to the entry that was last reached through it.

    A seed that has led to an entry is preferred over the address that the entry
    announces, as it may be the only route to it.

    :param seeds: the seed addresses from the settings.
    :param discovery_time: maximum time in which a process dials only the seeds,
        until each has led to an entry, in seconds; 0 if no seed is the only
        route to its entry.
    """

    def __init__(self, seeds: Collection[str], discovery_time: float) -> None:
        """Start with no seed reached."""
        self.seeds = frozenset(seeds)
        self.discovery_time = discovery_time
        self.by_seed: dict[str, ReachedEntry] = {}
        #: Time at which the discovery of the seeds started, in seconds.
        self.started: float | None = None

    def replace(self, seeds: Collection[str]) -> None:
        """Replace the seed addresses.

        Entries that were reached through a previous seed remain mapped to it,
        so that open links are kept.

        :param seeds: the new seed addresses.
        """
        self.seeds = frozenset(seeds)

    def is_discovering(self, own_address: str, now: float) -> bool:
        """Return whether the process should still dial only the seeds.

        :param own_address: address of this process, which counts as reached.
        :param now: the time in seconds.
        """
        if self.started is None:
            self.started = now
        unreached = self.seeds - self.by_seed.keys() - {own_address}
        return bool(unreached) and now - self.started < self.discovery_time

    def record(self, address: str, reached: ReachedEntry) -> None:
        """Record the entry that was reached at a seed; ignore other addresses.

        :param address: the dialled address.
        :param reached: the entry behind it.
        """
        if address in self.seeds:
            self.by_seed[address] = reached

    def dial_address(self, entry: Member) -> str:
        """Return the address at which to dial an entry.

        :param entry: its record.
        """
        wanted = ReachedEntry(entry.node, entry.address)
        for seed, reached in self.by_seed.items():
            if reached == wanted:
                return seed
        return entry.address


class DialPolicy(Protocol):
    """Chooses the addresses that a process dials."""

    seed_map: SeedMap
    #: Whether entries are wanted to which the seeds have not led.
    is_searching: bool

    def set_usage(self, usage: LinkUsage) -> None:
        """Set what tells whether the links to the entries are used.

        :param usage: usage of the links.
        """

    def addresses(
        self, table: MemberTable, links: Links, now: float
    ) -> set[str]:
        """Return the addresses to keep links to.

        :param table: the member table.
        :param links: the open links to entries.
        :param now: the time in seconds.
        """


class SideDialPolicy:
    """Dials a side's entries, and the seeds while it has no link.

    :param seed_map: the seeds, and the entries reached through them.
    :param subset: selects the entries.
    """

    def __init__(self, seed_map: SeedMap, subset: EntrySubset) -> None:
        """Start without links."""
        self.seed_map = seed_map
        self.is_searching = False
        self.subset = subset
        #: Time at which the side last had a link, in seconds.
        self.linked_at: float | None = None

    def set_usage(self, usage: LinkUsage) -> None:
        """Set what tells for which entries this side works.

        :param usage: usage of the links.
        """
        self.subset.usage = usage

    def addresses(
        self, table: MemberTable, links: Links, now: float
    ) -> set[str]:
        """Return the addresses to keep links to.

        :param table: the member table.
        :param links: the open links to entries.
        :param now: the time in seconds.
        """
        entries = list(table.entries.values())
        seeds = set(self.seed_map.seeds)
        if self.seed_map.is_discovering('', now):
            return seeds
        chosen = self.subset.update(entries, links.nodes, now)
        # A leaving entry still collects the outcomes of tasks that it started
        # on this side.
        chosen.update(
            entry.node
            for entry in entries
            if entry.leaving and entry.node in links.nodes
        )
        wanted = {
            self.seed_map.dial_address(entry)
            for entry in entries
            if entry.node in chosen
        }
        if links.nodes:
            self.linked_at = now
        self.is_searching = (
            self.linked_at is None or now - self.linked_at > RESEED_TIMEOUT
        )
        if self.is_searching:
            return wanted | seeds
        return wanted


class EntryDialPolicy:
    """Dials other entries: of two entries, the one with the lower node.

    Open links that this process has dialled are kept even if the other entry
    should have dialled. All seeds are dialled first, as a seed may be the only
    route to an entry. Seeds that have led to no linked entry are dialled again
    while no entry is linked, and periodically for a short time, so that
    separate groups of entries find each other.

    :param seed_map: the seeds, and the entries reached through them.
    :param offset: shifts the periodic dialling of seeds, in seconds.
    """

    def __init__(self, seed_map: SeedMap, offset: float) -> None:
        """Start without links."""
        self.seed_map = seed_map
        self.is_searching = False
        self.offset = offset

    def set_usage(self, usage: LinkUsage) -> None:
        """Do nothing: an entry closes no link to another.

        :param usage: usage of the links.
        """

    def addresses(
        self, table: MemberTable, links: Links, now: float
    ) -> set[str]:
        """Return the addresses to keep links to.

        :param table: the member table.
        :param links: the open links to entries.
        :param now: the time in seconds.
        """
        own = table.own
        if self.seed_map.is_discovering(own.address, now):
            return {*self.seed_map.seeds, *links.dialled} - {own.address}
        others = [
            entry for entry in table.entries.values() if entry.node != own.node
        ]
        accepted = links.nodes.difference(links.dialled.values())
        wanted = {
            self.seed_map.dial_address(entry)
            for entry in preferred_entries(others)
            if own.node < entry.node and entry.node not in accepted
        }
        wanted.update(links.dialled)
        unresolved = self.unresolved_seeds(links.nodes) - {own.address}
        is_redial_due = (
            not links.nodes
            or (now + self.offset) % SEED_REDIAL_PERIOD < SEED_REDIAL_TIME
        )
        self.is_searching = is_redial_due and bool(unresolved)
        if self.is_searching:
            wanted |= unresolved
        return wanted - {own.address, ''}

    def unresolved_seeds(self, linked: Collection[str]) -> set[str]:
        """Return the seeds that did not lead to a linked entry.

        :param linked: nodes of the linked entries.
        """
        known = {
            seed
            for seed, reached in self.seed_map.by_seed.items()
            if reached.node in linked
        }
        return set(self.seed_map.seeds) - known


def preferred_entries(entries: Collection[Member]) -> list[Member]:
    """Return the entry expected at each address.

    Among several entries with one address, an alive one is preferred over a
    dead one; entries that have left are ignored.

    :param entries: known entries.
    """
    ranked = sorted(entries, key=lambda entry: entry.state, reverse=True)
    by_address = {
        entry.address: entry for entry in ranked if entry.state != State.left
    }
    return list(by_address.values())
