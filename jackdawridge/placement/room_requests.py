"""Requests for room at sides of which too little is known."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.placement.queued_jobs import Job

if TYPE_CHECKING:
    from jackdawridge.placement.placement_pass import PlacementPass
    from jackdawridge.placement.request import Key
    from jackdawridge.placement.side_view import Side
    from jackdawridge.placement.tracking import AssignmentTracker

#: Waiting time of a task before room is requested at a side, in seconds, if
#: the side has not reported for as long.
SILENT_SIDE_AFTER = 0.1

#: Waiting time of a task before room is requested at any side, in seconds.
ANY_SIDE_AFTER = 1.0

#: Time after which an unanswered request for room is abandoned, in seconds.
ROOM_REQUEST_TIMEOUT = 2.0

#: Maximum number of pending requests for room.
MAX_ROOM_REQUESTS = 2


class RoomRequests:
    """Requests room at sides by starts that may be refused.

    A side registers an entry that it refused and offers it the next room.
    This serves an entry that rarely hears from a side, because other entries
    use it, and a task so large that room has to be kept free for it.
    """

    def __init__(self) -> None:
        """Initialise without pending requests."""
        #: Task of the pending request at each side, and when it times out.
        self.pending: dict[str, tuple[Key, float]] = {}

    def pop_answered(self, side_id: str) -> Key | None:
        """Remove the pending request at a side and return its task, if any.

        :param side_id: identifier of the side.
        """
        pending = self.pending.pop(side_id, None)
        return pending[0] if pending else None

    def run(self, current: PlacementPass) -> None:
        """Request room for the most urgent task if it has waited long.

        :param current: pass that has placed all tasks that fit.
        """
        now = current.now
        for side_id, (_, until) in tuple(self.pending.items()):
            if until <= now:
                self.pending.pop(side_id)
        if len(self.pending) >= MAX_ROOM_REQUESTS:
            return
        job = most_urgent(current.placer)
        if job is None:
            return
        waited = now - job.standing.queued_at
        side = self.choose_side(current, job, waited)
        if side is None:
            return
        group = job.longest_first(current.placer.learner)[0]
        request = current.placer.queues.pop_task(job, group)
        self.pending[side.side_id] = (request.key, now + ROOM_REQUEST_TIMEOUT)
        current.assign(job, request, side, 'asks for room')

    def choose_side(
        self, current: PlacementPass, job: Job, waited: float
    ) -> Side | None:
        """Return the side with the oldest report if a request is due.

        :param current: pass that has placed all tasks that fit.
        :param job: job whose task waits.
        :param waited: waiting time of the job, in seconds.
        :returns: None if no request is due, or if no side is eligible.
        """
        placer = current.placer
        need = placer.need(job.longest_first(placer.learner)[0].sample)
        sides = [
            side
            for side in placer.open_sides
            if side.side_id not in self.pending
            and side.fits_when_empty(need)
            and side.takes_work(need, current.now)
        ]
        team = placer.queues.team(job.team)
        if (
            waited < SILENT_SIDE_AFTER
            or not sides
            or not team.within_quota(need)
        ):
            return None
        side = min(sides, key=reported_at)
        silence = current.now - side.reported_at
        is_due = silence >= SILENT_SIDE_AFTER or waited >= ANY_SIDE_AFTER
        return side if is_due else None


def reported_at(side: Side) -> float:
    """Return the time of the last report of a side.

    :param side: side to check.
    """
    return side.reported_at


def most_urgent(placer: AssignmentTracker) -> Job | None:
    """Return the most urgent job among teams with quota left, or None.

    :param placer: placer that holds the queues.
    """
    most_urgent_jobs = [
        team.jobs[0][1]
        for team in placer.queues.active.values()
        if team.has_quota()
    ]
    return min(most_urgent_jobs, key=Job.order, default=None)
