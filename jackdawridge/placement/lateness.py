"""Jobs that can no longer be in time.

Under a burst they would otherwise go first, since their turn came first, and
make all that follow late as well. They take what room no other job uses, and
are given up where there is none.
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

#: Objectives up to which an answer is of some use to its caller, by the rules
#: of the users.
MAX_USEFUL_FACTOR = 3.0


class RejectedJob(NamedTuple):
    """A job that is given up."""

    job: Job
    reason: str


def demote_late_jobs(queues: Queues, now: float) -> tuple[RejectedJob, ...]:
    """Move late jobs behind the others and return the useless ones.

    :param queues: everything that is queued.
    :param now: the time.
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
        RejectedJob(rejected, 'an answer would be too late')
        for rejected in waiting
        if now >= rejected.standing.expires_at
    )


def find_late(queues: Queues) -> tuple[RejectedJob, ...]:
    """Return the jobs that are late and found no room.

    To be called when all that there is room for was placed.

    :param queues: everything that is queued.
    """
    return tuple(
        RejectedJob(job, 'no room in time')
        for team in queues.active.values()
        for job in demoted_jobs(team)
        if not job.has_begun
    )


def shedding_order(job: Job) -> tuple[float, ...]:
    """Return the place of a job when the least important goes first.

    :param job: that waits.
    """
    standing = job.standing
    return (-standing.priority, -standing.queued_at, -job.sequence)


def demoted_jobs(team: Team) -> list[Job]:
    """Return the jobs of a team that were put behind the others.

    They are at the end of the order, so that the others are not looked at:
    this is called in each turn in which something is placed.

    :param team: whose jobs wait.
    """
    first = bisect.bisect_left(
        team.jobs, (LATE_ORDER_OFFSET, 0), key=itemgetter(0)
    )
    return [job for _, job in team.jobs[first:] if job.standing.is_late]


def overdue_jobs(team: Team, now: float) -> list[Job]:
    """Return the jobs of a team that cannot be answered in time any more.

    Those that were put behind the others are not among them.

    :param team: whose jobs wait.
    :param now: the time.
    """
    found: list[Job] = []
    for order, job in team.jobs:
        if order[0] >= now:
            break
        if math.isfinite(job.standing.expires_at):
            found.append(job)
    return found


def demote(queues: Queues, job: Job) -> None:
    """Give a job a place behind all that can be in time.

    :param queues: where it waits.
    :param job: that is late, or will be.
    """
    queues.reorder(job, job.standing._replace(is_late=True))
