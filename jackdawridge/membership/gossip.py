"""The bounded queue of news that a process passes on."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawridge.membership.messages import Member

#: Most members about which news waits to be passed on.
MAX_QUEUED = 2048
#: News is passed on this many times the logarithm of the population.
RETRANSMISSION_FACTOR = 3
#: Most members in one message.
MAX_MEMBERS_A_MESSAGE = 32


class GossipQueue:
    """News about members, each passed on a logarithmic number of times."""

    def __init__(self) -> None:
        """Start without news."""
        #: How often the newest record of a node was passed on.
        self.counts: dict[str, int] = {}
        self.members: dict[str, Member] = {}

    def put(self, member: Member) -> None:
        """Queue a record, which replaces an older one of the same node.

        :param member: the newest record.
        """
        self.members[member.node] = member
        self.counts[member.node] = 0
        if len(self.members) > MAX_QUEUED:
            most_sent = max(self.counts, key=self.counts.__getitem__)
            self.forget(most_sent)

    def forget(self, node: str) -> None:
        """Pass on no more about a node.

        :param node: a queued node.
        """
        self.members.pop(node, None)
        self.counts.pop(node, None)

    def take(
        self, population: int, limit: int = MAX_MEMBERS_A_MESSAGE
    ) -> tuple[Member, ...]:
        """Return news for one message, the least often passed on first.

        :param population: the number of processes that gossip.
        :param limit: most records.
        """
        if not self.members:
            return ()
        nodes = sorted(self.counts, key=self.counts.__getitem__)[:limit]
        taken = tuple(self.members[node] for node in nodes)
        bound = RETRANSMISSION_FACTOR * math.ceil(math.log2(population + 2))
        for node in nodes:
            self.counts[node] += 1
            if self.counts[node] >= bound:
                self.forget(node)
        return taken
