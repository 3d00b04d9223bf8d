"""Detection of sides that are linked to none of their entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.membership.entry_subset import MIGRATION_TIME, choose_entries
from jackdawridge.membership.lead_candidates import choose_lead_candidates
from jackdawridge.membership.messages import State

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from jackdawridge.membership.messages import Member
    from jackdawridge.membership.table import MemberTable

#: Heartbeat periods in which a side may reopen a closed link.
RELINK_PERIODS = 2
#: Time after which an expected side without a link is suspected, in seconds.
UNLINKED_TIMEOUT = 2 * MIGRATION_TIME
#: Maximum number of sides checked in one period.
SIDES_PER_SCAN = 16


class SideMonitor:
    """Finds sides that should be linked to this entry but aren't.

    An entry monitors the sides that rendezvous hashing assigns to it. Sides
    that have moved are monitored by their new entries.

    :param own_node: node of this entry.
    :param entries_per_side: how many entries a side links to.
    :param period: the heartbeat period, in seconds.
    :param lead_links: how many of them are lead candidates.
    """

    def __init__(
        self,
        own_node: str,
        entries_per_side: int,
        period: float,
        lead_links: int = 0,
    ) -> None:
        """Start without sides."""
        self.own_node = own_node
        self.entries_per_side = entries_per_side
        self.lead_links = min(lead_links, entries_per_side - 1)
        self.period = period
        #: Time at which the link to a side was closed.
        self.link_lost_at: dict[str, float] = {}
        #: Time since which an expected side has been seen without a link.
        self.unlinked_since: dict[str, float] = {}
        #: Nodes still to be checked in the current scan.
        self.pending: list[str] = []

    def record_link_lost(self, node: str, now: float) -> None:
        """Start the relink timeout of a side.

        :param node: node of the side.
        :param now: the time in seconds.
        """
        self.link_lost_at[node] = now

    def take_overdue(
        self, table: MemberTable, linked: Collection[str], now: float
    ) -> list[str]:
        """Return the sides to suspect and stop their timeouts.

        :param table: the member table.
        :param linked: nodes of the linked sides.
        :param now: the time in seconds.
        """
        self.scan_sides(table, linked, now)
        relink_time = RELINK_PERIODS * self.period
        due = _expired(self.link_lost_at, now - relink_time)
        due += _expired(self.unlinked_since, now - UNLINKED_TIMEOUT)
        for node in due:
            self.link_lost_at.pop(node, None)
            self.unlinked_since.pop(node, None)
        return [
            overdue
            for overdue in due
            if overdue not in linked and self.is_expected(table, overdue)
        ]

    def scan_sides(
        self, table: MemberTable, linked: Collection[str], now: float
    ) -> None:
        """Check the next sides of the member table for a missing link.

        :param table: the member table.
        :param linked: nodes of the linked sides.
        :param now: the time in seconds.
        """
        if not self.pending:
            self.pending = [side.node for side in table.of_role('side')]
        for node in self.pending[-SIDES_PER_SCAN:]:
            if node in linked or not self.is_expected(table, node):
                self.unlinked_since.pop(node, None)
            else:
                self.unlinked_since.setdefault(node, now)
        self.pending = self.pending[:-SIDES_PER_SCAN]

    def is_expected(self, table: MemberTable, node: str) -> bool:
        """Return whether a side is alive and should be linked to this entry.

        A side of an earlier version doesn't link to the lead candidates, so
        the entry has to be among those of the side both with them and without.

        :param table: the member table.
        :param node: node of the side.
        """
        side = table.members.get(node)
        if side is None or side.state != State.alive:
            return False
        entries = usable_entries(table)
        candidates = choose_lead_candidates(entries, self.lead_links)
        is_expected = self.is_chosen(node, entries, ())
        if not is_expected or not candidates:
            return is_expected
        return self.is_chosen(node, entries, candidates)

    def is_chosen(
        self, node: str, entries: list[Member], candidates: Collection[Member]
    ) -> bool:
        """Return whether hashing assigns a side to this entry.

        :param node: node of the side.
        :param entries: the entries that sides may link to.
        :param candidates: the entries that all sides link to.
        """
        chosen = choose_entries(
            node, entries, self.entries_per_side, candidates
        )
        return any(entry.node == self.own_node for entry in chosen)


def usable_entries(table: MemberTable) -> list[Member]:
    """Return the entries that sides may link to.

    :param table: the member table.
    """
    return [
        entry
        for entry in table.entries.values()
        if entry.is_present() and not entry.leaving
    ]


def _expired(times: Mapping[str, float], horizon: float) -> list[str]:
    """Return the keys whose time is not after the horizon."""
    return [key for key, at in times.items() if at <= horizon]
