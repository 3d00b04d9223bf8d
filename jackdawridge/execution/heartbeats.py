"""Heartbeats of a side, which open send windows and renew leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.execution.heartbeat_schedule import HeartbeatSchedule
from jackdawridge.execution.messages import Heartbeat

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.application import Application
    from jackdawridge.execution.messages import HeartbeatReply
    from jackdawridge.execution.sessions import EntryRecord
    from jackdawridge.execution.state import SideState
    from jackdawridge.util.clock import DelayedCall
    from jackdawridge.wire.peers import Peer, Peers


class HeartbeatSender:
    """Sends heartbeats to the entries.

    :param application: the process, with its clock and settings.
    :param peers: linked peers of the process.
    :param state: state of the side that the heartbeats report.
    """

    def __init__(
        self, application: Application, peers: Peers, state: SideState
    ) -> None:
        """Initialise the sender without starting its timer."""
        self.application = application
        self.clock = application.clock
        self.peers = peers
        self.state = state
        self.interval = application.settings.number('heartbeat')
        self.schedule = HeartbeatSchedule(self.interval)
        self.timer: DelayedCall | None = None
        #: Nodes of the entries whose links the side is about to close.
        self.released: set[str] = set()

    def start(self) -> None:
        """Start to send each entry one heartbeat per interval."""
        self.send_due()

    def stop(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def send_first(self, peer: Peer) -> None:
        """Send the first heartbeat of a session and schedule the next.

        :param peer: link to the entry.
        """
        self.schedule.add_entry(
            peer.introduction.incarnation, self.clock.seconds()
        )
        self.send((peer,))

    def send_all(self) -> None:
        """Send a heartbeat to every entry now."""
        self.send(self.peers.of_role('entry'))

    def send_due(self) -> None:
        """Send a heartbeat to the entries that are due, and set the timer."""
        links = {
            peer.introduction.incarnation: peer
            for peer in self.peers.of_role('entry')
        }
        now = self.clock.seconds()
        due = self.schedule.collect_due(links.keys(), now)
        self.timer = self.clock.callLater(
            self.schedule.wait(now), self.send_due
        )
        if due:
            window = self.send([links[incarnation] for incarnation in due])
            self.schedule.record_sent(due, window)

    def align(self, peer: Peer, reply: HeartbeatReply) -> None:
        """Align the schedule of an entry to its coalescing instants.

        :param peer: link to the entry.
        :param reply: reply to a heartbeat, which tells the phase.
        """
        incarnation = peer.introduction.incarnation
        self.schedule.align(incarnation, reply.window, reply.phase)

    def send(self, entries: Iterable[Peer]) -> int:
        """Open a send window and send it to some entries in heartbeats.

        :param entries: links to the entries.
        :returns: the number of the window.
        """
        now = self.clock.seconds()
        window = self.state.sessions.windows.open(now)
        self.state.gate.heartbeat_sent(window)
        for peer in entries:
            incarnation = peer.introduction.incarnation
            record = self.state.sessions.entry(incarnation, now)
            is_released = peer.name in self.released
            peer.send(
                self.make_heartbeat(record, window, is_released=is_released)
            )
        return window

    def make_heartbeat(
        self, record: EntryRecord, window: int, *, is_released: bool
    ) -> Heartbeat:
        """Return a heartbeat.

        :param record: record of the entry that receives it.
        :param window: number of the send window that it opens.
        :param is_released: whether the side is about to close the link.
        """
        now = self.clock.seconds()
        return Heartbeat(
            window,
            record.processed,
            self.state.room.room_for(record.incarnation, now),
            self.state.draining
            or bool(self.state.closed_reason)
            or is_released,
            self.state.gate.position,
        )
