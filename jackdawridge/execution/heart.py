"""Heartbeats of a side, which open windows and renew leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.execution.messages import Heartbeat
from jackdawridge.util.clock import make_loop

if TYPE_CHECKING:
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
        self.loop = make_loop(self.clock, self.beat)

    def start(self) -> None:
        """Beat at the interval of the settings."""
        self.loop.start(self.application.settings.number('heartbeat'))

    def stop(self) -> None:
        """Stop beating."""
        if self.loop.running:
            self.loop.stop()

    def greet(self, peer: Peer) -> None:
        """Send the first heartbeat of a session.

        :param peer: the entry.
        """
        now = self.clock.seconds()
        window = self.state.sessions.windows.open(now)
        self.state.gate.heartbeat_sent(window)
        incarnation = peer.introduction.incarnation
        record = self.state.sessions.entry(incarnation, now)
        peer.send(self.write(record, window))

    def beat(self) -> None:
        """Send a heartbeat to every entry."""
        now = self.clock.seconds()
        window = self.state.sessions.windows.open(now)
        self.state.gate.heartbeat_sent(window)
        for peer in self.peers.of_role('entry'):
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
