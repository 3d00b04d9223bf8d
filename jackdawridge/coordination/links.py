"""The entries that this one can talk to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.coordination.choice import Candidate
from jackdawridge.membership.messages import State

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jackdawridge.membership.directory import Directory
    from jackdawridge.wire.peers import Peer, Peers


class EntryLinks:
    """Finds linked entries by their incarnation.

    :param own: incarnation of this entry.
    :param peers: its links.
    :param directory: knows the other entries.
    """

    def __init__(self, own: str, peers: Peers, directory: Directory) -> None:
        """Keep the parts."""
        self.own = own
        self.peers = peers
        self.directory = directory

    def find(self, incarnation: str) -> Peer | None:
        """Return a linked entry.

        :param incarnation: of the entry.
        """
        for peer in self.peers.of_role('entry'):
            if peer.introduction.incarnation == incarnation:
                return peer
        return None

    def name(self, incarnation: str) -> str:
        """Return the node of a linked entry, or its incarnation.

        :param incarnation: of the entry.
        """
        peer = self.find(incarnation)
        return peer.name if peer else incarnation

    def send(self, incarnation: str, message: object) -> None:
        """Send a message to an entry if it is linked.

        :param incarnation: of the entry.
        :param message: for it.
        """
        peer = self.find(incarnation)
        if peer is not None:
            peer.send(message)

    def candidates(self) -> Iterator[Candidate]:
        """Yield this entry and the living ones that it is linked to."""
        linked = {
            peer.introduction.incarnation
            for peer in self.peers.of_role('entry')
        }
        for member in self.directory.entries():
            if member.leaving or member.state != State.alive:
                continue
            if member.incarnation in linked or member.incarnation == self.own:
                yield Candidate(member.generation, member.incarnation)
