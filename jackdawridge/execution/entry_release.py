"""Release of the entries that a side no longer selects."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawridge.execution.heartbeats import HeartbeatSender
    from jackdawridge.execution.state import SideState
    from jackdawridge.wire.peers import Peer, Peers


class EntryRelease:
    """Lets the tasks of an entry end before the side closes its link to it.

    If the link were closed at once, the entry would know no outcome of the
    tasks that run here, and would wait for their leases to lapse. A released
    entry is told that the side is draining, and so places nothing more.

    :param peers: linked peers of the process.
    :param state: state of the side.
    :param heartbeats: tells the entries whether the side takes work.
    """

    def __init__(
        self, peers: Peers, state: SideState, heartbeats: HeartbeatSender
    ) -> None:
        """Initialise without released entries."""
        self.peers = peers
        self.state = state
        self.heartbeats = heartbeats

    def find(self, node: str) -> Peer | None:
        """Return a linked entry, None if it isn't linked.

        :param node: node of the entry.
        """
        for peer in self.peers.of_role('entry'):
            if peer.name == node:
                return peer
        return None

    def is_idle(self, node: str) -> bool:
        """Return whether an entry has neither tasks nor outcomes here.

        :param node: node of the entry.
        """
        peer = self.find(node)
        if peer is None:
            return True
        incarnation = peer.introduction.incarnation
        record = self.state.sessions.entries.get(incarnation)
        if record is None:
            return True
        queue = self.state.room.wait_queue
        is_waiting = any(one.entry == incarnation for one in queue.waiters)
        return not record.keys and not is_waiting and record.outbox.is_empty()

    def announce_release(self, node: str, *, is_released: bool) -> None:
        """Tell an entry whether the side takes its work.

        :param node: node of the entry.
        :param is_released: whether the side is about to close its link.
        """
        if is_released:
            self.heartbeats.released.add(node)
        else:
            self.heartbeats.released.discard(node)
        peer = self.find(node)
        if peer is not None:
            self.heartbeats.send((peer,))
