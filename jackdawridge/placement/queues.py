"""Queues of waiting tasks by team and job, with fair shares and quotas."""

from __future__ import annotations

import bisect
import itertools
from operator import itemgetter
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.queued_jobs import Job

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from jackdawridge.placement.learning import Learner, Need
    from jackdawridge.placement.queued_jobs import Group, Standing
    from jackdawridge.placement.request import Key, Request

#: Fraction of a quota that is split evenly among the entries; the rest is
#: split by demand.
EVEN_FRACTION = 0.5

#: Quota of a team without a configured one.
NO_QUOTA = float('inf')


class TeamLimits(NamedTuple):
    """Weight and quota of a team, as operators configure them."""

    #: Weight of the fair share of the team when teams compete.
    weight: float = 1.0
    #: Number of cores in use at a time, over all entries.
    quota: float = NO_QUOTA


class Team:
    """The waiting jobs of one team, and the usage of its running tasks.

    :param name: name of the team.
    """

    def __init__(self, name: str) -> None:
        """Initialise an empty queue."""
        self.name = name
        self.limits = TeamLimits()
        #: Work placed, divided by the weight; the team with the lowest value
        #: is served first.
        self.virtual_time: float = 0
        #: Number of cores reserved for running tasks.
        self.running_cores: float = 0
        #: Number of running tasks.
        self.outstanding = 0
        #: Fraction of the quota that this entry may use.
        self.quota_fraction = 1.0
        self.queued = 0
        self.jobs: list[tuple[tuple[float, int], Job]] = []

    def within_quota(self, need: Need) -> bool:
        """Return whether a further task stays within the quota.

        A task that exceeds the fraction of this entry but not the whole quota
        may run if no other task of the team does.

        :param need: estimated need of the task.
        """
        quota = self.limits.quota
        if self.running_cores + need.cores <= quota * self.quota_fraction:
            return True
        return not self.outstanding and need.cores <= quota

    def has_quota(self) -> bool:
        """Return whether the quota at this entry is not used up."""
        return self.running_cores < self.limits.quota * self.quota_fraction

    def urgency(self) -> tuple[float, int]:
        """Return the sort key of the most urgent job.

        The team must have a waiting job.
        """
        return self.jobs[0][0]

    def candidates(
        self, learner: Learner, jobs: int, admits: Callable[[Job], bool]
    ) -> Iterator[tuple[Job, Group]]:
        """Yield jobs and their groups in the order of placement.

        :param learner: estimates run times.
        :param jobs: maximum number of jobs.
        :param admits: returns whether a job takes part.
        """
        admitted = (job for _, job in self.jobs if admits(job))
        for job in tuple(itertools.islice(admitted, jobs)):
            for group in job.longest_first(learner):
                yield job, group

    def add(self, job: Job) -> None:
        """Insert a job into the queue by its order.

        :param job: job with waiting tasks.
        """
        bisect.insort(self.jobs, (job.order(), job), key=itemgetter(0))

    def remove(self, job: Job) -> None:
        """Remove a job from the queue if it is there.

        :param job: job of this team.
        """
        place = bisect.bisect_left(self.jobs, job.order(), key=itemgetter(0))
        if place < len(self.jobs) and self.jobs[place][1] is job:
            self.jobs.pop(place)


