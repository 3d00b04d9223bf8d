"""Sessions of an entry with its sides."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.execution.messages import (
    CancelBatch,
    Heartbeat,
    HeartbeatReply,
    Offer,
    OutcomeBatch,
    Refusal,
    Resolution,
    Resolve,
)
from jackdawridge.execution.turns import moment_phase
from jackdawridge.placement.side_view import SideInfo
from jackdawridge.submission.sides import SideRecord
from jackdawridge.util.clock import make_loop

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.application import Application
    from jackdawridge.execution.messages import TaskKey
    from jackdawridge.submission.engine import JobEngine
    from jackdawridge.wire.peers import Peer

#: Part of a heartbeat interval after which silent sides are looked for.
SWEEP_FRACTION = 0.25
#: Shortest and longest time between two such looks, in seconds.
SWEEP_FLOOR = 0.25
SWEEP_CEILING = 0.75
#: Heartbeats that a side may miss before it gets no more work.
MISSED_HEARTBEATS = 2.5
#: Allowance for the drift of the clocks over a send window.
DRIFT = 1.1


class SideTracker:
    """Follows the sides and resolves starts in doubt; a component.

    :param application: the process.
    :param engine: owns the jobs.
    """

    def __init__(self, application: Application, engine: JobEngine) -> None:
        """Register for messages and events."""
        settings = application.settings
        self.application = application
        self.clock = application.clock
        self.engine = engine
        self.interval = settings.number('heartbeat')
        self.silence = self.interval * MISSED_HEARTBEATS
        self.sweep_interval = min(
            max(self.interval * SWEEP_FRACTION, SWEEP_FLOOR), SWEEP_CEILING
        )
        self.give_up = (
            self.sweep_interval
            + settings.number('orphan_time')
            + max(
                settings.number('task_lease'),
                settings.number('send_window') * DRIFT,
            )
        )
        self.swept = self.clock.seconds()
        self.sweeper = make_loop(self.clock, self.sweep)
        application.events.connect('peer_joined', self.peer_joined)
        application.events.connect('peer_left', self.peer_left)
        application.on_message(Heartbeat, self.heartbeat_received)
        application.on_message(OutcomeBatch, self.outcomes_received)
        application.on_message(Resolution, self.resolution_received)
        application.on_message(Offer, self.offer_received)

    def start(self) -> None:
        """Begin to look for silent sides."""
        self.sweeper.start(self.sweep_interval)

    def stop(self) -> None:
        """Stop looking and acknowledge the last outcomes."""
        self.sweeper.stop()
        for record in self.engine.orders.sides.values():
            if record.peer is not None:
                self.reply(record, record.peer, 0)

    def peer_joined(self, peer: Peer) -> None:
        """Begin a session with a side and ask about starts in doubt.

        :param peer: any peer.
        """
        if peer.introduction.role != 'side':
            return
        now = self.clock.seconds()
        record = self.engine.orders.sides.get(peer.name)
        if record is None:
            record = SideRecord(peer, now)
            self.engine.orders.sides[peer.name] = record
        else:
            self.retire(record)
            record.join(peer, now)
        if record.resolving:
            peer.send(Resolve(record.sent_to, tuple(record.keys)))

    def peer_left(self, peer: Peer) -> None:
        """End a session with a side.

        :param peer: any peer.
        """
        record = self.engine.orders.sides.get(peer.name)
        if record is not None and record.peer is peer:
            self.retire(record)
            record.leave(peer)

    def retire(self, record: SideRecord) -> None:
        """Place no more work at a side.

        :param record: of the side.
        """
        if record.ready:
            record.ready = False
            self.engine.placer.side_left(record.node)
            self.application.events.emit('sides_changed')
            if not self.engine.placer.sides:
                self.application.events.emit('sides_lost')

    def admit(self, record: SideRecord, peer: Peer) -> None:
        """Begin to place work at a side.

        :param record: of the side.
        :param peer: the current link.
        """
        told = peer.introduction
        info = SideInfo(
            told.failure_domain,
            told.cores,
            told.memory,
            told.accelerators,
            told.service,
        )
        record.ready = True
        self.engine.placer.side_joined(record.node, info, self.clock.seconds())
        self.application.events.emit('side_admitted')
        self.application.events.emit('sides_changed')

    def current(self, peer: Peer) -> SideRecord | None:
        """Return the record of a side whose current link this is.

        :param peer: a side.
        """
        record = self.engine.orders.sides.get(peer.name)
        if record is None or record.peer is not peer:
            return None
        record.last_heard = self.clock.seconds()
        return record

    def heartbeat_received(self, peer: Peer, heartbeat: Heartbeat) -> None:
        """Renew the leases at a side and note its room.

        :param peer: the side.
        :param heartbeat: from it.
        """
        record = self.current(peer)
        if record is None:
            return
        record.window = max(record.window, heartbeat.window)
        self.reply(record, peer, heartbeat.window)
        if heartbeat.draining:
            self.retire(record)
        elif not record.ready and not record.resolving:
            self.admit(record, peer)
        if record.ready:
            self.engine.placer.side_reported(
                record.node,
                heartbeat.room,
                heartbeat.processed,
                self.clock.seconds(),
            )
            self.engine.place_if_due()

    def reply(self, record: SideRecord, peer: Peer, window: int) -> None:
        """Renew the leases at a side and acknowledge its outcomes.

        :param record: of the side.
        :param peer: the current link.
        :param window: of the heartbeat; 0 renews nothing.
        """
        known = self.engine.orders.configuration
        peer.send(
            HeartbeatReply(
                window,
                record.received,
                known.position,
                known.age(),
                moment_phase(self.interval, self.clock.seconds()),
            )
        )

    def outcomes_received(self, peer: Peer, batch: OutcomeBatch) -> None:
        """Take the outcomes of starts.

        :param peer: the side.
        :param batch: of outcomes.
        """
        record = self.engine.orders.sides.get(peer.name)
        if record is None or not record.is_newer(peer, batch.number):
            return
        is_current = self.current(peer) is not None and record.ready
        for refusal in batch.refusals:
            self.engine.refused(record, refusal)
        for ending in batch.endings:
            self.engine.ended(record, ending)
        if is_current:
            # The room that is reported no longer holds what has ended.
            self.engine.placer.side_reported(
                record.node, batch.room, batch.processed, self.clock.seconds()
            )
        self.engine.place_if_due()

    def resolution_received(self, peer: Peer, resolution: Resolution) -> None:
        """Settle every start that was in doubt when the session began.

        :param peer: the side.
        :param resolution: its answer.
        """
        record = self.current(peer)
        if record is None:
            return
        for key in resolution.fenced:
            refusal = Refusal(key, 'start had not arrived')
            self.engine.refused(record, refusal)
        self.engine.lose(record, record.keys - set(resolution.running))
        record.resolved()
        self.cancel_again(peer, resolution.running)
        self.engine.place_soon()

    def cancel_again(self, peer: Peer, running: Iterable[TaskKey]) -> None:
        """Stop what runs of jobs that ended while there was no link.

        :param peer: the side.
        :param running: keys of tasks that run there.
        """
        jobs = self.engine.jobs
        stopping = {
            key.ticket
            for key in running
            if key.ticket in jobs and not jobs[key.ticket].life.is_open()
        }
        if stopping:
            peer.send(CancelBatch(tuple(sorted(stopping))))

    def offer_received(self, peer: Peer, offer: Offer) -> None:
        """Use room that a side has reserved.

        :param peer: the side.
        :param offer: of room.
        """
        record = self.current(peer)
        if record is not None and record.ready:
            now = self.clock.seconds()
            self.engine.placer.offer_received(record.node, offer, now)
            self.engine.place_soon()

    def sweep(self) -> None:
        """Give up silent sides and tasks that can never run.

        After a pause of this process, what the sides sent meanwhile is read
        first.
        """
        now = self.clock.seconds()
        paused = now - self.swept > 2 * self.sweep_interval
        self.swept = now
        if paused:
            return
        for record in tuple(self.engine.orders.sides.values()):
            silence = now - record.last_heard
            if silence > self.silence:
                self.retire(record)
            if silence > self.give_up:
                self.drop(record)
        for impossible in self.engine.placer.reject_impossible(now):
            self.engine.fail(
                impossible.request.ticket, impossible.reason, is_final=True
            )
        self.engine.answers.expire(now)
        self.engine.place_soon()

    def drop(self, record: SideRecord) -> None:
        """Forget a side that has been silent for too long.

        Every window that was used there has closed, and the side has stopped
        what it runs for this entry.

        :param record: of the side.
        """
        self.engine.lose(record, record.keys)
        self.engine.orders.sides.pop(record.node, None)
        if record.peer is not None:
            record.peer.link.close('side is silent')
