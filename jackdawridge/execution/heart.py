"""Heartbeats of a side, which open windows and renew leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.execution.messages import Heartbeat
from jackdawridge.execution.turns import TURNS, Turns
from jackdawridge.util.clock import make_loop

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.application import Application
    from jackdawridge.execution.sessions import EntryRecord
    from jackdawridge.execution.state import SideState
    from jackdawridge.wire.peers import Peer, Peers


class Heart:
    """Sends heartbeats to the entries.

    :param application: the process.
    :param peers: of the process.
    :param state: of the side.
    """

    def __init__(
        self, application: Application, peers: Peers, state: SideState
    ) -> None:
        """Prepare without beating."""
        self.application = application
        self.clock = application.clock
        self.peers = peers
        self.state = state
        self.interval = application.settings.number('heartbeat')
        self.turns = Turns(self.interval)
        self.loop = make_loop(self.clock, self.beat_in_turn)

    def start(self) -> None:
        """Send each entry a heartbeat in each interval of the settings."""
        self.loop.start(self.interval / TURNS)

    def stop(self) -> None:
        """Stop beating."""
        if self.loop.running:
            self.loop.stop()

    def greet(self, peer: Peer) -> None:
        """Send the first heartbeat of a session.

        :param peer: the entry.
        """
        self.turns.join(peer.introduction.incarnation, self.clock.seconds())
        self.send((peer,))

    def beat(self) -> None:
        """Send a heartbeat to every entry."""
        self.send(self.peers.of_role('entry'))

    def beat_in_turn(self) -> None:
        """Send a heartbeat to the entries whose turn it is."""
        linked = {
            peer.introduction.incarnation: peer
            for peer in self.peers.of_role('entry')
        }
        due = self.turns.take(linked.keys(), self.clock.seconds())
        if due:
            self.send([linked[incarnation] for incarnation in due])

    def send(self, entries: Iterable[Peer]) -> None:
        """Open a window and send a heartbeat to some entries.

        :param entries: to send to.
        """
        now = self.clock.seconds()
        window = self.state.sessions.windows.open(now)
        self.state.gate.heartbeat_sent(window)
        for peer in entries:
            incarnation = peer.introduction.incarnation
            record = self.state.sessions.entry(incarnation, now)
            peer.send(self.write(record, window))

    def write(self, record: EntryRecord, window: int) -> Heartbeat:
        """Return a heartbeat.

        :param record: of the entry that it is for.
        :param window: its number.
        """
        now = self.clock.seconds()
        return Heartbeat(
            window,
            record.processed,
            self.state.room.room_for(record.incarnation, now),
            self.state.draining,
            self.state.gate.position,
        )
