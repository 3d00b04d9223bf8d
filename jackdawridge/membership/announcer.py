"""What a process says about itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.membership.messages import Gossip

if TYPE_CHECKING:
    from jackdawridge.membership.state import Table
    from jackdawridge.wire.peers import Peers


class Announcer:
    """Tells the linked peers, and those to come, about this process.

    :param peers: the links of the process.
    :param table: knows its record.
    """

    def __init__(self, peers: Peers, table: Table) -> None:
        """Introduce the process by its present record."""
        self.peers = peers
        self.table = table
        self.introduce()

    def announce(self) -> None:
        """Tell all linked peers the record of this process."""
        self.introduce()
        gossip = Gossip((self.table.own,))
        for peer in tuple(self.peers.by_link.values()):
            peer.send(gossip)

    def introduce(self) -> None:
        """Use the record of this process in introductions from now on."""
        own = self.table.own
        self.peers.introduction = self.peers.introduction._replace(
            generation=own.generation,
            version=own.version,
            leaving=own.leaving,
        )
