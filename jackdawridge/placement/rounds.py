"""One pass over the queues that places what there is room for."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from jackdawridge.placement.headroom import headroom_fraction
from jackdawridge.placement.queued_jobs import Job
from jackdawridge.placement.team_cursor import TeamCursor
from jackdawridge.placement.tracking import Assignment
from jackdawridge.placement.worker_speed import may_start, split_by_pace

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jackdawridge.placement.learning import Need
    from jackdawridge.placement.queued_jobs import Group
    from jackdawridge.placement.request import Key, Placement, Request
    from jackdawridge.placement.tracking import AssignmentTracker
    from jackdawridge.placement.view import Side

#: Wait of a task before room is asked for at a silent side, in seconds.
SILENT_SIDE_AFTER = 0.1

#: Wait of a task before room is asked for at any side, in seconds.
ANY_SIDE_AFTER = 1.0

#: Time after which a request for room is made again, in seconds.
ROOM_REQUEST_TIMEOUT = 2.0

#: Sides at which room is asked for at a time.
MAX_ROOM_REQUESTS = 2

#: Time for which the whole room may serve one team ahead of its share, in
#: seconds. Within it the most urgent job goes first, whosever it is.
MAX_SHARE_EXCESS = 2.0

#: Tasks that are placed before the teams are compared again.
TASKS_PER_TURN = 16

#: Tasks of a job that are placed at one side before the next is chosen.
MAX_TASKS_TOGETHER = 10

#: Part of a worker's cores that has to stay free for that.
SPARE_CORE_FRACTION = 0.5

#: Groups of tasks that are tried in vain in one pass.
MAX_FAILED_TRIES = 64

#: Used for a pass that places all it can.
NO_PLACEMENT_LIMIT = float('inf')


class PlacementPass:
    """One pass, which serves the most urgent job of the teams.

    A team that had more than its share has to wait for the others.

    :param placer: whose queues and sides are joined.
    :param now: current time in seconds.
    :param limit: number of placements after which the pass ends.
    """

    def __init__(
        self,
        placer: AssignmentTracker,
        now: float,
        limit: float = NO_PLACEMENT_LIMIT,
    ) -> None:
        """Begin with all teams that have queued tasks."""
        self.placer = placer
        self.now = now
        self.limit = limit
        self.placements: list[Placement] = []
        self.sides: Sequence[Side] = placer.open_sides
        #: Least pace of the slower sides while these are filled, else 0.
        self.min_run_time_factor: float = 0
        #: Needs that no side fits.
        self.misfits: list[Need] = []
        self.tries = 0

    def run(self) -> None:
        """Place tasks until none fits or the limit is reached."""
        if not self.placer.policy.knows_room:
            self.scan_queues()
            return
        with_room = [side for side in self.sides if side.has_room()]
        fast, slow = split_by_pace(with_room)
        self.sides = fast
        self.scan_queues()
        if slow:
            self.sides = slow
            self.min_run_time_factor = min(side.pace for side in slow)
            self.misfits.clear()
            self.tries = 0
            self.scan_queues()

    def scan_queues(self) -> None:
        """Go through the queues once, for the sides of this pass."""
        cursors: dict[str, TeamCursor] = {}
        names = set(self.placer.queues.active)
        while names and self.sides and self.tries < MAX_FAILED_TRIES:
            if self.is_full():
                return
            self.serve_teams(names, cursors)
            names = {
                name
                for name in names
                if name not in cursors or cursors[name].current is not None
            }

    def is_full(self) -> bool:
        """Return whether the limit is reached."""
        return len(self.placements) >= self.limit

    def serve_teams(
        self, names: set[str], cursors: dict[str, TeamCursor]
    ) -> None:
        """Place the most urgent tasks of the teams that are not ahead.

        :param names: of all teams that have tasks to try.
        :param cursors: of the teams that were served in this pass.
        """
        teams = [self.placer.queues.teams[name] for name in names]
        floor = min(team.virtual_time for team in teams)
        self.placer.queues.virtual_time = floor
        heap = [
            (team.urgency(), team.name)
            if team.name not in cursors
            else (cursors[team.name].deadline(), team.name)
            for team in teams
            if team.virtual_time <= floor + MAX_SHARE_EXCESS
        ]
        heapq.heapify(heap)
        for _ in range(TASKS_PER_TURN):
            if not heap:
                return
            _, name = heap[0]
            cursor = cursors.get(name)
            if cursor is None:
                team = self.placer.queues.teams[name]
                cursor = TeamCursor(team, self.placer, self.admits)
                cursors[name] = cursor
            self.serve(cursor)
            if cursor.current is None:
                heapq.heappop(heap)
            else:
                heapq.heapreplace(heap, (cursor.deadline(), name))

    def serve(self, cursor: TeamCursor) -> None:
        """Place one task of a team, or skip a group.

        :param cursor: of the team.
        """
        if cursor.current is None:
            return
        job, group, need = cursor.current
        wanted = self.with_headroom(need, job)
        if self.is_known_misfit(wanted) or not cursor.team.within_quota(need):
            self.tries += 1
            cursor.skip()
            return
        sides = self.sides_for(job, group)
        side = self.side_of_last_task(
            cursor, job, wanted, sides
        ) or self.placer.policy.choose(wanted, sides, self.now)
        if side is None:
            if len(sides) == len(self.sides):
                self.misfits.append(wanted)
            self.tries += 1
            cursor.skip()
            return
        request = self.placer.queues.pop_task(job, group)
        self.assign(job, request, side, 'most room')
        cursor.placed(job.ticket, side)
        if not group.requests:
            cursor.advance()

    def admits(self, job: Job) -> bool:
        """Return whether a job is looked at in this pass.

        :param job: a waiting job.
        """
        if not self.min_run_time_factor:
            return True
        return may_start(job.standing, self.min_run_time_factor, self.now)

    def sides_for(self, job: Job, group: Group) -> Sequence[Side]:
        """Return the sides for the next task of a group.

        A task that runs again goes elsewhere than before, if there is
        another side.

        :param job: which the group belongs to.
        :param group: with at least one task.
        """
        sides = self.sides
        reach = job.reach
        if reach is not None:
            sides = [side for side in sides if side.side_id in reach]
        if self.min_run_time_factor:
            sides = [
                side
                for side in sides
                if may_start(job.standing, side.pace, self.now)
            ]
        ticket, task = group.requests[0].key
        if ticket not in self.placer.avoided:
            return sides
        avoided = self.placer.avoided[ticket].get(task)
        others = [side for side in sides if side.side_id != avoided]
        return others or sides

    def side_of_last_task(
        self,
        cursor: TeamCursor,
        job: Job,
        need: Need,
        sides: Sequence[Side],
    ) -> Side | None:
        """Return the side of the job's last task if it has ample room left.

        Starts for one side share a message and a call to its worker.

        :param cursor: of the team.
        :param job: to be placed.
        :param need: of its next task, headroom included.
        :param sides: that it may go to.
        """
        last = cursor.last
        if last is None or not self.placer.policy.keeps_together:
            return None
        if last.ticket != job.ticket or last.tasks >= MAX_TASKS_TOGETHER:
            return None
        ample = need.cores + SPARE_CORE_FRACTION * last.side.info.cores
        if last.side not in sides:
            return None
        fits = last.side.fits(need._replace(cores=ample), self.now)
        return last.side if fits else None

    def with_headroom(self, need: Need, job: Job) -> Need:
        """Return the room that has to be free for a task to be placed.

        :param need: estimated need of the task.
        :param job: which it is part of.
        """
        if not self.placer.policy.leaves_headroom:
            return need
        part = headroom_fraction(job.standing, self.now)
        if part <= 0:
            return need
        fleet = self.placer
        worker = fleet.capacity.cores / max(len(fleet.open_sides), 1)
        # A task that needs most of a worker must fit an empty one at once.
        kept = min(part * worker, max(worker - need.cores, 0))
        return need._replace(cores=need.cores + kept)

    def assign(
        self, job: Job, request: Request, side: Side, reason: str
    ) -> None:
        """Place a task that has left the queue.

        :param job: which it is part of.
        :param request: request of the task.
        :param side: where it goes.
        :param reason: why it goes there.
        """
        placer = self.placer
        assignment = Assignment(
            side.side_id,
            request,
            placer.need(request),
            placer.placed,
            self.now,
            job.standing,
        )
        self.placements.append(placer.assign(assignment, side, reason))

    def place_offered(self, side_id: str, key: Key) -> None:
        """Place the task for which a side offered room.

        :param side_id: of the side.
        :param key: of the task that waits.
        """
        placer = self.placer
        found = placer.queues.find(key)
        side = placer.sides.get(side_id)
        if found is None or side is None:
            return
        job, _, request = found
        need = placer.need(request)
        team = placer.queues.team(job.team)
        if side.fits(need, self.now) and team.within_quota(need):
            placer.queues.extract(key)
            self.assign(job, request, side, 'offered')

    def is_known_misfit(self, need: Need) -> bool:
        """Return whether a smaller need was found not to fit.

        :param need: the estimate for a task.
        """
        return any(
            need.cores >= misfit.cores
            and need.memory >= misfit.memory
            and need.accelerators >= misfit.accelerators
            for misfit in self.misfits
        )


class RoomRequests:
    """Asks for room by starts that may be refused.

    A side remembers an entry that it refused and offers it the next room.
    That helps an entry that hears little from a side, because others use it,
    and a task so large that its room has to be kept free for it.
    """

    def __init__(self) -> None:
        """Begin with nothing asked."""
        #: For each side the task, and when it is forgotten.
        self.pending: dict[str, tuple[Key, float]] = {}

    def pop_answered(self, side_id: str) -> Key | None:
        """Return the task for which room was asked at a side, and forget it.

        :param side_id: of the side.
        """
        pending = self.pending.pop(side_id, None)
        return pending[0] if pending else None

    def run(self, current: PlacementPass) -> None:
        """Ask for room for the most urgent task, if it has waited.

        :param current: a pass that has placed what it could.
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
        """Return the side that has been silent longest, or None.

        :param current: a pass that has placed what it could.
        :param job: whose task waits.
        :param waited: how long it has waited, in seconds.
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
    """Return when a side reported last.

    :param side: side to check.
    """
    return side.reported_at


def most_urgent(placer: AssignmentTracker) -> Job | None:
    """Return the job that has waited most for its place in the order.

    :param placer: whose queues are looked at.
    """
    heads = [
        team.jobs[0][1]
        for team in placer.queues.active.values()
        if team.has_quota()
    ]
    return min(heads, key=Job.order, default=None)
