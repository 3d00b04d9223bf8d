"""Demotes late jobs, which can no longer meet their objective.

In the order of deadlines late jobs would go first during a burst, and make
all jobs behind them late as well. They only get room that no other job uses,
and are shed if there is none.
"""

from __future__ import annotations

import bisect
import math
from operator import itemgetter
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.queued_jobs import LATE_ORDER_OFFSET

if TYPE_CHECKING:
    from jackdawridge.placement.queued_jobs import Job
    from jackdawridge.placement.queues import Queues, Team

#: Factor on the target response time up to which an answer is of use to its
#: caller, as the users of the system define it.
MAX_USEFUL_FACTOR = 3.0


class ShedJob(NamedTuple):
    """A queued job that is shed, with the reason."""

    job: Job
    reason: str


def demote_late_jobs(queues: Queues, now: float) -> tuple[ShedJob, ...]:
    """Move late jobs behind all others and return those that have expired.

    :param queues: queues of this entry.
    :param now: current time in seconds.
    """
    waiting = [
        job
        for team in queues.active.values()
        for job in overdue_jobs(team, now) + demoted_jobs(team)
    ]
    for late in waiting:
        if not late.has_begun and not late.standing.is_late:
            demote(queues, late)
    return tuple(
        ShedJob(expired, 'an answer would be too late')
        for expired in waiting
        if now >= expired.standing.expires_at
    )


def find_late_jobs(queues: Queues) -> tuple[ShedJob, ...]:
    """Return late jobs for which there is no room.

    Call this after a placement pass. Jobs of which a task has started are
    left out.

    :param queues: queues of this entry.
    """
    return tuple(
        ShedJob(job, 'no room in time')
        for team in queues.active.values()
        for job in demoted_jobs(team)
        if not job.has_begun
    )


def shedding_order(job: Job) -> tuple[float, ...]:
    """Return the sort key by which jobs are shed, the least important first.

    :param job: a waiting job.
    """
    standing = job.standing
    return (-standing.priority, -standing.queued_at, -job.sequence)


def demoted_jobs(team: Team) -> list[Job]:
    """Return the jobs of a team that were moved behind the others.

    Demoted jobs are at the end of the order and found by bisection, since
    this is called in each turn that places tasks.

    :param team: team with waiting jobs.
    """
    first = bisect.bisect_left(
        team.jobs, (LATE_ORDER_OFFSET, 0), key=itemgetter(0)
    )
    return [job for _, job in team.jobs[first:] if job.standing.is_late]


def overdue_jobs(team: Team, now: float) -> list[Job]:
    """Return jobs of a team that are past their latest start.

    Leaves out jobs that were demoted and jobs without an objective.

    :param team: team with waiting jobs.
    :param now: current time in seconds.
    """
    found: list[Job] = []
    for order, job in team.jobs:
        if order[0] >= now:
            break
        if math.isfinite(job.standing.expires_at):
            found.append(job)
    return found


def demote(queues: Queues, job: Job) -> None:
    """Move a job behind all jobs that can meet their objective.

    :param queues: queues that hold the job.
    :param job: job that is late or will be.
    """
    queues.reorder(job, job.standing._replace(is_late=True))
