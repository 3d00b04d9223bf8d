"""Runs the jobs that this entry owns."""

from __future__ import annotations

from collections import defaultdict
from itertools import count
from typing import TYPE_CHECKING

from result import Err
from twisted.internet.defer import Deferred

from jackdawridge.execution.messages import (
    CancelBatch,
    Ending,
    Refusal,
    Start,
    StartBatch,
    StopBatch,
    TaskKey,
)
from jackdawridge.logs import get_logger, log_decision
from jackdawridge.placement.learning import Usage
from jackdawridge.placement.request import Request
from jackdawridge.submission.answers import AnswerStore
from jackdawridge.submission.batches import split_batches
from jackdawridge.submission.configured import NoConfiguration
from jackdawridge.submission.jobs import Job
from jackdawridge.submission.payloads import PayloadMemory
from jackdawridge.util.retained import RetentionBounds

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from result import Result

    from jackdawridge.application import Application
    from jackdawridge.placement.placer import Placer
    from jackdawridge.placement.request import Overload, Placement
    from jackdawridge.submission.answers import KeptAnswer
    from jackdawridge.submission.configured import KnownConfiguration
    from jackdawridge.submission.jobs import JobAnswer, JobSpec
    from jackdawridge.submission.sides import SideRecord

logger = get_logger('submission')
decisions = get_logger('placement')

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
        self.sides: dict[str, SideRecord] = {}
        self.leases = count(1)
        #: What tasks are placed under.
        self.configuration: KnownConfiguration = NoConfiguration()
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
        self.placer.cancel(answer.ticket)
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
        self.placer.cancel(ticket)
        if ticket in self.jobs:
            self.cancelled.append(ticket)
            self.place_soon()

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
        for useless in self.placer.triage.give_up(self.clock.seconds()):
            self.fail(useless.request.ticket, useless.reason)
        self.send_cancellations()
        by_side: dict[str, list[Placement]] = defaultdict(list)
        placed = self.placer.place(self.clock.seconds(), TURN_PLACEMENTS)
        for placement in placed:
            by_side[placement.side_id].append(placement)
        for side, placements in by_side.items():
            self.send(side, placements)
        self.stop_stalled()
        if len(placed) >= TURN_PLACEMENTS:
            self.place_if_due()
            return
        for useless in self.placer.triage.make_way(self.clock.seconds()):
            self.fail(useless.request.ticket, useless.reason)

    def stop_stalled(self) -> None:
        """Stop tasks that stand still, so that they run again elsewhere."""
        by_side: dict[str, list[TaskKey]] = defaultdict(list)
        for assignment in self.placer.take_stalled():
            ticket, task = assignment.request.key
            job = self.jobs.get(ticket)
            sent = job.sent.get(task) if job else None
            if sent is not None and sent.side == assignment.side_id:
                by_side[sent.side].append(sent.key)
        for side, keys in by_side.items():
            record = self.sides.get(side)
            logger.warning('tasks stand still', peer=side, tasks=len(keys))
            if record is not None and record.peer is not None:
                record.peer.send(StopBatch(tuple(keys)))

    def send_cancellations(self) -> None:
        """Tell each side once about all jobs that have to stop there."""
        by_side: dict[str, set[str]] = defaultdict(set)
        for ticket in self.cancelled:
            job = self.jobs.get(ticket)
            for sent in job.sent.values() if job else ():
                by_side[sent.side].add(ticket)
        self.cancelled.clear()
        for side, tickets in by_side.items():
            peer = self.sides[side].peer
            if peer is not None:
                peer.send(CancelBatch(tuple(sorted(tickets))))

    def send(self, side: str, placements: Sequence[Placement]) -> None:
        """Send the starts for one side in as few batches as the bounds allow.

        :param side: node of the side.
        :param placements: decided for it.
        """
        record = self.sides[side]
        for part in split_batches(placements, self.payload_size):
            number = record.next_batch()
            starts = tuple(self.begin(record, placement) for placement in part)
            self.placer.sent(side, number, part)
            batch = StartBatch(
                number, record.window, self.configuration.position, starts
            )
            if record.peer is None or not record.peer.send(batch):
                logger.warning('link is gone', step='start', peer=side)

    def payload_size(self, placement: Placement) -> int:
        """Return the length of a placed task's payload in bytes.

        :param placement: of the task.
        """
        request = placement.request
        return len(self.jobs[request.ticket].spec.tasks[request.task].payload)

    def begin(self, record: SideRecord, placement: Placement) -> Start:
        """Return the start of a placed task and note that it is in doubt.

        :param record: of the side.
        :param placement: of the task.
        """
        request = placement.request
        job = self.jobs[request.ticket]
        key = TaskKey(request.ticket, request.task, next(self.leases))
        job.send(key, record.node)
        record.keys.add(key)
        log_decision(
            decisions, 'start', record.node, placement.reason, key._asdict()
        )
        return Start(
            *key,
            kind=request.kind,
            team=request.team,
            cores=placement.cores,
            memory=placement.memory,
            accelerators=request.accelerators,
            run_time=placement.run_time,
            agreement=job.spec.agreement,
            agreement_version=job.spec.agreement_version,
            payload=job.spec.tasks[request.task].payload,
        )

    def refused(self, record: SideRecord, refusal: Refusal) -> None:
        """Queue a task again that was certainly not started.

        :param record: of the side.
        :param refusal: from the side.
        """
        job = self.take(record, refusal.key)
        if job is None:
            return
        key = refusal.key
        if job.refuse(key):
            self.placer.refused(
                key[:2], record.node, refusal.reason, self.clock.seconds()
            )
        else:
            self.placer.lost(key[:2])

    def ended(self, record: SideRecord, ending: Ending) -> None:
        """Take the outcome of a task.

        :param record: of the side.
        :param ending: from the side, or made here for a lost task.
        """
        job = self.take(record, ending.key)
        if job is None:
            return
        key = ending.key[:2]
        if ending.outcome == 'lost':
            assignment = self.placer.lost(key)
        else:
            usage = Usage(ending.cores, ending.memory, ending.run_time)
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
