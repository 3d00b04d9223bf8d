"""Selects the waiting jobs to shed if not all can start in time.

If overload were only handled once jobs are late, callers would learn late what
was known on arrival, and chance would decide which jobs are served.
"""

from __future__ import annotations

import heapq
import itertools
import math
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.lateness import ShedJob, shedding_order

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from jackdawridge.placement.queued_jobs import Job

#: Fraction by which a predicted wait is extended per step of priority. Less
#: important jobs are shed earlier, which leaves room for important jobs that
#: arrive later; `test_shedding` replays such a load.
WAIT_MARGIN_PER_PRIORITY = 0.5
#: Number of steps of priority that are distinguished here.
MAX_PRIORITY_STEPS = 4
#: Fraction of the whole capacity that counts as 0.
ROUNDING_TOLERANCE = 1e-9
#: Time in seconds after a side has joined during which no job is shed: sides
#: link one after the other, some 0.1 s apart.
SETTLING_TIME = 0.3
#: Number of releases that model the room an entry gets from others.
MODELLED_RELEASES = 8


class Release(NamedTuple):
    """Capacity that becomes free at a known time."""

    at: float
    #: Fraction of the whole capacity.
    share: float
    #: Ticket of the waiting job that will have used it; empty if a running
    #: task uses it now.
    ticket: str = ''


class Forecast:
    """Predicts the start times of jobs that are placed in order.

    :param releases: capacity that running tasks will free.
    :param now: current time in seconds.
    :param horizon: time in seconds after which no start is in time. A job that
        starts later is not followed any further, so that the effort does not
        grow with its size.
    """

    def __init__(
        self,
        releases: Iterable[Release],
        now: float,
        horizon: float,
    ) -> None:
        """Initialise without free capacity."""
        self.releases = list(releases)
        heapq.heapify(self.releases)
        self.now = now
        self.horizon = horizon
        self.free: float = 0
        #: Fraction of the capacity that each job uses at that time, by ticket.
        self.reserved: dict[str, float] = {}

    def place(self, job: Job) -> float:
        """Add a job to the forecast and return when its last task starts.

        Returns a time after the horizon if it starts later than that.

        :param job: next job in the order of placement.
        """
        standing = job.standing
        self.reserved[job.ticket] = 0
        if not standing.share:
            return self.now
        missing = standing.share * job.queued / job.size
        run_time = standing.total_work / standing.share
        while missing > ROUNDING_TOLERANCE and self.now <= self.horizon:
            taken = min(self.free, missing)
            if taken > ROUNDING_TOLERANCE:
                self.free -= taken
                missing -= taken
                self.reserved[job.ticket] += taken
                end = Release(self.now + run_time, taken, job.ticket)
                heapq.heappush(self.releases, end)
            elif not self.advance():
                # It is unknown when more capacity becomes free.
                break
        return self.now

    def advance(self) -> bool:
        """Move on to the next release and return whether there was one."""
        if not self.releases:
            return False
        release = heapq.heappop(self.releases)
        if release.ticket:
            if release.ticket not in self.reserved:
                return True
            self.reserved[release.ticket] -= release.share
        self.now = max(self.now, release.at)
        self.free += release.share
        return True

    def withdraw(self, job: Job) -> None:
        """Free the capacity of a job for those that follow.

        :param job: job that was added to the forecast and is shed.
        """
        self.free += self.reserved.pop(job.ticket)


def find_excess(
    jobs: Iterable[Job], now: float, releases: Iterable[Release]
) -> list[ShedJob]:
    """Return the jobs to shed so that the others can start in time.

    Call this when there is no room for the waiting jobs. Simulates their
    placement in order. Where a job would start too late, the newest of the
    least important jobs so far is shed. A job that has started is kept.

    :param jobs: waiting jobs in the order of placement.
    :param now: current time in seconds.
    :param releases: capacity that becomes free for these jobs.
    """
    excess: list[ShedJob] = []
    candidates: list[tuple[tuple[float, ...], Job]] = []
    # Late jobs sort last and take no room from those that can be in time.
    in_time = list(itertools.takewhile(can_be_in_time, jobs))
    forecast = Forecast(releases, now, last_deadline(in_time))
    for job in in_time:
        wait = forecast.place(job) - now
        if math.isinf(job.standing.expires_at):
            continue
        if not job.has_begun:
            heapq.heappush(candidates, (shedding_order(job), job))
        limit = job.standing.deadline - now
        if candidates and wait * wait_margin(job.standing.priority) > limit:
            victim = heapq.heappop(candidates)[1]
            forecast.withdraw(victim)
            # The reason names the wait of the job that would have been late.
            reason = (
                f'no room in time, expected wait {wait:.3f} s with'
                f' {limit:.3f} s left'
            )
            excess.append(ShedJob(victim, reason))
    return excess


def last_deadline(jobs: Iterable[Job]) -> float:
    """Return the last of the deadlines of jobs, in seconds.

    :param jobs: waiting jobs.
    """
    return max((job.standing.deadline for job in jobs), default=0)


def can_be_in_time(job: Job) -> bool:
    """Return whether a job has not been demoted as late.

    :param job: a waiting job.
    """
    return not job.standing.is_late


def wait_margin(priority: int) -> float:
    """Return the safety factor on the predicted wait of a job.

    :param priority: priority of the job; 0 is the most important.
    """
    return 1 + WAIT_MARGIN_PER_PRIORITY * min(
        max(priority, 0), MAX_PRIORITY_STEPS
    )


def spread_releases(
    jobs: Iterable[Job], now: float, share: float
) -> Iterator[Release]:
    """Yield releases of room used by others, spread over the mean run time.

    :param jobs: waiting jobs, whose mean run time is used.
    :param now: current time in seconds.
    :param share: fraction of the whole capacity that becomes free in total.
    """
    waiting = [job.standing for job in jobs]
    work = sum(standing.total_work for standing in waiting)
    taken = sum(standing.share for standing in waiting)
    run_time = work / taken if taken else 0
    for number in range(MODELLED_RELEASES):
        at = now + run_time * (number + 1) / MODELLED_RELEASES
        yield Release(at, share / MODELLED_RELEASES)
