"""Messages from an entry to its sides about the tasks of its jobs."""

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
from jackdawridge.submission.configured_jobs import NoConfiguration

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from jackdawridge.placement.assignment import Assignment
    from jackdawridge.placement.placer import Placer
    from jackdawridge.placement.request import Placement
    from jackdawridge.submission.configured_jobs import KnownConfiguration
    from jackdawridge.submission.jobs import Job
    from jackdawridge.submission.sides import SideRecord

logger = get_logger('submission')
decisions = get_logger('placement')


class SideOrders:
    """Starts and stops tasks at the sides.

    :param jobs: open jobs of the engine, by ticket.
    :param placer: records which starts were sent in which batch.
    """

    def __init__(self, jobs: dict[str, Job], placer: Placer) -> None:
        """Start without sides."""
        self.jobs = jobs
        self.placer = placer
        self.sides: dict[str, SideRecord] = {}
        self.leases = count(1)
        #: Configuration whose position is sent with each batch of starts.
        self.configuration: KnownConfiguration = NoConfiguration()

    def start(self, placements: Iterable[Placement]) -> None:
        """Send the starts of placed tasks.

        :param placements: placements of tasks of open jobs.
        """
        by_side: dict[str, list[Placement]] = defaultdict(list)
        for placement in placements:
            by_side[placement.side_id].append(placement)
        for side, of_side in by_side.items():
            self.send_starts(self.sides[side], of_side)

    def send_starts(
        self, record: SideRecord, placements: Sequence[Placement]
    ) -> None:
        """Send the starts for one side in as few batches as possible.

        :param record: record of the side.
        :param placements: placements at this side.
        """
        for batch_placements in split_batches(placements, self.payload_size):
            number = record.next_batch()
            starts = tuple(
                self.make_start(record, placement)
                for placement in batch_placements
            )
            self.placer.sent(record.node, number, batch_placements)
            batch = StartBatch(
                number, record.window, self.configuration.position, starts
            )
            if record.peer is None or not record.peer.send(batch):
                logger.warning('link is gone', step='start', peer=record.node)

    def payload_size(self, placement: Placement) -> int:
        """Return the length of the payload of a placed task in bytes.

        :param placement: placement of the task.
        """
        request = placement.request
        return len(self.jobs[request.ticket].spec.tasks[request.task].payload)

    def make_start(self, record: SideRecord, placement: Placement) -> Start:
        """Return the start of a placed task and record it as unresolved.

        :param record: record of the side.
        :param placement: placement of the task.
        """
        request = placement.request
        job = self.jobs[request.ticket]
        key = TaskKey(request.ticket, request.task, next(self.leases))
        job.start_sent(key, record.node)
        record.unresolved.add(key)
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
        """Stop stalled tasks, so that they run again at another side.

        :param stalled: assignments of the tasks. Tasks of other entries' jobs
            are ignored.
        """
        by_side: dict[str, list[TaskKey]] = defaultdict(list)
        for assignment in stalled:
            ticket, task = assignment.request.key
            job = self.jobs.get(ticket)
            start = job.unresolved.get(task) if job else None
            if start is not None and start.side == assignment.side_id:
                by_side[start.side].append(start.key)
        for side, keys in by_side.items():
            record = self.sides.get(side)
            logger.warning('tasks stand still', peer=side, tasks=len(keys))
            if record is not None and record.peer is not None:
                record.peer.send(StopBatch(tuple(keys)))

    def cancel(self, tickets: Iterable[str]) -> None:
        """Send one message to each side that runs tasks of cancelled jobs.

        :param tickets: tickets of the jobs.
        """
        by_side: dict[str, set[str]] = defaultdict(set)
        for ticket in tickets:
            job = self.jobs.get(ticket)
            for start in job.unresolved.values() if job else ():
                by_side[start.side].add(ticket)
        for side, of_side in by_side.items():
            peer = self.sides[side].peer
            if peer is not None:
                peer.send(CancelBatch(tuple(sorted(of_side))))
