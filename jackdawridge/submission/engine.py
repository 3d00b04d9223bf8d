"""Engine that runs the jobs of an entry."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from result import Err
from twisted.internet.defer import Deferred

from jackdawridge.execution.messages import Ending
from jackdawridge.logs import get_logger
from jackdawridge.placement.learning import NO_USAGE, Usage
from jackdawridge.placement.request import Request
from jackdawridge.submission.answers import AnswerStore
from jackdawridge.submission.backlog import NoBacklog
from jackdawridge.submission.decider import LocalDecider
from jackdawridge.submission.interference_log import log_pair_changes
from jackdawridge.submission.jobs import Job
from jackdawridge.submission.orders import SideOrders
from jackdawridge.submission.payloads import PayloadMemory
from jackdawridge.util.retained import RetentionBounds

if TYPE_CHECKING:
    from collections.abc import Iterable

    from result import Result

    from jackdawridge.application import Application
    from jackdawridge.execution.messages import Refusal, TaskKey
    from jackdawridge.placement.placer import Placer
    from jackdawridge.placement.request import (
        Overload,
        Placement,
        UnplaceableTask,
    )
    from jackdawridge.submission.answers import KeptAnswer
    from jackdawridge.submission.backlog import Backlog
    from jackdawridge.submission.decider import Decider
    from jackdawridge.submission.jobs import JobAnswer, JobSpec
    from jackdawridge.submission.sides import SideRecord

logger = get_logger('submission')

#: Highest number of tasks placed in one iteration of the event loop, so that a
#: large job doesn't delay other jobs and outcomes.
MAX_TURN_PLACEMENTS = 64


class JobEngine:
    """Places the tasks of open jobs and collects their outcomes.

    :param application: the process.
    :param placer: decides which task starts at which side.
    """

    def __init__(self, application: Application, placer: Placer) -> None:
        """Start without jobs and sides."""
        settings = application.settings
        self.application = application
        self.clock = application.clock
        self.placer = placer
        self.jobs: dict[str, Job] = {}
        self.answers = AnswerStore(
            RetentionBounds(
                settings.integer('answer_limit'),
                settings.number('answer_retention'),
                settings.memory_bytes('answer_memory'),
            )
        )
        self.payloads = PayloadMemory(settings.memory_bytes('payload_memory'))
        self.waiters: dict[str, list[Deferred[KeptAnswer]]] = defaultdict(list)
        self.orders = SideOrders(self.jobs, placer)
        #: Shares placement decisions with other entries.
        self.decider: Decider = LocalDecider()
        #: Nothing is placed while input of a pause may not have been read.
        self.backlog: Backlog = NoBacklog()
        application.events.connect('backlog_read', self.place_soon)
        self.is_turn_scheduled = False
        self.cancelled_tickets: list[str] = []
        #: Fires when the last open job has finished.
        self.idle: Deferred[None] | None = None

    def submit(
        self, ticket: str, spec: JobSpec, digest: bytes
    ) -> Result[int, Overload]:
        """Queue all tasks of a new job, or refuse the job.

        :param ticket: ticket of the job, no longer in the register.
        :param spec: job as the caller has declared it.
        :param digest: digest of the request body.
        """
        requests = [
            Request(
                ticket,
                position,
                spec.team,
                task.kind,
                task.cores,
                task.memory,
                task.accelerators,
                task.run_time,
                spec.service,
                spec.reruns,
            )
            for position, task in enumerate(spec.tasks)
        ]
        refusal = self.payloads.reserve(ticket, spec)
        if refusal:
            return Err(self.placer.overload(refusal))
        queued = self.placer.enqueue(
            requests, self.clock.seconds(), spec.objective
        )
        if queued.is_err():
            self.payloads.release(ticket)
        else:
            self.jobs[ticket] = Job(ticket, spec, digest, self.job_finished)
            self.decider.job_queued(ticket)
            self.place_soon()
        return queued

    def wait(self, ticket: str) -> Deferred[KeptAnswer]:
        """Return a `Deferred` that fires with the answer of an open job.

        :param ticket: ticket of the job.
        """
        waiter: Deferred[KeptAnswer] = Deferred()
        self.waiters[ticket].append(waiter)
        return waiter

    def job_finished(self, answer: JobAnswer) -> None:
        """Store the answer of a job and pass it to everyone who waits for it.

        :param answer: answer of the job.
        """
        job = self.jobs.pop(answer.ticket)
        self.payloads.release(answer.ticket)
        self.drop_queued(answer.ticket)
        kept = self.answers.keep(answer, job.digest, self.clock.seconds())
        log = logger.info if answer.state == 'complete' else logger.notice
        log(
            f'job {answer.state}',
            ticket=answer.ticket,
            team=job.spec.team,
            reason=answer.reason,
            started=answer.started.value,
        )
        self.application.events.emit('job_finished', answer)
        self.application.events.emit('work_ended', job.spec)
        for waiter in self.waiters.pop(answer.ticket, ()):
            if not waiter.called:
                waiter.callback(kept)
        if self.idle is not None and not self.jobs:
            self.idle.callback(None)
            self.idle = None

    def fail(self, ticket: str, reason: str, *, is_final: bool = False) -> None:
        """Fail an open job and stop its running tasks.

        :param ticket: ticket of the job.
        :param reason: reason for the caller.
        :param is_final: whether the job can never succeed.
        """
        job = self.jobs.get(ticket)
        if job is None:
            return
        job.is_final = job.is_final or is_final
        if job.fail(reason):
            self.stop_remaining(ticket)

    def stop_remaining(self, ticket: str) -> None:
        """Drop the queued tasks of a failed job and stop the running ones.

        :param ticket: ticket of the job.
        """
        self.drop_queued(ticket)
        if ticket in self.jobs:
            self.cancelled_tickets.append(ticket)
            self.place_soon()

    def drop_queued(self, ticket: str) -> None:
        """Drop the queued tasks of a job.

        :param ticket: ticket of the job.
        """
        if self.placer.cancel(ticket):
            self.decider.job_dropped(ticket)

    def place_if_due(self) -> None:
        """Schedule a round of placement if the placer has anything to do."""
        if self.placer.has_work(self.clock.seconds()):
            self.place_soon()

    def place_soon(self) -> None:
        """Schedule placement and cancellation for the end of this turn.

        A turn is one iteration of the event loop.
        """
        if not self.is_turn_scheduled:
            self.is_turn_scheduled = True
            self.clock.callLater(0, self.run_turn)

    def run_turn(self) -> None:
        """Send pending cancellations, then place queued tasks."""
        self.is_turn_scheduled = False
        now = self.clock.seconds()
        if self.backlog.is_pending():
            # The callers of queued jobs may have left during the pause. This is
            # called again once that has been read.
            self.send_cancellations()
        elif self.decider.is_delegated():
            self.send_cancellations()
            self.placer.check_running_if_due(now)
        else:
            for impossible in self.placer.load_shedder.shed_expired(now):
                self.shed(impossible)
            self.send_cancellations()
            self.place(now)
        self.orders.stop_stalled(self.placer.pop_stalled())
        log_pair_changes(self.placer.separation.pop_changes())
        self.decider.flush()

    def send_cancellations(self) -> None:
        """Send pending cancellations to the sides."""
        self.orders.cancel(self.cancelled_tickets)
        self.cancelled_tickets.clear()

    def place(self, now: float) -> None:
        """Start the tasks that fit, and shed jobs if there are too many.

        :param now: current time in seconds.
        """
        placed = self.placer.place(now, MAX_TURN_PLACEMENTS)
        own: list[Placement] = []
        for placement in placed:
            if placement.request.ticket in self.jobs:
                own.append(placement)
            else:
                self.decider.grant(placement)
        self.orders.start(own)
        if len(placed) >= MAX_TURN_PLACEMENTS:
            self.place_if_due()
            return
        for impossible in self.placer.load_shedder.shed_excess(now):
            self.shed(impossible)

    def shed(self, impossible: UnplaceableTask) -> None:
        """Shed a job.

        :param impossible: one of its tasks, with the reason.
        """
        ticket = impossible.request.ticket
        if ticket in self.jobs:
            self.fail(ticket, impossible.reason)
        else:
            self.decider.shed(impossible)

    def start_refused(self, record: SideRecord, refusal: Refusal) -> None:
        """Queue a task again whose start was refused.

        :param record: record of the side.
        :param refusal: refusal from the side.
        """
        job = self.resolve_start(record, refusal.key)
        if job is None:
            return
        key = refusal.key[:2]
        self.decider.task_ended(key, 'refused', NO_USAGE, refusal.reason)
        if job.start_refused(refusal.key):
            self.placer.refused(
                key, record.node, refusal.reason, self.clock.seconds()
            )
            self.decider.task_requeued(key, '')
        else:
            self.placer.discard_assignment(key)

    def task_ended(self, record: SideRecord, ending: Ending) -> None:
        """Handle the outcome of a task.

        :param record: record of the side.
        :param ending: outcome from the side, or one made here for a lost task.
        """
        job = self.resolve_start(record, ending.key)
        if job is None:
            return
        key = ending.key[:2]
        usage = Usage(ending.cores, ending.memory, ending.run_time)
        self.decider.task_ended(key, ending.outcome, usage)
        if ending.outcome == 'lost':
            assignment = self.placer.discard_assignment(key)
        else:
            assignment = self.placer.ended(
                key, record.node, ending.outcome, usage, self.clock.seconds()
            )
        if assignment is not None and job.try_rerun(ending):
            logger.info(
                'task runs again',
                step=ending.outcome,
                peer=record.node,
                reason=ending.reason,
                **ending.key._asdict(),
            )
            self.placer.requeue(assignment)
            self.decider.task_requeued(key, record.node)
        elif job.task_ended(ending):
            self.stop_remaining(ending.key.ticket)

    def resolve_start(self, record: SideRecord, key: TaskKey) -> Job | None:
        """Resolve a start; return its job, None if the outcome is stale.

        :param record: record of the side.
        :param key: key of the start.
        """
        record.unresolved.discard(key)
        job = self.jobs.get(key.ticket)
        if job is None or not job.is_unresolved(key):
            return None
        return job

    def starts_lost(self, record: SideRecord, keys: Iterable[TaskKey]) -> None:
        """Handle starts whose outcome will never be known.

        :param record: record of the side.
        :param keys: keys of the starts.
        """
        reason = f'outcome at side {record.node!r} is unknown'
        for key in tuple(keys):
            self.task_ended(record, Ending(key, 'lost', reason, b'', 0, 0, 0))
