"""Decides which jobs that wait are given up, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.placement.lateness import (
    find_late,
    move_behind,
    sort_out,
)
from jackdawridge.placement.request import NO_OBJECTIVE, Impossible
from jackdawridge.placement.shedding import (
    SETTLING,
    Release,
    find_excess,
    spread_out,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jackdawridge.placement.lateness import Useless
    from jackdawridge.placement.queued_jobs import Job
    from jackdawridge.placement.tracking import Tracking


class Triage:
    """Gives up jobs that cannot be in time, so that others are.

    Concerns only jobs that have named an objective.

    :param placer: whose queues are looked at.
    """

    def __init__(self, placer: Tracking) -> None:
        """Begin without jobs."""
        self.placer = placer
        #: Whether any job has named an objective.
        self.is_needed = False
        #: Room by which the places of jobs were reckoned.
        self.measured = placer.capacity

    def give_up(self, now: float) -> tuple[Impossible, ...]:
        """Return tasks whose jobs are of no use any more; the caller cancels.

        Jobs that cannot be answered in time any more make way for those that
        can, as long as they have not begun.

        :param now: the time.
        """
        if not self.is_needed:
            return ()
        if self.placer.capacity != self.measured:
            self.measure_again()
        found = sort_out(self.placer.queues, now)
        return tuple(
            Impossible(useless.job.first(), self.why(useless))
            for useless in found
        )

    def measure_again(self) -> None:
        """Bring the places of jobs up to the room that there is now.

        What waits while no side is known would keep a place far behind.
        """
        self.measured = self.placer.capacity
        for job in tuple(self.placer.queues.jobs.values()):
            before = job.standing
            if job.has_begun or before.objective == NO_OBJECTIVE:
                continue
            standing = self.placer.standing(
                job, before.queued_at, before.objective
            )
            self.placer.queues.move(job, standing)
            if before.is_late:
                move_behind(self.placer.queues, job)

    def make_way(self, now: float) -> tuple[Impossible, ...]:
        """Return tasks whose jobs make way for others; the caller cancels.

        To be called when all that there is room for was placed.

        :param now: the time.
        """
        is_settled = (
            now - self.placer.grown_at >= SETTLING and self.placer.open_sides
        )
        if not (self.is_needed and self.placer.queues.queued and is_settled):
            return ()
        found = [
            useless
            for service, jobs in self.placer.queues.by_service().items()
            for useless in find_excess(
                jobs, now, self.releases(service, jobs, now)
            )
        ]
        found.extend(find_late(self.placer.queues))
        return tuple(
            Impossible(useless.job.first(), self.why(useless))
            for useless in found
        )

    def why(self, useless: Useless) -> str:
        """Return why a job is given up, with what that rests on.

        :param useless: the job.
        """
        room = self.placer.room_of(useless.job.service)
        return (
            f'{useless.reason}: {room.used:.1f} of {room.cores:g} cores are'
            f' used, {self.placer.queues.queued} tasks wait'
        )

    def releases(
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
        room = self.placer.room_of(service)
        lacking = self.placer.queues.part * room.used - room.own
        if lacking > 0:
            share = lacking / max(self.placer.capacity.cores, 1)
            found.extend(spread_out(jobs, now, share))
        return found
