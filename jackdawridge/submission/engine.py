"""Runs the jobs that this entry owns."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from result import Err
from twisted.internet.defer import Deferred

from jackdawridge.execution.messages import Ending
from jackdawridge.logs import get_logger
from jackdawridge.placement.learning import NOTHING_USED, Usage
from jackdawridge.placement.request import Request
from jackdawridge.submission.answers import AnswerStore
from jackdawridge.submission.decider import LocalDecider
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
        Impossible,
        Overload,
        Placement,
    )
    from jackdawridge.submission.answers import KeptAnswer
    from jackdawridge.submission.decider import Decider
    from jackdawridge.submission.jobs import JobAnswer, JobSpec
    from jackdawridge.submission.sides import SideRecord

logger = get_logger('submission')

#: Tasks that are placed in a turn of the loop, so that other jobs and outcomes
#: do not wait for a large job.
TURN_PLACEMENTS = 64


class JobEngine:
    """Places the tasks of open jobs and gathers their outcomes.

    :param application: the process.
    :param placer: decides what starts where.
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
        #: Decides what starts where, for this entry or together with others.
        self.decider: Decider = LocalDecider()
        self.placing = False
        self.cancelled: list[str] = []
        #: Called when the last open job has ended.
        self.idle: Deferred[None] | None = None

    def submit(
        self, ticket: str, spec: JobSpec, digest: bytes
    ) -> Result[int, Overload]:
        """Queue all tasks of a new job, or none of them.

        :param ticket: taken out of the register for this job.
        :param spec: what the caller has declared.
        :param digest: of the caller's body.
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
        lack = self.payloads.take(ticket, spec)
        if lack:
            return Err(self.placer.overload(lack))
        queued = self.placer.enqueue(
            requests, self.clock.seconds(), spec.objective
        )
        if queued.is_err():
            self.payloads.release(ticket)
        else:
            self.jobs[ticket] = Job(ticket, spec, digest, self.finished)
            self.decider.job_queued(ticket)
            self.place_soon()
        return queued

    def wait(self, ticket: str) -> Deferred[KeptAnswer]:
        """Return a `Deferred` that fires with the answer of an open job.

        :param ticket: of the job.
        """
        waiter: Deferred[KeptAnswer] = Deferred()
        self.waiters[ticket].append(waiter)
        return waiter

    def finished(self, answer: JobAnswer) -> None:
        """Keep the answer of a job and give it to all who wait.

        :param answer: of the job.
        """
        job = self.jobs.pop(answer.ticket)
        self.payloads.release(answer.ticket)
        self.drop(answer.ticket)
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
        """Fail an open job and stop what runs of it.

        :param ticket: of the job.
        :param reason: for the caller.
        :param is_final: whether the job can never succeed.
        """
        job = self.jobs.get(ticket)
        if job is None:
            return
        job.is_final = job.is_final or is_final
        if job.fail(reason):
            self.stop_rest(ticket)

    def stop_rest(self, ticket: str) -> None:
        """Drop what is queued of a failed job and stop what runs.

        :param ticket: of the job.
        """
        self.drop(ticket)
        if ticket in self.jobs:
            self.cancelled.append(ticket)
            self.place_soon()

    def drop(self, ticket: str) -> None:
        """Drop what is queued of a job.

        :param ticket: of the job.
        """
        if self.placer.cancel(ticket):
            self.decider.job_dropped(ticket)

    def place_if_due(self) -> None:
        """Place at the end of this turn if the placer has something to do."""
        if self.placer.has_work(self.clock.seconds()):
            self.place_soon()

    def place_soon(self) -> None:
        """Place and cancel at the end of this turn of the loop."""
        if not self.placing:
            self.placing = True
            self.clock.callLater(0, self.act)

    def act(self) -> None:
        """Send the cancellations that have gathered, then place."""
        self.placing = False
        now = self.clock.seconds()
        if self.decider.is_delegated():
            self.cancel_at_sides()
            self.placer.look_if_due(now)
        else:
            for useless in self.placer.triage.give_up(now):
                self.give_up(useless)
            self.cancel_at_sides()
            self.place(now)
        self.orders.stop_stalled(self.placer.take_stalled())
        self.decider.flush()

    def cancel_at_sides(self) -> None:
        """Send the cancellations that have gathered."""
        self.orders.cancel(self.cancelled)
        self.cancelled.clear()

    def place(self, now: float) -> None:
        """Place what there is room for, and give up what is too much.

        :param now: the time in seconds.
        """
        placed = self.placer.place(now, TURN_PLACEMENTS)
        own: list[Placement] = []
        for placement in placed:
            if placement.request.ticket in self.jobs:
                own.append(placement)
            else:
                self.decider.grant(placement)
        self.orders.start(own)
        if len(placed) >= TURN_PLACEMENTS:
            self.place_if_due()
            return
        for useless in self.placer.triage.make_way(now):
            self.give_up(useless)

    def give_up(self, useless: Impossible) -> None:
        """Answer a job without its result.

        :param useless: one of its tasks, with the reason.
        """
        ticket = useless.request.ticket
        if ticket in self.jobs:
            self.fail(ticket, useless.reason)
        else:
            self.decider.shed(useless)

    def refused(self, record: SideRecord, refusal: Refusal) -> None:
        """Queue a task again that was certainly not started.

        :param record: of the side.
        :param refusal: from the side.
        """
        job = self.take(record, refusal.key)
        if job is None:
            return
        key = refusal.key[:2]
        self.decider.task_ended(key, 'refused', NOTHING_USED, refusal.reason)
        if job.refuse(refusal.key):
            self.placer.refused(
                key, record.node, refusal.reason, self.clock.seconds()
            )
            self.decider.task_requeued(key, '')
        else:
            self.placer.lost(key)

    def ended(self, record: SideRecord, ending: Ending) -> None:
        """Take the outcome of a task.

        :param record: of the side.
        :param ending: from the side, or made here for a lost task.
        """
        job = self.take(record, ending.key)
        if job is None:
            return
        key = ending.key[:2]
        usage = Usage(ending.cores, ending.memory, ending.run_time)
        self.decider.task_ended(key, ending.outcome, usage)
        if ending.outcome == 'lost':
            assignment = self.placer.lost(key)
        else:
            assignment = self.placer.ended(
                key, record.node, ending.outcome, usage, self.clock.seconds()
            )
        if assignment is not None and job.repeat(ending):
            logger.info(
                'task runs again',
                step=ending.outcome,
                peer=record.node,
                reason=ending.reason,
                **ending.key._asdict(),
            )
            self.placer.queue_again(assignment)
            self.decider.task_requeued(key, record.node)
        elif job.end(ending):
            self.stop_rest(ending.key.ticket)

    def take(self, record: SideRecord, key: TaskKey) -> Job | None:
        """Return the job of an outcome, None if the outcome is late.

        :param record: of the side.
        :param key: of the outcome.
        """
        record.keys.discard(key)
        job = self.jobs.get(key.ticket)
        if job is None or not job.owns(key):
            return None
        return job

    def lose(self, record: SideRecord, keys: Iterable[TaskKey]) -> None:
        """Fail the jobs of starts of which nothing will be known.

        :param record: of the side.
        :param keys: of the starts.
        """
        reason = f'outcome at side {record.node!r} is unknown'
        for key in tuple(keys):
            self.ended(record, Ending(key, 'lost', reason, b'', 0, 0, 0))
