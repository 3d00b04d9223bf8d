"""State that an entry keeps of each of its sides."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawridge.execution.messages import TaskKey
    from jackdawridge.wire.peers import Peer


class SideRecord:
    """Session with a side, and the unresolved starts there.

    :param peer: newest link to the side.
    :param now: local time in seconds.
    """

    def __init__(self, peer: Peer, now: float) -> None:
        """Create the record of a side that has just been linked."""
        self.node = peer.name
        #: Keys of the unresolved starts.
        self.unresolved: set[TaskKey] = set()
        #: Incarnation of the side that the unresolved starts were sent to.
        self.sent_to_incarnation = peer.introduction.incarnation
        #: Number of the last outcome batch that was received.
        self.last_outcome_batch = 0
        self.open_session(peer, now)

    def open_session(self, peer: Peer, now: float) -> None:
        """Start a session on a new link.

        :param peer: newest link to the side.
        :param now: local time in seconds.
        """
        self.peer: Peer | None = peer
        self.incarnation = peer.introduction.incarnation
        #: Number of the newest send window of this link, 0 if there was none.
        self.window = 0
        #: Number of the last batch of starts of this link.
        self.last_start_batch = 0
        #: Local time of the last message from the side, in seconds.
        self.last_heard = now
        #: Whether tasks may be placed at the side.
        self.ready = False
        #: Whether the side has yet to answer which starts it knows.
        self.resolving = bool(self.unresolved)
        if self.sent_to_incarnation != self.incarnation:
            self.last_outcome_batch = 0

    def close_session(self, peer: Peer) -> bool:
        """End the session if it uses this link.

        :param peer: link that has ended.
        :returns: whether the session was ended.
        """
        if self.peer is not peer:
            return False
        self.peer = None
        self.ready = False
        return True

    def mark_resolved(self) -> None:
        """Record that all unresolved starts went to this run of the side."""
        self.resolving = False
        self.sent_to_incarnation = self.incarnation

    def next_batch(self) -> int:
        """Return the number of the next batch of starts."""
        self.last_start_batch += 1
        return self.last_start_batch

    def accept_batch(self, peer: Peer, number: int) -> bool:
        """Record an outcome batch; return False if it is a duplicate.

        :param peer: link on which the batch arrived.
        :param number: number of the batch.
        """
        if peer.introduction.incarnation != self.incarnation:
            return True
        if number <= self.last_outcome_batch:
            return False
        self.last_outcome_batch = number
        return True
