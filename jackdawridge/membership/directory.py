"""Questions that other slices ask about the members."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.membership.messages import State

if TYPE_CHECKING:
    from jackdawridge.membership.messages import Member
    from jackdawridge.membership.state import Table
    from jackdawridge.util.clock import Clock


class MembershipStatus(NamedTuple):
    """What operators see of the members that a process knows."""

    #: State of each known entry by its node.
    entries: dict[str, str]
    #: Number of known sides in each state.
    sides: dict[str, int]
    #: Nodes of the sides that are not alive, or that are leaving.
    absent: list[str]


class Directory:
    """Answers questions about the members from the table.

    :param table: of the members.
    :param clock: the reactor.
    """

    def __init__(self, table: Table, clock: Clock) -> None:
        """Keep both."""
        self.table = table
        self.clock = clock

    def entries(self) -> list[Member]:
        """Return the entries that are alive or merely suspected."""
        return self.table.of_role('entry')

    def sides(self) -> list[Member]:
        """Return the sides that are alive or merely suspected."""
        return self.table.of_role('side')

    def sides_in(self, failure_domain: str) -> list[Member]:
        """Return the sides of a failure domain, alive or suspected.

        :param failure_domain: its name.
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

    def describe(self) -> MembershipStatus:
        """Return what operators see of the members."""
        members = self.table.members.values()
        sides = [member for member in members if member.role == 'side']
        return MembershipStatus(
            {
                entry.node: describe_state(entry)
                for entry in self.table.entries.values()
            },
            dict(Counter(describe_state(side) for side in sides)),
            sorted(
                side.node for side in sides if describe_state(side) != 'alive'
            ),
        )


def describe_state(member: Member) -> str:
    """Return the state of a member in a word.

    :param member: its record.
    """
    if member.state == State.alive and member.leaving:
        return 'leaving'
    return State(member.state).name
