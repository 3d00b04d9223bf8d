"""Sending of outcomes to the entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.execution.state import SideState
    from jackdawridge.util.clock import Clock, DelayedCall
    from jackdawridge.wire.peers import Peer, Peers


#: Interval at which room is offered while entries wait, in seconds.
OFFER_INTERVAL = 0.25


class OutcomeSender:
    """Gathers outcomes for one turn of the loop and sends them.

    :param clock: the reactor.
    :param peers: of the process.
    :param state: of the side.
    """

    def __init__(self, clock: Clock, peers: Peers, state: SideState) -> None:
        """Start with nothing to send."""
        self.clock = clock
        self.peers = peers
        self.state = state
        self.flush_scheduled = False
        #: Until room that was offered in vain is offered to others.
        self.timer: DelayedCall | None = None
        #: Called before each sending.
        self.before_flush: list[Callable[[], None]] = []
        #: Called after each sending.
        self.after_flush: list[Callable[[], None]] = []

    def flush_soon(self) -> None:
        """Send outcomes at the end of this turn of the loop."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.clock.callLater(0, self.flush)

    def flush(self) -> None:
        """Send the outcomes that have gathered."""
        self.flush_scheduled = False
        for callback in self.before_flush:
            callback()
        links = {
            peer.introduction.incarnation: peer
            for peer in self.peers.of_role('entry')
        }
        now = self.clock.seconds()
        # Offers come first, so that the room reported to the others is less.
        for offer in self.state.room.offers(now):
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
        """Look for room again while entries wait for some."""
        is_scheduled = self.timer is not None and self.timer.active()
        if self.state.room.waiting_entries and not is_scheduled:
            self.timer = self.clock.callLater(OFFER_INTERVAL, self.flush_soon)


def send_to(peer: Peer | None, message: object) -> None:
    """Send a message if there is a link for it.

    :param peer: an entry, None if there is no link.
    :param message: for the entry.
    """
    if peer is not None:
        peer.send(message)
