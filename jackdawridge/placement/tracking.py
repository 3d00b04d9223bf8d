"""Tracks placed tasks until they end, and learns from their outcomes."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.admission import QueueBounds
from jackdawridge.placement.assignment import Assignment
from jackdawridge.placement.fleet import REFUSAL_WAIT, Fleet
from jackdawridge.placement.headroom import MIN_LARGE_JOB_TASKS
from jackdawridge.placement.kind_adjustment import KindAdjustment
from jackdawridge.placement.lateness import MAX_USEFUL_FACTOR
from jackdawridge.placement.learning import Learner, Need, Usage
from jackdawridge.placement.queued_jobs import Standing
from jackdawridge.placement.queues import Queues
from jackdawridge.placement.request import (
    NO_OBJECTIVE,
    Key,
    Objective,
    Placement,
    Request,
)
from jackdawridge.placement.resources import reserved_resources
from jackdawridge.placement.separation import NoSeparation, Separation
from jackdawridge.placement.side_view import Side
from jackdawridge.placement.stalls import StallDetector
from jackdawridge.placement.worker_speed import START_MARGIN

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jackdawridge.execution.messages import Room
    from jackdawridge.placement.policies import Policy
    from jackdawridge.placement.queued_jobs import Job

#: Ratio of response time to ideal response time that jobs without an
#: objective are ordered by.
TARGET_SLOWDOWN = 8.0

#: Factor on the high estimate of the run time after which a running task is
#: late.
LATE_FACTOR = 1.5

#: Run time in seconds up to which no task is late.
MIN_LATE_TIME = 0.25

#: Weight of the newest placement in the moving average of run times.
TYPICAL_RUN_TIME_WEIGHT = 0.02

#: Lower bound in seconds of the estimate that run times are compared with.
MIN_RUN_TIME = 0.005

#: Reason of a refusal for lack of room; the side then owes an offer of room.
NO_ROOM = 'no room'

#: Time in seconds without placements at a side that refused a start for lack
#: of room, under a policy that ignores room.
IGNORED_ROOM_WAIT = 0.02


class JobSize(NamedTuple):
    """The expected size of a job."""

    #: Run time of its longest task, in seconds.
    longest_run_time: float
    #: Work in seconds of the whole capacity.
    work: float
    #: Fraction of the whole capacity that all its tasks take together.
    total_share: float


class AssignmentTracker(Fleet):
    """Tracks the assignment of placed tasks to sides until they end.

    :param policy: chooses the side of a task.
    :param bounds: limits of the queues.
    """

    def __init__(self, policy: Policy, bounds: QueueBounds) -> None:
        """Initialise without sides and tasks."""
        super().__init__()
        self.policy = policy
        self.bounds = bounds
        self.queues = Queues()
        self.learner = Learner()
        self.separation: Separation = NoSeparation()
        self.assignments: dict[Key, Assignment] = {}
        #: Sides of the last runs of retried tasks, by ticket and position.
        self.avoided: dict[str, dict[int, str]] = defaultdict(dict)
        self.stall_detector = StallDetector()
        self.kind_adjustment = KindAdjustment(self)
        #: Assignments of stalled tasks that have to be stopped.
        self.stalled: list[Assignment] = []
        #: Number of placements.
        self.placed = 0
        #: Number of starts that a side refused.
        self.refusals = 0
        #: Number of offers of room from sides.
        self.offered = 0

    def need(self, request: Request) -> Need:
        """Return the estimated need of a task, limited to a worker's size.

        :param request: request of the task.
        """
        return self.limit_to_worker(self.learner.need(request), request)

    def estimate_size(self, job: Job) -> JobSize:
        """Return the expected size of a job.

        :param job: job none of whose tasks has been placed.
        """
        longest_run_time: float = 0
        work: float = 0
        total_share: float = 0
        for group in job.groups.values():
            need = self.need(group.sample)
            longest_run_time = max(longest_run_time, need.run_time)
            share = self.dominant_share(need) * len(group.requests)
            total_share += share
            work += share * need.run_time
        return JobSize(longest_run_time, work, total_share)

    def standing(self, job: Job, now: float, objective: Objective) -> Standing:
        """Return the standing of a new job, which determines its order.

        The ideal response time of a job is the run time of its longest task,
        or its work at the whole capacity if that takes longer.

        :param job: job none of whose tasks has been placed.
        :param now: time of arrival of the job, in seconds.
        :param objective: objective for the response time of the job.
        """
        longest_run_time, work, total_share = self.estimate_size(job)
        ideal = max(longest_run_time, work)
        headroom_work = work if job.size >= MIN_LARGE_JOB_TASKS else 0
        if objective == NO_OBJECTIVE:
            return Standing(now + TARGET_SLOWDOWN * ideal, now, headroom_work)
        self.worker_kinds.observe_stretch(objective.stretch)
        owed = max(longest_run_time * self.worker_kinds.owed_factor, work)
        target = objective.stretch * owed + objective.allowance
        useful_time = min(MAX_USEFUL_FACTOR * target, objective.patience)
        # Jobs are ordered by the latest start that meets the target.
        latest_start = min(
            target - longest_run_time * START_MARGIN,
            useful_time - longest_run_time,
        )
        return Standing(
            now + latest_start,
            now,
            headroom_work,
            now + useful_time - longest_run_time,
            work,
            total_share,
            objective.priority,
            objective=objective,
            longest_run_time=longest_run_time,
        )

    def assign(
        self, assignment: Assignment, side: Side, reason: str
    ) -> Placement:
        """Reserve room for a task and return its placement.

        :param assignment: assignment of the task to a side.
        :param side: that side.
        :param reason: reason for the choice of the side.
        """
        need, request = assignment.need, assignment.request
        self.placed += 1
        side.reserve(need)
        side.probation.placed(request.key)
        typical = self.typical_run_time or need.run_time
        self.typical_run_time = typical + TYPICAL_RUN_TIME_WEIGHT * (
            need.run_time - typical
        )
        assignment = assignment._replace(run_time_factor=side.run_time_factor)
        self.assignments[request.key] = assignment
        self.separation.assigned(assignment, side)
        team = self.queues.team(request.team)
        team.running_cores += need.cores
        team.outstanding += 1
        work = self.dominant_share(need) * need.run_time
        team.virtual_time += work / team.limits.weight
        return Placement(
            side.side_id,
            request,
            need.cores,
            need.memory,
            need.run_time,
            reason,
        )

    def release(self, key: Key) -> Assignment | None:
        """Remove the assignment of a task and return it, if there is one.

        The free room of the side changes only with its next report.

        :param key: key of the task.
        """
        assignment = self.assignments.pop(key, None)
        self.health.late_keys.discard(key)
        if assignment is None:
            return None
        self.separation.released(assignment)
        team = self.queues.team(assignment.request.team)
        team.outstanding -= 1
        team.running_cores -= assignment.need.cores
        if not team.outstanding:
            team.running_cores = 0
        side = self.sides.get(assignment.side_id)
        if side is not None:
            side.release(assignment.need)
            side.probation.released(key)
        return assignment

    def sent(
        self, side_id: str, number: int, placements: Sequence[Placement]
    ) -> None:
        """Record the batch in which placements were sent.

        :param side_id: identifier of the side.
        :param number: number of the batch.
        :param placements: all placements in the batch.
        """
        side = self.sides.get(side_id)
        if side is not None:
            side.sent(number, reserved_resources(placements))

    def refused(self, key: Key, side_id: str, reason: str, now: float) -> None:
        """Requeue a task that a side refused to start.

        :param key: key of the task.
        :param side_id: identifier of the side.
        :param reason: reason that the side gave.
        :param now: current time in seconds.
        """
        assignment = self.release(key)
        if assignment is None:
            return
        self.refusals += 1
        self.queues.requeue(assignment.request, assignment.standing)
        side = self.sides.get(side_id)
        if side is None:
            return
        if reason != NO_ROOM:
            side.close_until(now + REFUSAL_WAIT)
        elif not self.policy.knows_room:
            side.close_until(now + IGNORED_ROOM_WAIT)

    def requeue(self, assignment: Assignment) -> None:
        """Requeue a task after a run, and avoid the side of that run.

        :param assignment: released assignment of the task.
        """
        self.queues.requeue(assignment.request, assignment.standing)
        ticket, task = assignment.request.key
        self.avoided[ticket][task] = assignment.side_id

    def pop_stalled(self) -> list[Assignment]:
        """Remove and return the assignments of tasks that have to be stopped.

        Each task is returned at most once.
        """
        stalled = self.stalled
        self.stalled = []
        return stalled

    def ended(
        self, key: Key, side_id: str, outcome: str, usage: Usage, now: float
    ) -> Assignment | None:
        """Record the end of a task and return its assignment, if any.

        :param key: key of the task.
        :param side_id: identifier of the side that ran the task.
        :param outcome: `succeeded`, `failed` or `stopped`.
        :param usage: measured usage of the task.
        :param now: current time in seconds.
        """
        if outcome == 'succeeded':
            self.observe_neighbours(key, side_id, usage, now)
        assignment = self.release(key)
        if assignment is None:
            return None
        self.bounds.count_ended(now)
        request, need = assignment.request, assignment.need
        if outcome == 'succeeded':
            is_typical = side_id not in self.health.limited
            run_time = (
                usage.run_time / assignment.run_time_factor if is_typical else 0
            )
            self.learner.observe(request, usage._replace(run_time=run_time))
            self.kind_adjustment.observe(assignment, usage.run_time)
            measured_run_time = usage.run_time or now - assignment.placed_at
            factor = measured_run_time / max(
                self.kind_adjustment.expected_run_time(assignment),
                MIN_RUN_TIME,
            )
            self.health.record_success(
                side_id, request.kind, assignment.number, factor, now
            )
            team = self.queues.team(request.team)
            excess = (measured_run_time - need.run_time) * self.dominant_share(
                need
            )
            team.virtual_time += excess / team.limits.weight
        elif outcome == 'failed':
            self.learner.observe(request, usage._replace(run_time=0))
            self.health.record_failure(
                side_id,
                request.kind,
                assignment.number,
                now,
                request.ticket if request.reruns else '',
            )
        self.apply_health(side_id)
        return assignment

    def observe_neighbours(
        self, key: Key, side_id: str, usage: Usage, now: float
    ) -> None:
        """Compare the run time of a task with what ran beside it.

        Run times at limited sides are not compared.

        :param key: key of a task that has succeeded.
        :param side_id: identifier of the side that ran the task.
        :param usage: measured usage of the task.
        :param now: current time in seconds.
        """
        assignment = self.assignments.get(key)
        if assignment is not None and side_id not in self.health.limited:
            run_time = usage.run_time or now - assignment.placed_at
            self.separation.succeeded(assignment, run_time, now)

    def side_left(self, side_id: str) -> None:
        """Remove a side whose link has closed.

        :param side_id: identifier of the side.
        """
        super().side_left(side_id)
        self.separation.forget(side_id)

    def side_reported(
        self, side_id: str, room: Room, processed: int, now: float
    ) -> None:
        """Update the free room of a side from its report.

        :param side_id: identifier of the side.
        :param room: free room after the last batch that the side processed.
        :param processed: number of that batch.
        :param now: current time in seconds.
        """
        super().side_reported(side_id, room, processed, now)
        side = self.sides.get(side_id)
        if side is not None:
            self.separation.reported(side, now)

    def record_delegated_start(self, key: Key) -> None:
        """Record that another entry sends the start of a placed task.

        :param key: key of the task.
        """
        assignment = self.assignments[key]
        side = self.sides.get(assignment.side_id)
        if side is not None:
            side.record_delegated_start(assignment.need)

    def restore_room(self, assignment: Assignment) -> None:
        """Add back the room of another entry's task that has left its side.

        :param assignment: released assignment of the task.
        """
        side = self.sides.get(assignment.side_id)
        if side is not None:
            side.restore_room(assignment.need)

    def discard_assignment(self, key: Key) -> Assignment | None:
        """Remove the assignment of a task whose outcome will stay unknown.

        :param key: key of the task.
        """
        return self.release(key)

    def check_running(self) -> None:
        """Find stalled tasks, and sides whose tasks are late.

        Run times count up to the last report of a side, since tasks may have
        ended unseen after it.
        """
        reported_at_by_side = {
            side.side_id: side.reported_at for side in self.sides.values()
        }
        retryable = (
            one for one in self.assignments.values() if one.request.reruns
        )
        self.stalled.extend(
            self.stall_detector.find(retryable, reported_at_by_side)
        )
        for key, assignment in self.assignments.items():
            side_id = assignment.side_id
            limit = assignment.latest_end(LATE_FACTOR, MIN_LATE_TIME)
            if (
                side_id in reported_at_by_side
                and reported_at_by_side[side_id] > limit
                and not self.kind_adjustment.was_counted_late(key)
            ):
                self.health.late_keys.add(key)
                self.health.record_late(
                    side_id, assignment.request.ticket, self.placed
                )
                self.apply_health(side_id)
        for limited in tuple(self.health.limited):
            self.apply_health(limited)
        self.kind_adjustment.update()
