"""Load shedding: decides which waiting jobs are shed, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.placement.lateness import (
    demote,
    demote_late_jobs,
    find_late_jobs,
)
from jackdawridge.placement.request import NO_OBJECTIVE, UnplaceableTask
from jackdawridge.placement.shedding import (
    SETTLING_TIME,
    Release,
    find_excess,
    spread_releases,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from jackdawridge.placement.lateness import ShedJob
    from jackdawridge.placement.queued_jobs import Job
    from jackdawridge.placement.tracking import AssignmentTracker


class LoadShedder:
    """Sheds jobs that cannot meet their objective, so that others can.

    Jobs without an objective are never shed.

    :param placer: placer that holds the queues.
    :param can_ever_start: returns whether any worker is large enough for the
        tasks of a job. The others take no room from those that wait.
    """

    def __init__(
        self, placer: AssignmentTracker, can_ever_start: Callable[[Job], bool]
    ) -> None:
        """Initialise with the current capacity."""
        self.placer = placer
        self.can_ever_start = can_ever_start
        #: Whether any job so far has had an objective.
        self.has_objectives = False
        #: Capacity by which the standings of the jobs were determined.
        self.measured_capacity = placer.capacity

    def shed_expired(self, now: float) -> tuple[UnplaceableTask, ...]:
        """Return one task of each expired job, for the caller to cancel.

        Moves late jobs that have not started behind those that can still meet
        their objective.

        :param now: current time in seconds.
        """
        if not self.has_objectives:
            return ()
        if self.placer.capacity != self.measured_capacity:
            self.update_standings()
        found = demote_late_jobs(self.placer.queues, now)
        return tuple(
            UnplaceableTask(
                shed_job.job.first(), self.rejection_reason(shed_job)
            )
            for shed_job in found
        )

    def update_standings(self) -> None:
        """Recompute the standings of waiting jobs for the current capacity.

        Jobs queued while no side was known would otherwise stay far behind.
        """
        self.measured_capacity = self.placer.capacity
        for job in tuple(self.placer.queues.jobs.values()):
            old_standing = job.standing
            if job.has_begun or old_standing.objective == NO_OBJECTIVE:
                continue
            standing = self.placer.standing(
                job, old_standing.queued_at, old_standing.objective
            )
            self.placer.queues.reorder(job, standing)
            if old_standing.is_late:
                demote(self.placer.queues, job)

    def shed_excess(self, now: float) -> tuple[UnplaceableTask, ...]:
        """Return one task of each job to shed, for the caller to cancel.

        Call this after a placement pass. Returns nothing for a short time
        after a side has joined.

        :param now: current time in seconds.
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
            shed_job
            for service, jobs in self.placer.queues.jobs_by_service().items()
            for shed_job in find_excess(
                filter(self.can_ever_start, jobs),
                now,
                self.expected_releases(service, jobs, now),
            )
        ]
        found.extend(find_late_jobs(self.placer.queues))
        return tuple(
            UnplaceableTask(
                shed_job.job.first(), self.rejection_reason(shed_job)
            )
            for shed_job in found
        )

    def rejection_reason(self, shed_job: ShedJob) -> str:
        """Return the reason for shedding a job, with usage and queue length.

        :param shed_job: job that is shed.
        """
        capacity = self.placer.service_capacity(shed_job.job.service)
        return (
            f'{shed_job.reason}: {capacity.used:.1f} of {capacity.cores:g}'
            f' cores are used, {self.placer.queues.queued} tasks wait'
        )

    def expected_releases(
        self, service: str, jobs: Sequence[Job], now: float
    ) -> list[Release]:
        """Return when capacity becomes free for the jobs that wait here.

        Room that a task of this entry frees is expected to go to this entry
        again, since each entry regains room as it uses it. An entry that uses
        less than its even share also gets some of what the others free.

        :param service: service whose workers run the tasks; empty for any.
        :param jobs: waiting jobs of that service.
        :param now: current time in seconds.
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
