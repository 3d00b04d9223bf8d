"""Tasks that wait, by team and job, with fair share and quotas."""

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

#: Part of a quota that is split evenly; the rest follows demand.
EVEN_FRACTION = 0.5

#: Used for a team without a record of its own.
NO_QUOTA = float('inf')


class TeamLimits(NamedTuple):
    """What operators grant a team."""

    #: Share of the room when teams compete, relative to other teams.
    weight: float = 1.0
    #: Cores that may run at once, over all entries.
    quota: float = NO_QUOTA


class Team:
    """The jobs of one team that wait, and what of it runs.

    :param name: of the team.
    """

    def __init__(self, name: str) -> None:
        """Begin with nothing queued."""
        self.name = name
        self.limits = TeamLimits()
        #: Work done over weight; the team with the least goes first.
        self.virtual_time: float = 0
        #: Cores that are reserved for running tasks.
        self.running_cores: float = 0
        #: Tasks that run.
        self.outstanding = 0
        #: Part of the quota that this entry may use.
        self.quota_fraction = 1.0
        self.queued = 0
        self.jobs: list[tuple[tuple[float, int], Job]] = []

    def within_quota(self, need: Need) -> bool:
        """Return whether one more task stays within the quota.

        A task that exceeds this entry's part but not the quota runs alone.

        :param need: the estimate for the task.
        """
        quota = self.limits.quota
        if self.running_cores + need.cores <= quota * self.quota_fraction:
            return True
        return not self.outstanding and need.cores <= quota

    def has_quota(self) -> bool:
        """Return whether some of the quota is left."""
        return self.running_cores < self.limits.quota * self.quota_fraction

    def urgency(self) -> tuple[float, int]:
        """Return where the most urgent job stands; something waits."""
        return self.jobs[0][0]

    def candidates(
        self, learner: Learner, jobs: int, admits: Callable[[Job], bool]
    ) -> Iterator[tuple[Job, Group]]:
        """Yield groups in the order in which they should be placed.

        :param learner: estimates run times.
        :param jobs: that are looked at.
        :param admits: returns whether a job is one of these.
        """
        admitted = (job for _, job in self.jobs if admits(job))
        for job in tuple(itertools.islice(admitted, jobs)):
            for group in job.longest_first(learner):
                yield job, group

    def add(self, job: Job) -> None:
        """Put a job into the order.

        :param job: with tasks that wait.
        """
        bisect.insort(self.jobs, (job.order(), job), key=itemgetter(0))

    def remove(self, job: Job) -> None:
        """Take a job out of the order.

        :param job: one of this team.
        """
        place = bisect.bisect_left(self.jobs, job.order(), key=itemgetter(0))
        if place < len(self.jobs) and self.jobs[place][1] is job:
            self.jobs.pop(place)


class Queues:
    """All tasks that wait at an entry."""

    def __init__(self) -> None:
        """Begin with nothing queued."""
        self.teams: dict[str, Team] = {}
        #: Teams that have queued tasks.
        self.active: dict[str, Team] = {}
        self.jobs: dict[str, Job] = {}
        self.queued = 0
        #: Part of the quotas of teams that have not been seen yet.
        self.quota_fraction: float = 1
        #: Virtual time of the team that was served last.
        self.virtual_time: float = 0
        self.sequence = itertools.count()

    def team(self, name: str) -> Team:
        """Return a team, which need not have been seen before.

        :param name: of the team.
        """
        team = self.teams.get(name)
        if team is None:
            team = Team(name)
            team.quota_fraction = self.quota_fraction
            self.teams[name] = team
        return team

    def make_job(self, requests: Sequence[Request]) -> Job:
        """Make a job that is not queued yet.

        :param requests: at least one, all of one job.
        """
        return Job(requests, next(self.sequence))

    def insert(self, job: Job, standing: Standing) -> None:
        """Queue a job.

        :param job: with tasks that wait.
        :param standing: where the job stands in the order of its team.
        """
        job.standing = standing
        self.jobs[job.ticket] = job
        team = self.team(job.team)
        if not team.queued:
            # A team does not save up shares while it has nothing to run.
            team.virtual_time = max(team.virtual_time, self.virtual_time)
        team.add(job)
        self.active[team.name] = team
        team.queued += job.queued
        self.queued += job.queued

    def put_back(self, request: Request, standing: Standing) -> None:
        """Queue a task again, before the others of its job.

        :param request: a task that was not started.
        :param standing: used if no other task of the job waits.
        """
        job = self.jobs.get(request.ticket)
        if job is None:
            rest = self.make_job((request,))
            rest.has_begun = True
            self.insert(rest, standing)
            return
        job.group(request).requests.appendleft(request)
        self.adjust_queued(job, 1)

    def reorder(self, job: Job, standing: Standing) -> None:
        """Give a job another place in the order.

        :param job: one that is queued.
        :param standing: the new place.
        """
        team = self.team(job.team)
        team.remove(job)
        job.standing = standing
        team.add(job)

    def pop_task(self, job: Job, group: Group) -> Request:
        """Take the first task out of a group.

        :param job: that the group belongs to.
        :param group: with at least one task.
        """
        request = group.requests.popleft()
        job.has_begun = True
        if job.standing.is_late:
            # What has begun goes on first, so that it is not left in part.
            self.reorder(job, job.standing._replace(is_late=False))
        self.adjust_queued(job, -1)
        if not job.queued:
            self.remove_job(job)
        return request

    def adjust_queued(self, job: Job, change: int) -> None:
        """Change the number of tasks that wait.

        :param job: whose tasks they are.
        :param change: by how many.
        """
        job.queued += change
        self.queued += change
        team = self.teams[job.team]
        team.queued += change
        if not team.queued:
            self.active.pop(job.team, None)

    def remove_job(self, job: Job) -> None:
        """Drop a job.

        :param job: one that is queued.
        """
        self.jobs.pop(job.ticket)
        self.team(job.team).remove(job)

    def cancel(self, ticket: str) -> int:
        """Drop the tasks of a job and return how many there were.

        :param ticket: of the job.
        """
        job = self.jobs.get(ticket)
        if job is None:
            return 0
        dropped = job.queued
        self.adjust_queued(job, -dropped)
        self.remove_job(job)
        return dropped

    def find(self, key: Key) -> tuple[Job, Group, Request] | None:
        """Return a task that is queued, with where it is.

        :param key: of the task.
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
        """Take a task out of the queue, wherever it stands.

        :param key: of the task.
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
        """Return the jobs by the service of their tasks, in their order."""
        found: dict[str, list[Job]] = {}
        for team in self.active.values():
            for _, job in team.jobs:
                found.setdefault(job.service, []).append(job)
        return found

    def demand(self) -> dict[str, float]:
        """Return for each team with work the tasks that wait or run."""
        return {
            team.name: float(team.queued + team.outstanding)
            for team in self.teams.values()
            if team.queued or team.outstanding
        }

    def split_quotas(self, entries: int, others: dict[str, float]) -> None:
        """Set this entry's part of each quota.

        Half of a quota is split evenly among the entries. The other half
        follows demand, as far as the demand at the other entries is known.
        The parts add up to the quota once all entries know the same.

        :param entries: number of live entries, this one included.
        :param others: for each team its demand at the other entries.
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
