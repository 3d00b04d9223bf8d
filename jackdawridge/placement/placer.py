"""Placer: decides which queued task starts at which side, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from jackdawridge.placement.admission import QueueBounds
from jackdawridge.placement.load_shedder import LoadShedder
from jackdawridge.placement.placement_pass import (
    NO_PLACEMENT_LIMIT,
    PlacementPass,
)
from jackdawridge.placement.policies import POLICIES, Policy
from jackdawridge.placement.queues import TeamLimits
from jackdawridge.placement.request import (
    NO_OBJECTIVE,
    Key,
    Objective,
    Overload,
    UnplaceableTask,
)
from jackdawridge.placement.room_requests import RoomRequests
from jackdawridge.placement.separation import make_separation
from jackdawridge.placement.tracking import AssignmentTracker

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jackdawridge.config import Settings
    from jackdawridge.execution.messages import Offer
    from jackdawridge.placement.queued_jobs import Job
    from jackdawridge.placement.request import Placement, Request

#: Time in seconds after the last side has joined from which a task that fits no
#: known worker is rejected: sides join one after the other.
IMPOSSIBLE_AFTER = 3.0

#: Time between two checks of the running tasks, in seconds.
CHECK_INTERVAL = 0.25


class Placer(AssignmentTracker):
    """Places queued tasks at the sides that have room for them.

    :param policy: chooses the side of a task.
    :param bounds: limits of the queues.
    """

    def __init__(self, policy: Policy, bounds: QueueBounds) -> None:
        """Initialise without sides and tasks."""
        super().__init__(policy, bounds)
        self.checked_at = float('-inf')
        #: Time of arrival of each job with a task that fits no worker, by
        #: ticket.
        self.unplaceable_since: dict[str, float] = {}
        #: Sides that offered room, each with the task that it was requested
        #: for.
        self.offers: list[tuple[str, Key]] = []
        self.room_requests = RoomRequests()
        self.load_shedder = LoadShedder(self, self.can_ever_start)

    @classmethod
    def from_config(cls, settings: Settings, seed: str = '') -> Placer:
        """Return a placer for the settings of an entry.

        :param settings: settings of the entry.
        :param seed: seed of random choices.
        """
        policy = POLICIES[settings.text('policy')](seed)
        placer = cls(policy, QueueBounds(settings.integer('queue_limit')))
        placer.ramp_time = settings.number('ramp_time')
        placer.worker_kinds.is_enabled = (
            settings.text('worker_kinds') == 'announced'
        )
        placer.separation = make_separation(settings.text('interference'))
        return placer

    def set_limits(self, team: str, limits: TeamLimits) -> None:
        """Set the limits of a team.

        :param team: name of the team.
        :param limits: weight and quota of the team.
        """
        self.queues.team(team).limits = limits

    def entries_changed(self, entries: int, others: dict[str, float]) -> None:
        """Split the quotas again after a change among the entries.

        :param entries: number of live entries, including this one.
        :param others: demand at the other entries by team, in tasks.
        """
        self.queues.split_quotas(max(entries, 1), others)

    def enqueue(
        self,
        requests: Sequence[Request],
        now: float,
        objective: Objective = NO_OBJECTIVE,
    ) -> Result[int, Overload]:
        """Queue all tasks of a job, or none of them.

        :param requests: requests of the tasks of one job, at least one.
        :param now: current time in seconds.
        :param objective: objective for the response time of the job.
        :returns: the number of tasks, or the refusal by the queue limits.
        """
        first = requests[0]
        team = self.queues.team(first.team)
        overload = self.bounds.check(self.queues, team, len(requests))
        if overload is not None:
            return Err(overload)
        self.enqueue_unchecked(self.queues.make_job(requests), now, objective)
        return Ok(len(requests))

    def enqueue_unchecked(
        self, job: Job, queued_at: float, objective: Objective
    ) -> None:
        """Queue a job regardless of the queue limits.

        :param job: new job.
        :param queued_at: time of arrival of the job, in seconds.
        :param objective: objective for the response time of the job.
        """
        if objective != NO_OBJECTIVE:
            self.load_shedder.has_objectives = True
        if any(
            self.impossible_reason(group.sample)
            for group in job.groups.values()
        ):
            self.unplaceable_since[job.ticket] = queued_at
        self.queues.insert(job, self.standing(job, queued_at, objective))

    def overload(self, reason: str) -> Overload:
        """Return the refusal of a job for which the entry lacks memory.

        :param reason: reason for the caller.
        """
        return Overload(self.bounds.retry_after(self.queues.queued), reason)

    def cancel(self, ticket: str) -> int:
        """Remove the queued tasks of a job and return their number.

        :param ticket: ticket of the job.
        """
        self.unplaceable_since.pop(ticket, None)
        self.avoided.pop(ticket, None)
        self.stall_detector.stopped.pop(ticket, None)
        return self.queues.cancel(ticket)

    def place(
        self, now: float, limit: float = NO_PLACEMENT_LIMIT
    ) -> tuple[Placement, ...]:
        """Place as many queued tasks as there is known room for.

        The room is reserved at once. The caller sends the placements and
        reports the numbers of their batches by `sent`.

        :param now: current time in seconds.
        :param limit: number of placements after which the pass ends; it may
            be exceeded slightly.
        """
        self.check_running_if_due(now)
        if not self.queues.queued:
            return ()
        current = PlacementPass(self, now, limit)
        for side_id, key in self.offers:
            current.place_offered(side_id, key)
        self.offers.clear()
        current.run()
        # A lead knows the room of each side and need not request any.
        may_ask = self.policy.knows_room and not self.is_lead
        if self.queues.queued and may_ask and not current.is_full():
            self.room_requests.run(current)
        return tuple(current.placements)

    def check_running_if_due(self, now: float) -> None:
        """Check the running tasks if the check interval has passed.

        :param now: current time in seconds.
        """
        if self.is_check_due(now):
            self.checked_at = now
            self.check_running()

    def is_check_due(self, now: float) -> bool:
        """Return whether the running tasks have to be checked again.

        :param now: current time in seconds.
        """
        return now - self.checked_at >= CHECK_INTERVAL

    def has_work(self, now: float) -> bool:
        """Return whether `place` has something to do.

        :param now: current time in seconds.
        """
        return self.queues.queued > 0 or self.is_check_due(now)

    def offer_received(self, side_id: str, offer: Offer, now: float) -> None:
        """Add room that a side holds for the task that requested it.

        :param side_id: identifier of the side.
        :param offer: room that the side holds.
        :param now: current time in seconds.
        """
        super().offer_received(side_id, offer, now)
        self.offered += 1
        waiting = self.room_requests.pop_answered(side_id)
        if waiting is not None:
            self.offers.append((side_id, waiting))

    def reject_impossible(self, now: float) -> tuple[UnplaceableTask, ...]:
        """Return tasks that no known worker can run, for the caller to cancel.

        A job is examined once, and only if any worker is known: at once unless
        sides have just joined, and some time after its arrival at the latest.

        :param now: current time in seconds.
        """
        impossible: list[UnplaceableTask] = []
        for ticket, since in tuple(self.unplaceable_since.items()):
            settled_since = min(since, self.last_joined_at)
            is_settled = now - settled_since >= IMPOSSIBLE_AFTER
            if not (is_settled and self.known_workers):
                continue
            self.unplaceable_since.pop(ticket)
            job = self.queues.jobs.get(ticket)
            if job is not None:
                impossible.extend(self.impossible_tasks(job))
        return tuple(impossible)

    def can_ever_start(self, job: Job) -> bool:
        """Return whether a known worker can run each waiting task of a job.

        :param job: job with waiting tasks.
        """
        return (
            job.ticket not in self.unplaceable_since
            or not self.impossible_tasks(job)
        )

    def impossible_tasks(self, job: Job) -> list[UnplaceableTask]:
        """Return a task of each group that no known worker can run.

        :param job: job with waiting tasks.
        """
        reasons = [
            (group, self.impossible_reason(group.sample))
            for group in job.groups.values()
            if group.requests
        ]
        return [
            UnplaceableTask(group.requests[0], reason)
            for group, reason in reasons
            if reason
        ]

    def impossible_reason(self, request: Request) -> str:
        """Return why a task can never run, or an empty string if it can.

        :param request: request of the task.
        """
        need = self.need(request)
        quota = self.queues.team(request.team).limits.quota
        if need.cores > quota:
            return (
                f'needs {need.cores:g} cores; team {request.team!r} has'
                f' a quota of {quota:g}'
            )
        if self.fits_known_worker(need):
            return ''
        return (
            f'needs {need.cores:g} cores, {need.memory:g} MB and'
            f' {need.accelerators} accelerators; no worker has that much'
        )
