"""Placement pass: places queued tasks for which there is room."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.assignment import Assignment
from jackdawridge.placement.headroom import headroom_fraction
from jackdawridge.placement.team_cursor import TeamCursor
from jackdawridge.placement.worker_speed import may_start, split_by_speed

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jackdawridge.placement.learning import Need
    from jackdawridge.placement.queued_jobs import Group, Job
    from jackdawridge.placement.request import Key, Placement, Request
    from jackdawridge.placement.side_view import Side
    from jackdawridge.placement.tracking import AssignmentTracker

#: Largest lead of a team over its fair share, in seconds of the whole
#: capacity. Within it the most urgent job goes first, whatever its team.
MAX_SHARE_EXCESS = 2.0

#: Number of tasks placed before the shares of the teams are compared again.
TASKS_PER_TURN = 16

#: Maximum number of successive tasks of a job at one side before a side is
#: chosen again.
MAX_TASKS_TOGETHER = 10

#: Fraction of the cores of a worker that has to stay free for that.
SPARE_CORE_FRACTION = 0.5

#: Number of groups that may fail to fit in one pass before it ends.
MAX_FAILED_TRIES = 64

#: Limit of a pass that places all it can.
NO_PLACEMENT_LIMIT = float('inf')


class Choice(NamedTuple):
    """The side chosen for a task, and the reason."""

    side: Side
    reason: str


class PlacementPass:
    """One placement pass over the queues of all teams.

    The most urgent job is served first, whatever its team, but a team that is
    ahead of its fair share has to wait for the others.

    :param placer: placer that holds the queues and the sides.
    :param now: current time in seconds.
    :param limit: number of placements after which the pass ends.
    """

    def __init__(
        self,
        placer: AssignmentTracker,
        now: float,
        limit: float = NO_PLACEMENT_LIMIT,
    ) -> None:
        """Initialise a pass over all open sides."""
        self.placer = placer
        self.now = now
        self.limit = limit
        self.placements: list[Placement] = []
        self.sides: Sequence[Side] = placer.open_sides
        #: Lowest run time factor of the slow sides while they are filled; 0
        #: while the fast sides are.
        self.min_run_time_factor: float = 0
        #: Needs that fit no side.
        self.misfits: list[Need] = []
        self.tries = 0

    def run(self) -> None:
        """Place tasks at the fast sides, then at the slow ones.

        Ends when no task fits or when the limit is reached.
        """
        if not self.placer.policy.knows_room:
            self.scan_queues()
            return
        with_room = [side for side in self.sides if side.has_room()]
        fast, slow = split_by_speed(with_room)
        self.sides = fast
        self.scan_queues()
        if slow:
            self.sides = slow
            self.min_run_time_factor = min(
                side.run_time_factor for side in slow
            )
            self.misfits.clear()
            self.tries = 0
            self.scan_queues()

    def scan_queues(self) -> None:
        """Place tasks from all queues at the current sides."""
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
        """Return whether the limit of placements is reached."""
        return len(self.placements) >= self.limit

    def serve_teams(
        self, names: set[str], cursors: dict[str, TeamCursor]
    ) -> None:
        """Place the most urgent tasks of teams not ahead of their share.

        :param names: names of all teams with tasks to try.
        :param cursors: cursors of the teams served in this pass, by name;
            missing ones are added.
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
        """Place one task of a team, or skip a group that does not fit.

        :param cursor: cursor of the team.
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
        choice = self.choose(cursor, wanted, sides)
        if choice is None:
            if len(sides) == len(self.sides):
                self.misfits.append(wanted)
            self.tries += 1
            cursor.skip()
            return
        request = self.placer.queues.pop_task(job, group)
        self.assign(job, request, choice.side, choice.reason)
        cursor.placed(job.ticket, choice.side)
        if not group.requests:
            cursor.advance()

    def choose(
        self,
        cursor: TeamCursor,
        wanted: Need,
        sides: Sequence[Side],
    ) -> Choice | None:
        """Return the side for a task, or None if it has to wait.

        Tasks that slow each other down are kept apart, but none waits for
        that.

        :param cursor: cursor of the team.
        :param wanted: need of its next task, including headroom.
        :param sides: sides that the task may go to.
        """
        if cursor.current is None:
            return None
        job, group, need = cursor.current
        policy = self.placer.policy
        side = self.side_of_last_task(
            cursor, job, wanted, sides
        ) or policy.choose(wanted, sides, self.now)
        if side is None:
            return None
        kind = group.sample.kind
        separation = self.placer.separation
        if separation.disturbs(kind, need.cores, side):
            calm = [
                one
                for one in sides
                if not separation.disturbs(kind, need.cores, one)
            ]
            apart = policy.choose(wanted, calm, self.now)
            if apart is not None:
                separation.separated += 1
                return Choice(apart, 'apart')
        return Choice(side, 'most room')

    def admits(self, job: Job) -> bool:
        """Return whether a job takes part in this pass.

        :param job: a waiting job.
        """
        if not self.min_run_time_factor:
            return True
        return may_start(job.standing, self.min_run_time_factor, self.now)

    def sides_for(self, job: Job, group: Group) -> Sequence[Side]:
        """Return the sides for the next task of a group.

        A retried task avoids the side of its last run if there is another.

        :param job: job that the group belongs to.
        :param group: group with at least one waiting task.
        """
        sides = self.sides
        reach = job.reachable_sides
        if reach is not None:
            sides = [side for side in sides if side.side_id in reach]
        if self.min_run_time_factor:
            sides = [
                side
                for side in sides
                if may_start(job.standing, side.run_time_factor, self.now)
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
        """Return the side of the last task of a job if it has ample room.

        Starts that go to one side share a message and a call to its worker.

        :param cursor: cursor of the team.
        :param job: job to place.
        :param need: need of its next task, including headroom.
        :param sides: sides that the task may go to.
        """
        last = cursor.last_placed
        if last is None or not self.placer.policy.keeps_together:
            return None
        if last.ticket != job.ticket or last.tasks >= MAX_TASKS_TOGETHER:
            return None
        required_cores = need.cores + SPARE_CORE_FRACTION * last.side.info.cores
        if last.side not in sides:
            return None
        fits = last.side.fits(need._replace(cores=required_cores), self.now)
        return last.side if fits else None

    def with_headroom(self, need: Need, job: Job) -> Need:
        """Return the need of a task, increased by the headroom of its job.

        :param need: estimated need of the task.
        :param job: job that the task belongs to.
        """
        if not self.placer.policy.leaves_headroom:
            return need
        fraction = headroom_fraction(job.standing, self.now)
        if fraction <= 0:
            return need
        fleet = self.placer
        worker_cores = fleet.capacity.cores / max(len(fleet.open_sides), 1)
        # A task that needs most of a worker has to fit an empty one.
        headroom_cores = min(
            fraction * worker_cores, max(worker_cores - need.cores, 0)
        )
        return need._replace(cores=need.cores + headroom_cores)

    def assign(
        self, job: Job, request: Request, side: Side, reason: str
    ) -> None:
        """Place a task that was removed from the queue.

        :param job: job that the task belongs to.
        :param request: request of the task.
        :param side: side of the task.
        :param reason: reason for the choice of the side.
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
        """Place the task for which a side offered room, if it still waits.

        :param side_id: identifier of the side.
        :param key: key of the task.
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
        """Return whether a need that is not larger was found not to fit.

        :param need: estimated need of a task.
        """
        return any(
            need.cores >= misfit.cores
            and need.memory >= misfit.memory
            and need.accelerators >= misfit.accelerators
            for misfit in self.misfits
        )
