"""A bounded queue of member updates to gossip."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawridge.membership.messages import Member

#: Maximum number of members with queued updates.
MAX_QUEUED = 2048
#: Each update is sent this factor times the binary logarithm of the number of
#: gossiping processes.
RETRANSMISSION_FACTOR = 3
#: Maximum number of member records in one message.
MAX_MEMBERS_PER_MESSAGE = 32


class GossipQueue:
    """Queues member updates, each to be sent a logarithmic number of times."""

    def __init__(self) -> None:
        """Start empty."""
        #: Number of times that the queued record of each node was sent.
        self.send_counts: dict[str, int] = {}
        self.members: dict[str, Member] = {}

    def put(self, member: Member) -> None:
        """Queue a record; it replaces an older one of the same node.

        When the queue is full, the record that was sent most often is dropped.

        :param member: the newest record of its node.
        """
        self.members[member.node] = member
        self.send_counts[member.node] = 0
        if len(self.members) > MAX_QUEUED:
            most_sent = max(self.send_counts, key=self.send_counts.__getitem__)
            self.forget(most_sent)

    def forget(self, node: str) -> None:
        """Remove the queued record of a node, if any.

        :param node: the node.
        """
        self.members.pop(node, None)
        self.send_counts.pop(node, None)

    def next_batch(
        self, population: int, limit: int = MAX_MEMBERS_PER_MESSAGE
    ) -> tuple[Member, ...]:
        """Return the records for one message, the least often sent first.

        :param population: the number of processes that gossip.
        :param limit: the maximum number of records.
        """
        if not self.members:
            return ()
        nodes = sorted(self.send_counts, key=self.send_counts.__getitem__)[
            :limit
        ]
        taken = tuple(self.members[node] for node in nodes)
        bound = RETRANSMISSION_FACTOR * math.ceil(math.log2(population + 2))
        for node in nodes:
            self.send_counts[node] += 1
            if self.send_counts[node] >= bound:
                self.forget(node)
        return taken
