"""Links to the other entries, looked up by incarnation."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawridge.membership.directory import Directory
    from jackdawridge.wire.peers import Peer, Peers


class EntryLinks:
    """Finds linked entries by their incarnation.

    :param own: incarnation of this entry.
    :param peers: peers that the process is linked to.
    :param directory: lists the other entries.
    """

    def __init__(self, own: str, peers: Peers, directory: Directory) -> None:
        """Keep the sources of peers and members."""
        self.own_incarnation = own
        self.peers = peers
        self.directory = directory

    def find(self, incarnation: str) -> Peer | None:
        """Return a linked entry, None if it isn't linked.

        :param incarnation: run of the entry.
        """
        for peer in self.peers.of_role('entry'):
            if peer.introduction.incarnation == incarnation:
                return peer
        return None

    def name(self, incarnation: str) -> str:
        """Return the node of an entry, its incarnation if it isn't linked.

        :param incarnation: run of the entry.
        """
        peer = self.find(incarnation)
        return peer.name if peer else incarnation

    def send(self, incarnation: str, message: object) -> None:
        """Send a message to an entry if it is linked.

        :param incarnation: run of the entry.
        :param message: message to send.
        """
        peer = self.find(incarnation)
        if peer is not None:
            peer.send(message)

    def incarnations(self) -> set[str]:
        """Return the incarnations of this entry and of the linked ones."""
        linked = {
            peer.introduction.incarnation
            for peer in self.peers.of_role('entry')
        }
        return linked | {self.own_incarnation}
