"""Jobs that were not placed in time: which wait on, and which are given up.

Under a burst, jobs that can no longer be answered in time would otherwise go
first, since their turn came first, and make all that follow late as well.
"""

from __future__ import annotations

import bisect
import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.placement.queues import Job, Queues, Team

#: Objectives up to which an answer is of some use to its caller, by the rules
#: of the users.
USEFUL_OBJECTIVES = 3.0
#: Work of late jobs that may wait, in seconds of this entry's part of the
#: room. What waits beyond it would hardly be served before it is useless.
LATE_WORK = 0.4
#: Added to the places of late jobs, which come after all others.
LATE_TIER = 1e9


class Useless(NamedTuple):
    """A job that is given up."""

    job: Job
    reason: str


def sort_out(  # noqa: WPS231
    queues: Queues, now: float, part: float
) -> tuple[Useless, ...]:
    """Move late jobs behind the others and return the useless ones.

    :param queues: everything that is queued.
    :param now: the time.
    :param part: of the room that is this entry's.
    """
    useless: list[Useless] = []
    for team in tuple(queues.active.values()):
        late = waiting_late(team)
        missed = overdue(team, now)
        useless.extend(
            Useless(job, 'an answer would be too late')
            for job in missed + late
            if now >= job.standing.useless_from
        )
        room = LATE_WORK * part - sum(map(work_of, late))
        for job in missed:
            if job.has_begun or now >= job.standing.useless_from:
                continue
            room -= work_of(job)
            if room >= 0:
                put_behind(queues, job)
            else:
                useless.append(Useless(job, 'too much work waits'))
    return tuple(useless)


def waiting_late(team: Team) -> list[Job]:
    """Return the jobs of a team that were put behind the others.

    They are at the end of the order, so that the others are not looked at:
    this is called in each turn in which something is placed.

    :param team: whose jobs wait.
    """
    first = bisect.bisect_left(team.jobs, (LATE_TIER, 0), key=order_of)
    return [job for _, job in team.jobs[first:] if job.standing.is_late]


def order_of(entry: tuple[tuple[float, int], Job]) -> tuple[float, int]:
    """Return the place of a job in the order of its team.

    :param entry: of the order.
    """
    return entry[0]


def overdue(team: Team, now: float) -> list[Job]:
    """Return the jobs of a team that cannot be answered in time any more.

    Those that were put behind the others are not among them.

    :param team: whose jobs wait.
    :param now: the time.
    """
    found: list[Job] = []
    for order, job in team.jobs:
        if order[0] >= now:
            break
        if math.isfinite(job.standing.useless_from):
            found.append(job)
    return found


def put_behind(queues: Queues, job: Job) -> None:
    """Let a job wait for room that no other job can use in time.

    :param queues: where it waits.
    :param job: that is late.
    """
    standing = job.standing
    place = LATE_TIER + standing.useless_from
    queues.move(job, standing._replace(deadline=place, is_late=True))


def work_of(job: Job) -> float:
    """Return the work of a job, in seconds of the whole room.

    :param job: that waits.
    """
    return job.standing.whole_work
