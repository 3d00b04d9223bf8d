"""The addresses that a process dials."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

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


class Targets(Protocol):
    """Chooses the addresses that a process dials."""

    def addresses(
        self, table: Table, linked: Collection[str], now: float
    ) -> set[str]:
        """Return the addresses to keep links to.

        :param table: of the members.
        :param linked: nodes of the linked entries.
        :param now: the time in seconds.
        """


class SideTargets:
    """Chooses for a side: its entries, and the seeds while it has none.

    :param seeds: the addresses of the settings.
    :param choice: of the entries.
    """

    def __init__(self, seeds: Collection[str], choice: EntryChoice) -> None:
        """Start without links."""
        self.seeds = set(seeds)
        self.choice = choice
        self.linked_at: float | None = None

    def addresses(
        self, table: Table, linked: Collection[str], now: float
    ) -> set[str]:
        """Return the addresses to keep links to.

        :param table: of the members.
        :param linked: nodes of the linked entries.
        :param now: the time in seconds.
        """
        chosen = self.choice.update(known_entries(table), linked, now)
        if linked:
            self.linked_at = now
        if self.linked_at is None or now - self.linked_at > ALONE_AFTER:
            return chosen | self.seeds
        return chosen


class EntryTargets:
    """Chooses for an entry: of two entries the lower node dials the other.

    The seeds are dialled while no entry is linked, and now and then for a
    moment, so that groups of entries that do not know of each other meet.

    :param seeds: the addresses of the settings.
    :param offset: shifts the times of looking around, in seconds.
    """

    def __init__(self, seeds: Collection[str], offset: float) -> None:
        """Start without links."""
        self.seeds = set(seeds)
        self.offset = offset

    def addresses(
        self, table: Table, linked: Collection[str], now: float
    ) -> set[str]:
        """Return the addresses to keep links to.

        :param table: of the members.
        :param linked: nodes of the linked entries.
        :param now: the time in seconds.
        """
        own = table.own
        others = [
            entry for entry in known_entries(table) if entry.node != own.node
        ]
        wanted = {
            address for address, node in holders(others) if own.node < node
        }
        if not linked or (now + self.offset) % SCOUT_PERIOD < SCOUT_TIME:
            known = {entry.address for entry in others if entry.node in linked}
            wanted |= self.seeds - known
        return wanted - {own.address, ''}


def known_entries(table: Table) -> list[Member]:
    """Return all entries of a table, whatever their state.

    :param table: of the members.
    """
    return [
        member for member in table.members.values() if member.role == 'entry'
    ]


def holders(entries: Collection[Member]) -> list[tuple[str, str]]:
    """Return addresses with the node that is expected behind each.

    :param entries: known entries; a living one goes before a dead one of
        the same address.
    """
    ranked = sorted(entries, key=lambda entry: entry.state, reverse=True)
    by_address = {
        entry.address: entry.node
        for entry in ranked
        if entry.state != State.left
    }
    return list(by_address.items())
