"""Announcement of a process's own member record to its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.membership.messages import Gossip

if TYPE_CHECKING:
    from jackdawridge.membership.table import MemberTable
    from jackdawridge.wire.peers import Peers


class Announcer:
    """Sends this process's own record to linked peers and to new ones.

    :param peers: the links of this process.
    :param table: the member table, which holds the record to announce.
    """

    def __init__(self, peers: Peers, table: MemberTable) -> None:
        """Set the introduction of this process from its current record."""
        self.peers = peers
        self.table = table
        self.update_introduction()

    def announce(self) -> None:
        """Send the record of this process to all linked peers."""
        self.update_introduction()
        gossip = Gossip((self.table.own,))
        for peer in tuple(self.peers.by_link.values()):
            peer.send(gossip)

    def update_introduction(self) -> None:
        """Copy the current record into the introduction for new links."""
        own = self.table.own
        self.peers.introduction = self.peers.introduction._replace(
            generation=own.generation,
            version=own.version,
            leaving=own.leaving,
        )
