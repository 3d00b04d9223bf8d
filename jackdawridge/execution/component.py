"""The component of a side that starts tasks; nothing else starts any there."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from twisted.internet.defer import Deferred, ensureDeferred

from jackdawridge.execution.entry_release import EntryRelease
from jackdawridge.execution.gate import OpenGate
from jackdawridge.execution.heartbeats import HeartbeatSender
from jackdawridge.execution.memory_pressure import MemoryPressureHandler
from jackdawridge.execution.messages import (
    CancelBatch,
    HeartbeatReply,
    Resolve,
    Room,
    StartBatch,
    StopBatch,
)
from jackdawridge.execution.outcome_sender import OutcomeSender
from jackdawridge.execution.room import RoomLedger
from jackdawridge.execution.send_windows import SendWindows
from jackdawridge.execution.sessions import Sessions
from jackdawridge.execution.state import SideState
from jackdawridge.execution.wait_queue_server import WaitQueueServer
from jackdawridge.execution.worker_monitor import WorkerMonitor
from jackdawridge.logs import get_logger, log_decision
from jackdawridge.util.clock import make_loop

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.execution.gate import StartGate
    from jackdawridge.execution.sessions import EntryRecord
    from jackdawridge.execution.worker import Worker
    from jackdawridge.wire.peers import Peer, Peers

decisions = get_logger('placement')

#: Number of checks for lapsed leases within one lease.
SWEEPS_PER_LEASE = 6
#: Shortest interval between two checks for lapsed leases, in seconds.
MIN_SWEEP_INTERVAL = 0.25
#: Time after the lapse of a lease at which it is checked, in seconds.
LAPSE_MARGIN = 0.001


class ExecutionStatus(NamedTuple):
    """Status section about the tasks of a side."""

    running: int
    free: Room
    #: Incarnations of the entries that the side has a record of.
    entries: list[str]


class SideExecution:
    """Receives starts from entries and reports their outcomes; a component.

    :param application: the process, which routes messages and events.
    :param peers: linked peers of the process.
    :param worker: worker beside this side.
    :param state: admission state of the side.
    """

    def __init__(
        self,
        application: Application,
        peers: Peers,
        worker: Worker,
        state: SideState,
    ) -> None:
        """Register for messages and events."""
        self.application = application
        self.clock = application.clock
        self.state = state
        self.sender = OutcomeSender(self.clock, peers, state)
        self.worker_monitor = WorkerMonitor(
            application, worker, state, self.sender
        )
        self.heartbeats = HeartbeatSender(application, peers, state)
        self.entry_release = EntryRelease(peers, state, self.heartbeats)
        self.sweep_interval = max(
            MIN_SWEEP_INTERVAL, state.sessions.task_lease / SWEEPS_PER_LEASE
        )
        self.sweep_loop = make_loop(self.clock, self.sweep)
        self.renewal_loop = make_loop(
            self.clock, self.worker_monitor.renew_and_forget
        )
        self.ready = False
        self.wait_queue_server = WaitQueueServer(
            self.clock, state, self.worker_monitor.starter, self.sender
        )
        self.drained: Deferred[None] | None = None
        application.events.connect('peer_joined', self.peer_joined)
        application.events.connect('peer_left', self.peer_left)
        application.events.connect('draining', self.drain)
        application.on_message(StartBatch, self.starts_received)
        application.on_message(HeartbeatReply, self.reply_received)
        application.on_message(CancelBatch, self.cancel_received)
        application.on_message(StopBatch, self.stop_received)
        application.on_message(Resolve, self.resolve_received)

    @classmethod
    def from_application(
        cls,
        application: Application,
        peers: Peers,
        worker: Worker,
        gate: StartGate | None = None,
    ) -> SideExecution:
        """Return the component, built from the settings of the process.

        :param application: the process.
        :param peers: linked peers of the process.
        :param worker: worker beside the side.
        :param gate: decides whether anything may start; by default nothing is
            refused.
        """
        settings = application.settings
        windows = SendWindows(settings.number('send_window'))
        size = Room(
            settings.number('cores') * settings.number('core_oversubscription'),
            settings.number('memory'),
            settings.integer('accelerators'),
            0,
        )
        room = RoomLedger(size)
        state = SideState(
            Sessions(windows, settings.number('task_lease')),
            room,
            gate or OpenGate(),
        )
        execution = cls(application, peers, worker, state)
        application.events.connect(
            'usage_reported',
            MemoryPressureHandler(worker, room).usage_reported,
        )
        return execution

    def start(self) -> None:
        """Adopt the tasks that the worker runs, then accept work."""
        ensureDeferred(self.adopt())

    async def adopt(self) -> None:
        """Adopt the worker's tasks, start the loops and report readiness."""
        await self.worker_monitor.adopt()
        self.ready = True
        self.heartbeats.start()
        self.sweep_loop.start(self.sweep_interval)
        self.renewal_loop.start(self.state.sessions.task_lease)
        self.application.events.emit('side_ready')

    def stop(self) -> Deferred[None]:
        """Shut down once all tasks have ended and outcomes are acknowledged.

        Draining ends at the latest after the time of the setting `drain`.

        :returns: a `Deferred` that fires when draining is over.
        """
        self.drained = Deferred()
        self.sender.after_flush.append(self.heartbeats.send_all)
        drain_time = self.application.settings.number('drain')
        self.clock.callLater(drain_time, self.finish_draining)
        self.finish_if_idle()
        return self.drained.addCallback(self.shut_down)

    def shut_down(self, _: object) -> None:
        """Stop the loops and close the worker."""
        self.heartbeats.stop()
        for loop in (self.sweep_loop, self.renewal_loop):
            if loop.running:
                loop.stop()
        self.worker_monitor.worker.close()

    def drain(self) -> None:
        """Refuse new work from now on and report that to the entries."""
        self.state.draining = True
        if self.ready:
            self.heartbeats.send_all()

    def finish_draining(self) -> None:
        """End the draining, whatever is left."""
        if self.drained is not None and not self.drained.called:
            self.drained.callback(None)

    def finish_if_idle(self) -> None:
        """End the draining if no task, queued start or outcome is left."""
        if self.drained is None or self.state.tasks:
            return
        if self.state.room.wait_queue.waiters:
            return
        records = self.state.sessions.entries.values()
        if all(record.outbox.is_empty() for record in records):
            self.finish_draining()

    def peer_joined(self, peer: Peer) -> None:
        """Open a session with an entry and resend unacknowledged outcomes.

        :param peer: peer of any role that was linked.
        """
        if peer.introduction.role != 'entry':
            return
        now = self.clock.seconds()
        incarnation = peer.introduction.incarnation
        self.state.sessions.open(incarnation, now)
        record = self.state.sessions.entry(incarnation, now)
        for pending in record.outbox.unacknowledged:
            peer.send(pending.batch)
        self.heartbeats.send_first(peer)

    def peer_left(self, peer: Peer) -> None:
        """Close the session with an entry.

        :param peer: peer of any role whose link was closed.
        """
        self.state.sessions.close(peer.introduction.incarnation)
        self.state.room.remove_entry(peer.introduction.incarnation)

    def sweep(self) -> None:
        """Stop orphans and release the events of forgotten entries."""
        now = self.clock.seconds()
        self.worker_monitor.stop_tasks(self.state.sweep(now))
        next_lapse = self.state.next_lapse()
        if next_lapse < now + self.sweep_interval:
            self.clock.callLater(next_lapse - now + LAPSE_MARGIN, self.sweep)
        self.worker_monitor.event_ledger.mark_delivered(
            self.state.sessions.pop_unclaimed_events()
        )
        self.sender.flush_soon()
        self.finish_if_idle()

    def starts_received(self, peer: Peer, batch: StartBatch) -> None:
        """Admit, queue or refuse the starts of a batch.

        :param peer: entry that sent the batch.
        :param batch: batch of starts.
        """
        incarnation = peer.introduction.incarnation
        admitted = self.state.admit(incarnation, batch, self.clock.seconds())
        self.worker_monitor.starter.add(admitted)
        self.wait_queue_server.schedule_serving()
        if len(admitted) < len(batch.starts):
            record = self.state.sessions.entry(
                incarnation, self.clock.seconds()
            )
            log_refusals(peer, record)
            self.sender.flush_soon()

    def reply_received(self, peer: Peer, reply: HeartbeatReply) -> None:
        """Renew the entry's leases and drop the outcomes that it acknowledges.

        :param peer: entry that answered.
        :param reply: reply to a heartbeat.
        """
        incarnation = peer.introduction.incarnation
        now = self.clock.seconds()
        self.state.sessions.renew(incarnation, reply.window, now)
        self.state.gate.heartbeat_answered(
            reply.window, reply.position, reply.age
        )
        self.heartbeats.align(peer, reply)
        record = self.state.sessions.entry(incarnation, now)
        self.worker_monitor.event_ledger.mark_delivered(
            record.outbox.acknowledge(reply.received)
        )
        self.finish_if_idle()

    def cancel_received(self, peer: Peer, batch: CancelBatch) -> None:
        """Stop the tasks of jobs that have ended.

        :param peer: entry that asks.
        :param batch: tickets of the jobs.
        """
        keys = self.state.cancel(
            peer.introduction.incarnation,
            batch.tickets,
            'cancelled',
            self.clock.seconds(),
        )
        self.sender.flush_soon()
        self.worker_monitor.stop_tasks(keys)

    def stop_received(self, peer: Peer, batch: StopBatch) -> None:
        """Stop single tasks.

        :param peer: entry that asks.
        :param batch: keys of the tasks; unknown ones are ignored.
        """
        known_keys = [key for key in batch.keys if key in self.state.tasks]
        now = self.clock.seconds()
        self.worker_monitor.stop_tasks(
            self.state.stop(known_keys, 'stalled', now)
        )

    def resolve_received(self, peer: Peer, resolve: Resolve) -> None:
        """Answer an entry about starts whose outcome it does not know.

        :param peer: entry that asks.
        :param resolve: keys of the starts.
        """
        resolution = self.state.resolve(
            peer.introduction.incarnation,
            resolve.keys,
            knows_all=resolve.incarnation == self.application.incarnation,
            now=self.clock.seconds(),
        )
        self.sender.flush()
        peer.send(resolution)

    def status(self) -> ExecutionStatus:
        """Return the status section of the tasks."""
        return ExecutionStatus(
            len(self.state.tasks),
            self.state.room.free,
            sorted(self.state.sessions.entries),
        )


def log_refusals(peer: Peer, record: EntryRecord) -> None:
    """Log each refusal that is about to be sent to an entry.

    :param peer: link to the entry.
    :param record: record of the entry.
    """
    for refusal in record.outbox.refusals:
        log_decision(
            decisions,
            'refuse',
            peer.name,
            refusal.reason,
            refusal.key._asdict(),
        )
