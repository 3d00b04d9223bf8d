"""Decides which jobs that wait are given up, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.placement.lateness import (
    demote,
    demote_late_jobs,
    find_late,
)
from jackdawridge.placement.request import NO_OBJECTIVE, Impossible
from jackdawridge.placement.shedding import (
    SETTLING_TIME,
    Release,
    find_excess,
    spread_releases,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jackdawridge.placement.lateness import RejectedJob
    from jackdawridge.placement.queued_jobs import Job
    from jackdawridge.placement.tracking import AssignmentTracker


class Triage:
    """Gives up jobs that cannot be in time, so that others are.

    Concerns only jobs that have named an objective.

    :param placer: whose queues are looked at.
    """

    def __init__(self, placer: AssignmentTracker) -> None:
        """Begin without jobs."""
        self.placer = placer
        #: Whether any job has named an objective.
        self.has_objectives = False
        #: Room by which the places of jobs were reckoned.
        self.measured_capacity = placer.capacity

    def give_up(self, now: float) -> tuple[Impossible, ...]:
        """Return tasks whose jobs are of no use any more; the caller cancels.

        Jobs that cannot be answered in time any more make way for those that
        can, as long as they have not begun.

        :param now: the time.
        """
        if not self.has_objectives:
            return ()
        if self.placer.capacity != self.measured_capacity:
            self.update_standings()
        found = demote_late_jobs(self.placer.queues, now)
        return tuple(
            Impossible(rejected.job.first(), self.rejection_reason(rejected))
            for rejected in found
        )

    def update_standings(self) -> None:
        """Bring the places of jobs up to the room that there is now.

        What waits while no side is known would keep a place far behind.
        """
        self.measured_capacity = self.placer.capacity
        for job in tuple(self.placer.queues.jobs.values()):
            before = job.standing
            if job.has_begun or before.objective == NO_OBJECTIVE:
                continue
            standing = self.placer.standing(
                job, before.queued_at, before.objective
            )
            self.placer.queues.reorder(job, standing)
            if before.is_late:
                demote(self.placer.queues, job)

    def make_way(self, now: float) -> tuple[Impossible, ...]:
        """Return tasks whose jobs make way for others; the caller cancels.

        To be called when all that there is room for was placed.

        :param now: the time.
        """
        is_settled = (
            now - self.placer.last_joined_at >= SETTLING_TIME
            and self.placer.open_sides
        )
        if not (
            self.has_objectives and self.placer.queues.queued and is_settled
        ):
            return ()
        found = [
            rejected
            for service, jobs in self.placer.queues.jobs_by_service().items()
            for rejected in find_excess(
                jobs, now, self.expected_releases(service, jobs, now)
            )
        ]
        found.extend(find_late(self.placer.queues))
        return tuple(
            Impossible(rejected.job.first(), self.rejection_reason(rejected))
            for rejected in found
        )

    def rejection_reason(self, rejected: RejectedJob) -> str:
        """Return why a job is given up, with what that rests on.

        :param rejected: the job.
        """
        capacity = self.placer.service_capacity(rejected.job.service)
        return (
            f'{rejected.reason}: {capacity.used:.1f} of {capacity.cores:g} cores are'
            f' used, {self.placer.queues.queued} tasks wait'
        )

    def expected_releases(
        self, service: str, jobs: Sequence[Job], now: float
    ) -> list[Release]:
        """Return the room that comes free for what waits here.

        Room that a task of this entry leaves goes to this entry again, since
        it comes free for all entries as they use it. An entry that uses less
        than its even part gets some of what the others leave.

        :param service: whose workers run the tasks; any worker if it is empty.
        :param jobs: that wait for them.
        :param now: the time.
        """
        sides = {side.side_id for side in self.placer.open_sides}
        found = [
            Release(
                max(one.expected_end(), now),
                self.placer.dominant_share(one.need),
            )
            for one in self.placer.assignments.values()
            if one.request.service == service and one.side_id in sides
        ]
        capacity = self.placer.service_capacity(service)
        missing_cores = (
            self.placer.queues.quota_fraction * capacity.used - capacity.own
        )
        if missing_cores > 0:
            share = missing_cores / max(self.placer.capacity.cores, 1)
            found.extend(spread_releases(jobs, now, share))
        return found
