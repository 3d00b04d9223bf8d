"""What an entry keeps of each side that it works with."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawridge.execution.messages import TaskKey
    from jackdawridge.wire.peers import Peer


class SideRecord:
    """One side, by its node, with the starts in doubt there.

    :param peer: the newest link to it.
    :param now: local time in seconds.
    """

    def __init__(self, peer: Peer, now: float) -> None:
        """Make the record of a side that has just been linked."""
        self.node = peer.name
        self.keys: set[TaskKey] = set()
        #: Run of the side that the starts in doubt were sent to.
        self.sent_to = peer.introduction.incarnation
        self.received = 0
        self.join(peer, now)

    def join(self, peer: Peer, now: float) -> None:
        """Begin a session on a new link.

        :param peer: the newest link.
        :param now: local time in seconds.
        """
        self.peer: Peer | None = peer
        self.incarnation = peer.introduction.incarnation
        #: Newest window number of this link, 0 if there was none.
        self.window = 0
        #: Number of the last start batch of this link.
        self.batch = 0
        self.last_heard = now
        #: Whether work may be placed there.
        self.ready = False
        #: Whether the side was asked about starts and has not answered.
        self.resolving = bool(self.keys)
        if self.sent_to != self.incarnation:
            self.received = 0

    def leave(self, peer: Peer) -> bool:
        """End the session if it is that of a link.

        :param peer: whose link has ended.
        :returns: whether it was the current session.
        """
        if self.peer is not peer:
            return False
        self.peer = None
        self.ready = False
        return True

    def resolved(self) -> None:
        """Note that every start in doubt is one of this run of the side."""
        self.resolving = False
        self.sent_to = self.incarnation

    def next_batch(self) -> int:
        """Return the number of the next start batch."""
        self.batch += 1
        return self.batch

    def is_newer(self, peer: Peer, number: int) -> bool:
        """Note an outcome batch; return whether it was not seen before.

        :param peer: whose batch it is.
        :param number: of the batch.
        """
        if peer.introduction.incarnation != self.incarnation:
            return True
        if number <= self.received:
            return False
        self.received = number
        return True
