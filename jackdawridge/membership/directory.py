"""Member queries for other packages and for operators."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.membership.messages import State

if TYPE_CHECKING:
    from jackdawridge.membership.messages import Member
    from jackdawridge.membership.table import MemberTable
    from jackdawridge.util.clock import Clock


class MembershipStatus(NamedTuple):
    """The membership section of the status page."""

    #: State of each known entry, by node.
    entries: dict[str, str]
    #: Number of known sides in each state.
    sides: dict[str, int]
    #: Nodes of the sides that are leaving or not alive.
    absent: list[str]


class Directory:
    """Answers queries about members from the member table.

    :param table: the member table.
    :param clock: supplies the time, usually the reactor.
    """

    def __init__(self, table: MemberTable, clock: Clock) -> None:
        """Use the given table and clock."""
        self.table = table
        self.clock = clock

    def entries(self) -> list[Member]:
        """Return the entries that are alive or suspected."""
        return self.table.of_role('entry')

    def sides(self) -> list[Member]:
        """Return the sides that are alive or suspected."""
        return self.table.of_role('side')

    def sides_in(self, failure_domain: str) -> list[Member]:
        """Return the alive or suspected sides of a failure domain.

        :param failure_domain: name of the failure domain.
        """
        return [
            side
            for side in self.sides()
            if side.failure_domain == failure_domain
        ]

    def is_gone(self, address: str, incarnation: str) -> bool:
        """Return whether a run of an entry has ended for good.

        :param address: the peer address of the entry.
        :param incarnation: the id of the run.
        """
        now = self.clock.seconds()
        return self.table.is_gone(address, incarnation, now)

    def status(self) -> MembershipStatus:
        """Return the membership section of the status page."""
        members = self.table.members.values()
        sides = [member for member in members if member.role == 'side']
        return MembershipStatus(
            {
                entry.node: state_name(entry)
                for entry in self.table.entries.values()
            },
            dict(Counter(state_name(side) for side in sides)),
            sorted(side.node for side in sides if state_name(side) != 'alive'),
        )


def state_name(member: Member) -> str:
    """Return the state of a member as operators see it.

    :param member: its record.
    """
    if member.state == State.alive and member.leaving:
        return 'leaving'
    return State(member.state).name
