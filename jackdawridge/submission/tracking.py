"""Sessions of an entry with its sides."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.execution.heartbeat_schedule import coalescing_phase
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
from jackdawridge.logs import get_logger
from jackdawridge.placement.side_view import SideInfo
from jackdawridge.submission.sides import SideRecord
from jackdawridge.util.clock import make_loop

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.application import Application
    from jackdawridge.execution.messages import TaskKey
    from jackdawridge.submission.engine import JobEngine
    from jackdawridge.wire.peers import Peer

logger = get_logger('submission')

#: Interval of the sweep for silent sides as a fraction of the heartbeat
#: interval.
SWEEP_FRACTION = 0.25
#: Shortest and longest interval of the sweep, in seconds.
MIN_SWEEP_INTERVAL = 0.25
MAX_SWEEP_INTERVAL = 0.75
#: Number of heartbeat intervals without a message after which a side gets no
#: more tasks.
MAX_MISSED_HEARTBEATS = 2.5
#: Factor that allows for clock drift over a send window.
CLOCK_DRIFT_FACTOR = 1.1


class SideTracker:
    """Follows the sides and resolves starts after a reconnect; a component.

    :param application: the process.
    :param engine: owns the jobs.
    """

    def __init__(self, application: Application, engine: JobEngine) -> None:
        """Derive the timeouts from the settings and register the handlers."""
        settings = application.settings
        self.application = application
        self.clock = application.clock
        self.engine = engine
        self.interval = settings.number('heartbeat')
        self.silence_timeout = self.interval * MAX_MISSED_HEARTBEATS
        self.sweep_interval = min(
            max(self.interval * SWEEP_FRACTION, MIN_SWEEP_INTERVAL),
            MAX_SWEEP_INTERVAL,
        )
        self.loss_timeout = (
            self.sweep_interval
            + settings.number('orphan_time')
            + max(
                settings.number('task_lease'),
                settings.number('send_window') * CLOCK_DRIFT_FACTOR,
            )
        )
        self.swept_at = self.clock.seconds()
        self.sweeper = make_loop(self.clock, self.sweep)
        application.events.connect('peer_joined', self.peer_joined)
        application.events.connect('peer_left', self.peer_left)
        application.on_message(Heartbeat, self.heartbeat_received)
        application.on_message(OutcomeBatch, self.outcomes_received)
        application.on_message(Resolution, self.resolution_received)
        application.on_message(Offer, self.offer_received)

    def start(self) -> None:
        """Start the sweep for silent sides."""
        self.sweeper.start(self.sweep_interval)

    def stop(self) -> None:
        """Stop the sweep and acknowledge the last outcomes."""
        self.sweeper.stop()
        for record in self.engine.orders.sides.values():
            if record.peer is not None:
                self.send_reply(record, record.peer, 0)

    def peer_joined(self, peer: Peer) -> None:
        """Start a session with a side and ask it about unresolved starts.

        :param peer: peer in any role.
        """
        if peer.introduction.role != 'side':
            return
        now = self.clock.seconds()
        record = self.engine.orders.sides.get(peer.name)
        if record is None:
            record = SideRecord(peer, now)
            self.engine.orders.sides[peer.name] = record
        else:
            self.suspend(record)
            record.open_session(peer, now)
        if record.resolving:
            peer.send(
                Resolve(record.sent_to_incarnation, tuple(record.unresolved))
            )

    def peer_left(self, peer: Peer) -> None:
        """End the session with a side.

        :param peer: peer in any role.
        """
        record = self.engine.orders.sides.get(peer.name)
        if record is not None and record.peer is peer:
            self.suspend(record)
            record.close_session(peer)

    def suspend(self, record: SideRecord) -> None:
        """Stop placing tasks at a side.

        :param record: record of the side.
        """
        if record.ready:
            record.ready = False
            self.engine.placer.side_left(record.node)
            self.application.events.emit('sides_changed')
            if not self.engine.placer.sides:
                self.application.events.emit('sides_lost')

    def admit(self, record: SideRecord, peer: Peer) -> None:
        """Start placing tasks at a side.

        :param record: record of the side.
        :param peer: current link to the side.
        """
        introduction = peer.introduction
        info = SideInfo(
            introduction.failure_domain,
            introduction.cores,
            introduction.memory,
            introduction.accelerators,
            introduction.service,
            introduction.worker_kind,
        )
        record.ready = True
        self.engine.placer.side_joined(record.node, info, self.clock.seconds())
        self.application.events.emit('side_admitted')
        self.application.events.emit('sides_changed')

    def current_record(self, peer: Peer) -> SideRecord | None:
        """Return the record of a side if this is its current link.

        Records that the side was heard from.

        :param peer: link to a side.
        """
        record = self.engine.orders.sides.get(peer.name)
        if record is None or record.peer is not peer:
            return None
        record.last_heard = self.clock.seconds()
        return record

    def heartbeat_received(self, peer: Peer, heartbeat: Heartbeat) -> None:
        """Renew the leases at a side and apply its capacity report.

        :param peer: link to the side.
        :param heartbeat: heartbeat of the side.
        """
        record = self.current_record(peer)
        if record is None:
            return
        record.window = max(record.window, heartbeat.window)
        self.send_reply(record, peer, heartbeat.window)
        if heartbeat.draining:
            self.suspend(record)
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

    def send_reply(self, record: SideRecord, peer: Peer, window: int) -> None:
        """Renew the leases at a side and acknowledge its outcomes.

        :param record: record of the side.
        :param peer: current link to the side.
        :param window: number of the heartbeat's send window; 0 renews nothing.
        """
        configuration = self.engine.orders.configuration
        peer.send(
            HeartbeatReply(
                window,
                record.last_outcome_batch,
                configuration.position,
                configuration.age(),
                coalescing_phase(self.interval, self.clock.seconds()),
            )
        )

    def outcomes_received(self, peer: Peer, batch: OutcomeBatch) -> None:
        """Handle a batch of refusals and outcomes.

        :param peer: link to the side.
        :param batch: refusals and outcomes of starts.
        """
        record = self.engine.orders.sides.get(peer.name)
        if record is None or not record.accept_batch(peer, batch.number):
            return
        is_current = self.current_record(peer) is not None and record.ready
        for refusal in batch.refusals:
            self.engine.start_refused(record, refusal)
        for ending in batch.endings:
            self.engine.task_ended(record, ending)
        if is_current:
            # The reported free capacity includes that of the ended tasks.
            self.engine.placer.side_reported(
                record.node, batch.room, batch.processed, self.clock.seconds()
            )
        self.engine.place_if_due()

    def resolution_received(self, peer: Peer, resolution: Resolution) -> None:
        """Resolve the starts that were unresolved when the session began.

        :param peer: link to the side.
        :param resolution: answer of the side.
        """
        record = self.current_record(peer)
        if record is None:
            return
        for key in resolution.fenced:
            refusal = Refusal(key, 'start had not arrived')
            self.engine.start_refused(record, refusal)
        self.engine.starts_lost(
            record, record.unresolved - set(resolution.running)
        )
        record.mark_resolved()
        self.cancel_again(peer, resolution.running)
        self.engine.place_soon()

    def cancel_again(self, peer: Peer, running: Iterable[TaskKey]) -> None:
        """Stop tasks of jobs that failed while the side wasn't linked.

        :param peer: link to the side.
        :param running: keys of the tasks that run at the side.
        """
        jobs = self.engine.jobs
        stopping = {
            key.ticket
            for key in running
            if key.ticket in jobs and not jobs[key.ticket].machine.is_open()
        }
        if stopping:
            peer.send(CancelBatch(tuple(sorted(stopping))))

    def offer_received(self, peer: Peer, offer: Offer) -> None:
        """Use the capacity that a side has reserved for this entry.

        :param peer: link to the side.
        :param offer: reserved capacity.
        """
        record = self.current_record(peer)
        if record is not None and record.ready:
            now = self.clock.seconds()
            self.engine.placer.offer_received(record.node, offer, now)
            self.engine.place_soon()

    def sweep(self) -> None:
        """Drop silent sides, and fail jobs whose tasks can never run.

        Logs it if kinds of workers came to be told apart, or ceased to be.

        After a pause of this process it does nothing, so that messages that
        arrived during the pause are processed first.
        """
        now = self.clock.seconds()
        paused = now - self.swept_at > 2 * self.sweep_interval
        self.swept_at = now
        if paused:
            return
        for record in tuple(self.engine.orders.sides.values()):
            silence = now - record.last_heard
            if silence > self.silence_timeout:
                self.suspend(record)
            if silence > self.loss_timeout:
                self.forget_side(record)
        change = self.engine.placer.worker_kinds.pop_change()
        if change is not None:
            logger.notice('factors of worker kinds', step='place', **change)
        for impossible in self.engine.placer.reject_impossible(now):
            self.engine.fail(
                impossible.request.ticket, impossible.reason, is_final=True
            )
        self.engine.answers.expire(now)
        self.engine.place_soon()

    def forget_side(self, record: SideRecord) -> None:
        """Forget a side that has been silent for too long.

        By then, all send windows that were used there have closed, and the side
        has stopped the tasks that it ran for this entry.

        :param record: record of the side.
        """
        self.engine.starts_lost(record, record.unresolved)
        self.engine.orders.sides.pop(record.node, None)
        if record.peer is not None:
            record.peer.link.close('side is silent')