class Queues:
    """All waiting tasks of an entry."""

    def __init__(self) -> None:
        """Initialise empty queues."""
        self.teams: dict[str, Team] = {}
        #: Teams with queued tasks.
        self.active: dict[str, Team] = {}
        self.jobs: dict[str, Job] = {}
        self.queued = 0
        #: Fraction of the quota that a team gets when it is first seen.
        self.quota_fraction: float = 1
        #: Lowest virtual time among the teams at the last turn.
        self.virtual_time: float = 0
        self.sequence = itertools.count()

    def team(self, name: str) -> Team:
        """Return a team, and create it if it is not known.

        :param name: name of the team.
        """
        team = self.teams.get(name)
        if team is None:
            team = Team(name)
            team.quota_fraction = self.quota_fraction
            self.teams[name] = team
        return team

    def make_job(self, requests: Sequence[Request]) -> Job:
        """Return a new job without queueing it.

        :param requests: requests of the tasks of one job, at least one.
        """
        return Job(requests, next(self.sequence))

    def insert(self, job: Job, standing: Standing) -> None:
        """Queue a job.

        :param job: job with waiting tasks.
        :param standing: standing of the job, which determines its order.
        """
        job.standing = standing
        self.jobs[job.ticket] = job
        team = self.team(job.team)
        if not team.queued:
            # An idle team accumulates no claim to a larger share.
            team.virtual_time = max(team.virtual_time, self.virtual_time)
        team.add(job)
        self.active[team.name] = team
        team.queued += job.queued
        self.queued += job.queued

    def requeue(self, request: Request, standing: Standing) -> None:
        """Requeue a task before the others of its job.

        :param request: request of a task that is not running.
        :param standing: standing of the job, used if none of its tasks waits.
        """
        job = self.jobs.get(request.ticket)
        if job is None:
            remainder = self.make_job((request,))
            remainder.has_begun = True
            self.insert(remainder, standing)
            return
        job.group(request).requests.appendleft(request)
        self.adjust_queued(job, 1)

    def reorder(self, job: Job, standing: Standing) -> None:
        """Change the standing of a job, and thus its order.

        :param job: a queued job.
        :param standing: new standing of the job.
        """
        team = self.team(job.team)
        team.remove(job)
        job.standing = standing
        team.add(job)

    def pop_task(self, job: Job, group: Group) -> Request:
        """Remove the first task of a group and return its request.

        :param job: job that the group belongs to.
        :param group: group with at least one waiting task.
        """
        request = group.requests.popleft()
        job.has_begun = True
        if job.standing.is_late:
            # A started job is completed first, so that its work is not wasted.
            self.reorder(job, job.standing._replace(is_late=False))
        self.adjust_queued(job, -1)
        if not job.queued:
            self.remove_job(job)
        return request

    def adjust_queued(self, job: Job, change: int) -> None:
        """Adjust the counts of waiting tasks.

        :param job: job of the tasks.
        :param change: number of added tasks; negative for removed ones.
        """
        job.queued += change
        self.queued += change
        team = self.teams[job.team]
        team.queued += change
        if not team.queued:
            self.active.pop(job.team, None)

    def remove_job(self, job: Job) -> None:
        """Remove a job without waiting tasks from the queues.

        :param job: a queued job.
        """
        self.jobs.pop(job.ticket)
        self.team(job.team).remove(job)

    def cancel(self, ticket: str) -> int:
        """Remove the waiting tasks of a job and return their number.

        :param ticket: ticket of the job.
        """
        job = self.jobs.get(ticket)
        if job is None:
            return 0
        dropped = job.queued
        self.adjust_queued(job, -dropped)
        self.remove_job(job)
        return dropped

    def find(self, key: Key) -> tuple[Job, Group, Request] | None:
        """Return a queued task with its job and group, or None.

        :param key: key of the task.
        """
        job = self.jobs.get(key[0])
        if job is None:
            return None
        for group in job.groups.values():
            for request in group.requests:
                if request.task == key[1]:
                    return job, group, request
        return None

    def extract(self, key: Key) -> tuple[Job, Request] | None:
        """Remove a task and return it with its job, or None if not queued.

        :param key: key of the task.
        """
        found = self.find(key)
        if found is None:
            return None
        job, group, request = found
        group.requests.remove(request)
        self.adjust_queued(job, -1)
        if not job.queued:
            self.remove_job(job)
        return job, request

    def jobs_by_service(self) -> dict[str, list[Job]]:
        """Return the waiting jobs by service, in the order of each team."""
        found: dict[str, list[Job]] = {}
        for team in self.active.values():
            for _, job in team.jobs:
                found.setdefault(job.service, []).append(job)
        return found

    def demand(self) -> dict[str, float]:
        """Return the number of waiting and running tasks of each team.

        Teams without any are left out.
        """
        return {
            team.name: float(team.queued + team.outstanding)
            for team in self.teams.values()
            if team.queued or team.outstanding
        }

    def split_quotas(self, entries: int, others: dict[str, float]) -> None:
        """Set the fraction of each quota that this entry may use.

        Half of a quota is split evenly among the entries. The other half is
        split by demand, as far as the demand at the other entries is known.
        The fractions add up to 1 once all entries have the same information.

        :param entries: number of live entries, including this one.
        :param others: demand at the other entries by team, in tasks.
        """
        own = self.demand()
        self.quota_fraction = 1 / entries
        for team in self.teams.values():
            own_demand = own.get(team.name, 0)
            total_demand = own_demand + others.get(team.name, 0)
            by_demand = 1 / entries
            if others and total_demand:
                by_demand = own_demand / total_demand
            even = EVEN_FRACTION / entries
            team.quota_fraction = even + (1 - EVEN_FRACTION) * by_demand
