"""Decides which queued task starts at which side, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from jackdawridge.placement.admission import QueueBounds
from jackdawridge.placement.policies import POLICIES, Policy
from jackdawridge.placement.queues import TeamLimits
from jackdawridge.placement.request import (
    NO_OBJECTIVE,
    Impossible,
    Key,
    Objective,
    Overload,
)
from jackdawridge.placement.rounds import (
    NO_PLACEMENT_LIMIT,
    PlacementPass,
    RoomRequests,
)
from jackdawridge.placement.tracking import AssignmentTracker
from jackdawridge.placement.triage import Triage

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jackdawridge.config import Settings
    from jackdawridge.execution.messages import Offer
    from jackdawridge.placement.queued_jobs import Job
    from jackdawridge.placement.request import Placement, Request

#: Wait after which a task that fits no worker fails, in seconds.
IMPOSSIBLE_AFTER = 3.0

#: Time between two looks at the tasks that run, in seconds.
CHECK_INTERVAL = 0.25


class Placer(AssignmentTracker):
    """Holds the queues and the view of the sides, and joins them.

    :param policy: chooses the side of a task.
    :param bounds: of the queues.
    """

    def __init__(self, policy: Policy, bounds: QueueBounds) -> None:
        """Begin without sides and tasks."""
        super().__init__(policy, bounds)
        self.checked_at = float('-inf')
        #: Tickets of jobs with a task that fits no worker.
        self.unplaceable_since: dict[str, float] = {}
        #: Sides that offered room, with the task that waits for it.
        self.offers: list[tuple[str, Key]] = []
        self.room_requests = RoomRequests()
        self.triage = Triage(self)

    @classmethod
    def from_config(cls, settings: Settings, seed: str = '') -> Placer:
        """Make a placer as the settings ask.

        :param settings: of an entry.
        :param seed: of random choices.
        """
        policy = POLICIES[settings.text('policy')](seed)
        placer = cls(policy, QueueBounds(settings.integer('queue_limit')))
        placer.ramp_time = settings.number('ramp_time')
        return placer

    def set_limits(self, team: str, limits: TeamLimits) -> None:
        """Change what a team is granted.

        :param team: name of the team.
        :param limits: its weight and quota.
        """
        self.queues.team(team).limits = limits

    def entries_changed(self, entries: int, others: dict[str, float]) -> None:
        """Split quotas anew among the entries.

        :param entries: number of live entries, this one included.
        :param others: for each team its demand at the other entries.
        """
        self.queues.split_quotas(max(entries, 1), others)

    def enqueue(
        self,
        requests: Sequence[Request],
        now: float,
        objective: Objective = NO_OBJECTIVE,
    ) -> Result[int, Overload]:
        """Queue all tasks of a job, or none of them.

        :param requests: at least one, all of one job and team.
        :param now: current time in seconds.
        :param objective: for the response time of the job.
        """
        first = requests[0]
        team = self.queues.team(first.team)
        overload = self.bounds.check(self.queues, team, len(requests))
        if overload is not None:
            return Err(overload)
        self.take_in(self.queues.make_job(requests), now, objective)
        return Ok(len(requests))

    def take_in(self, job: Job, queued_at: float, objective: Objective) -> None:
        """Queue a job whatever else waits.

        :param job: that was made just now.
        :param queued_at: when it arrived, in seconds.
        :param objective: for its response time.
        """
        if objective != NO_OBJECTIVE:
            self.triage.has_objectives = True
        if any(
            self.impossible_reason(group.sample)
            for group in job.groups.values()
        ):
            self.unplaceable_since[job.ticket] = queued_at
        self.queues.insert(job, self.standing(job, queued_at, objective))

    def overload(self, reason: str) -> Overload:
        """Return the refusal of a job for which an entry has no memory.

        :param reason: for the caller.
        """
        return Overload(self.bounds.retry_after(self.queues.queued), reason)

    def cancel(self, ticket: str) -> int:
        """Drop the queued tasks of a job and return how many there were.

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

        The placements are reserved at once. The caller sends them and reports
        the numbers of their batches by `sent`.

        :param now: current time in seconds.
        :param limit: number of placements from which on no more are begun;
            some more may follow.
        """
        self.look_if_due(now)
        if not self.queues.queued:
            return ()
        current = PlacementPass(self, now, limit)
        for side_id, key in self.offers:
            current.place_offered(side_id, key)
        self.offers.clear()
        current.run()
        # An entry that decides for others knows what each side has.
        may_ask = self.policy.knows_room and not self.is_joint
        if self.queues.queued and may_ask and not current.is_full():
            self.room_requests.run(current)
        return tuple(current.placements)

    def look_if_due(self, now: float) -> None:
        """Look at the tasks that run, now and then.

        :param now: current time in seconds.
        """
        if self.is_check_due(now):
            self.checked_at = now
            self.check_running()

    def is_check_due(self, now: float) -> bool:
        """Return whether it is time to look at the tasks that run.

        :param now: current time in seconds.
        """
        return now - self.checked_at >= CHECK_INTERVAL

    def has_work(self, now: float) -> bool:
        """Return whether `place` has something to do.

        :param now: current time in seconds.
        """
        return self.queues.queued > 0 or self.is_check_due(now)

    def offer_received(self, side_id: str, offer: Offer, now: float) -> None:
        """Take in room that a side holds for this entry.

        :param side_id: identifier of the side.
        :param offer: room that the side holds.
        :param now: current time in seconds.
        """
        super().offer_received(side_id, offer, now)
        self.offered += 1
        waiting = self.room_requests.pop_answered(side_id)
        if waiting is not None:
            self.offers.append((side_id, waiting))

    def expire(self, now: float) -> tuple[Impossible, ...]:
        """Return the tasks that no known worker can run; the caller cancels.

        :param now: current time in seconds.
        """
        impossible: list[Impossible] = []
        for ticket, since in tuple(self.unplaceable_since.items()):
            if now - since < IMPOSSIBLE_AFTER or not self.known_workers:
                continue
            self.unplaceable_since.pop(ticket)
            job = self.queues.jobs.get(ticket)
            if job is not None:
                impossible.extend(self.impossible_tasks(job))
        return tuple(impossible)

    def impossible_tasks(self, job: Job) -> list[Impossible]:
        """Return a task of each group that no known worker can run.

        :param job: job with waiting tasks.
        """
        reasons = [
            (group, self.impossible_reason(group.sample))
            for group in job.groups.values()
            if group.requests
        ]
        return [
            Impossible(group.requests[0], reason)
            for group, reason in reasons
            if reason
        ]

    def impossible_reason(self, request: Request) -> str:
        """Return why a task can never run, or an empty text.

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
