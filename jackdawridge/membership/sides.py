"""Detection of sides that are linked to none of their entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.membership.messages import State
from jackdawridge.membership.subset import SPREAD, choose

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from jackdawridge.membership.messages import Member
    from jackdawridge.membership.state import Table

#: A side whose link was lost may open it again for so many periods.
LOST_PERIODS = 2
#: An expected side without a link is suspected after this time, in seconds.
ABSENT_AFTER = 2 * SPREAD
#: Most sides that are looked at in a period.
SIDES_A_PERIOD = 16


class SideWatch:
    """Notes sides that this entry should be linked to and is not.

    An entry answers for the sides that hashing gives it: a side that moved
    to others is theirs to watch.

    :param own: node of this entry.
    :param share: how many entries a side links to.
    :param period: in seconds.
    """

    def __init__(self, own: str, share: int, period: float) -> None:
        """Start without sides."""
        self.own = own
        self.share = share
        self.period = period
        #: When the link to a side was lost.
        self.lost: dict[str, float] = {}
        #: Since when an expected side has had no link.
        self.absent: dict[str, float] = {}
        #: Sides that are still to be looked at in this round.
        self.round: list[str] = []

    def note_lost(self, node: str, now: float) -> None:
        """Take note of a lost link.

        :param node: node of the side.
        :param now: the time in seconds.
        """
        self.lost[node] = now

    def overdue(
        self, table: Table, linked: Collection[str], now: float
    ) -> list[str]:
        """Return the sides to suspect.

        :param table: of the members.
        :param linked: nodes of the linked sides.
        :param now: the time in seconds.
        """
        self.look_around(table, linked, now)
        patience = LOST_PERIODS * self.period
        due = _older(self.lost, now - patience)
        due += _older(self.absent, now - ABSENT_AFTER)
        for overdue in due:
            self.lost.pop(overdue, None)
            self.absent.pop(overdue, None)
        return [
            silent
            for silent in due
            if silent not in linked and self.is_expected(table, silent)
        ]

    def look_around(
        self, table: Table, linked: Collection[str], now: float
    ) -> None:
        """Look at the next few sides of the table.

        :param table: of the members.
        :param linked: nodes of the linked sides.
        :param now: the time in seconds.
        """
        if not self.round:
            self.round = [side.node for side in table.of_role('side')]
        for node in self.round[-SIDES_A_PERIOD:]:
            if node in linked or not self.is_expected(table, node):
                self.absent.pop(node, None)
            else:
                self.absent.setdefault(node, now)
        self.round = self.round[:-SIDES_A_PERIOD]

    def is_expected(self, table: Table, node: str) -> bool:
        """Return whether a living side should be linked to this entry.

        :param table: of the members.
        :param node: node of the side.
        """
        side = table.members.get(node)
        if side is None or side.state != State.alive:
            return False
        entries = usable_entries(table)
        chosen = choose(node, entries, self.share)
        return any(entry.node == self.own for entry in chosen)


def usable_entries(table: Table) -> list[Member]:
    """Return the entries that sides may choose.

    :param table: of the members.
    """
    return [
        entry
        for entry in table.entries.values()
        if entry.is_present() and not entry.leaving
    ]


def _older(times: Mapping[str, float], horizon: float) -> list[str]:
    """Return the keys whose time is not after another."""
    return [key for key, at in times.items() if at <= horizon]
