"""What an entry sends to its sides about the tasks of its jobs."""

from __future__ import annotations

from collections import defaultdict
from itertools import count
from typing import TYPE_CHECKING

from jackdawridge.execution.messages import (
    CancelBatch,
    Start,
    StartBatch,
    StopBatch,
    TaskKey,
)
from jackdawridge.logs import get_logger, log_decision
from jackdawridge.submission.batches import split_batches
from jackdawridge.submission.configured import NoConfiguration

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from jackdawridge.placement.placer import Placer
    from jackdawridge.placement.request import Placement
    from jackdawridge.placement.tracking import Assignment
    from jackdawridge.submission.configured import KnownConfiguration
    from jackdawridge.submission.jobs import Job
    from jackdawridge.submission.sides import SideRecord

logger = get_logger('submission')
decisions = get_logger('placement')


class SideOrders:
    """Starts and stops tasks at the sides.

    :param jobs: the open jobs by ticket, as the engine keeps them.
    :param placer: is told which starts went in which batch.
    """

    def __init__(self, jobs: dict[str, Job], placer: Placer) -> None:
        """Begin without sides."""
        self.jobs = jobs
        self.placer = placer
        self.sides: dict[str, SideRecord] = {}
        self.leases = count(1)
        #: What tasks are placed under.
        self.configuration: KnownConfiguration = NoConfiguration()

    def start(self, placements: Iterable[Placement]) -> None:
        """Send the starts of tasks that were placed.

        :param placements: of tasks of open jobs.
        """
        by_side: dict[str, list[Placement]] = defaultdict(list)
        for placement in placements:
            by_side[placement.side_id].append(placement)
        for side, of_side in by_side.items():
            self.start_at(self.sides[side], of_side)

    def start_at(
        self, record: SideRecord, placements: Sequence[Placement]
    ) -> None:
        """Send the starts for one side in as few batches as the bounds allow.

        :param record: of the side.
        :param placements: decided for it.
        """
        for part in split_batches(placements, self.payload_size):
            number = record.next_batch()
            starts = tuple(self.begin(record, placement) for placement in part)
            self.placer.sent(record.node, number, part)
            batch = StartBatch(
                number, record.window, self.configuration.position, starts
            )
            if record.peer is None or not record.peer.send(batch):
                logger.warning('link is gone', step='start', peer=record.node)

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

    def stop_stalled(self, stalled: Iterable[Assignment]) -> None:
        """Stop tasks that stand still, so that they run again elsewhere.

        :param stalled: the tasks; others than those of open jobs are not
            stopped by this entry.
        """
        by_side: dict[str, list[TaskKey]] = defaultdict(list)
        for assignment in stalled:
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

    def cancel(self, tickets: Iterable[str]) -> None:
        """Tell each side once about all jobs that have to stop there.

        :param tickets: of the jobs.
        """
        by_side: dict[str, set[str]] = defaultdict(set)
        for ticket in tickets:
            job = self.jobs.get(ticket)
            for sent in job.sent.values() if job else ():
                by_side[sent.side].add(ticket)
        for side, of_side in by_side.items():
            peer = self.sides[side].peer
            if peer is not None:
                peer.send(CancelBatch(tuple(sorted(of_side))))
