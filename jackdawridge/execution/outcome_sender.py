"""Sends outcomes and offers of room to the entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.execution.state import SideState
    from jackdawridge.util.clock import Clock, DelayedCall
    from jackdawridge.wire.peers import Peer, Peers


#: Interval at which free room is offered while entries wait for it, in
#: seconds.
OFFER_INTERVAL = 0.25


class OutcomeSender:
    """Batches the outcomes of one reactor iteration and sends them.

    :param clock: reactor that runs the timers.
    :param peers: linked peers of the process.
    :param state: state of the side, with the outcomes.
    """

    def __init__(self, clock: Clock, peers: Peers, state: SideState) -> None:
        """Initialise the sender with nothing scheduled."""
        self.clock = clock
        self.peers = peers
        self.state = state
        self.flush_scheduled = False
        #: Timer after which room whose offer expired is offered to other
        #: entries.
        self.timer: DelayedCall | None = None
        #: Called before each flush.
        self.before_flush: list[Callable[[], None]] = []
        #: Called after each flush.
        self.after_flush: list[Callable[[], None]] = []

    def flush_soon(self) -> None:
        """Schedule a flush at the end of this reactor iteration."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.clock.callLater(0, self.flush)

    def flush(self) -> None:
        """Send all pending offers and outcomes."""
        self.flush_scheduled = False
        for callback in self.before_flush:
            callback()
        links = {
            peer.introduction.incarnation: peer
            for peer in self.peers.of_role('entry')
        }
        now = self.clock.seconds()
        # Offers are made first, because held room reduces the room that is
        # reported to the other entries.
        for offer in self.state.room.make_offers(now):
            send_to(links.get(offer.entry), offer.offer)
        for record in tuple(self.state.sessions.entries.values()):
            if not record.outbox.has_unsent_outcomes():
                continue
            room = self.state.room.room_for(record.incarnation, now)
            batch = record.outbox.flush(record.processed, room)
            if batch is not None:
                send_to(links.get(record.incarnation), batch)
        for listener in self.after_flush:
            listener()
        self.schedule_offers()

    def schedule_offers(self) -> None:
        """Schedule the next flush while entries wait for room."""
        is_scheduled = self.timer is not None and self.timer.active()
        if self.state.room.waiting_entries and not is_scheduled:
            self.timer = self.clock.callLater(OFFER_INTERVAL, self.flush_soon)


def send_to(peer: Peer | None, message: object) -> None:
    """Send a message if the entry is linked.

    :param peer: link to the entry, None if there is none.
    :param message: message to send.
    """
    if peer is not None:
        peer.send(message)
