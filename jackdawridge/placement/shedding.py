"""Which waiting jobs make way because not all can start in time.

Under a load beyond the room, waiting until a job is late tells its caller
late what was known when it came, and lets chance decide who is served.
"""

from __future__ import annotations

import heapq
import itertools
import math
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.lateness import RejectedJob, shedding_order

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from jackdawridge.placement.queued_jobs import Job

#: Part by which a predicted wait counts as longer for each step of priority.
#: Less important jobs make way sooner, so that room is left for important ones
#: to come; `test_shedding` replays the load that this is for.
MARGIN_STEP = 0.5
#: Steps of priority that are told apart here.
MAX_PRIORITY_STEPS = 4
#: Parts of the whole room that are taken for nothing.
ROUNDING_TOLERANCE = 1e-9
#: Time after a side has joined in which nothing makes way, in seconds: sides
#: link one after the other, some 0.1 s apart.
SETTLING_TIME = 0.3
#: Releases by which the even part of an entry is modelled that uses less.
MODELLED_RELEASES = 8


class Release(NamedTuple):
    """Room that comes free."""

    at: float
    #: Part of the whole room.
    share: float
    #: Of the job that waits now and will have used it, or empty.
    ticket: str = ''


class Forecast:
    """When jobs start that are placed one after the other.

    :param releases: of what runs.
    :param now: the time.
    """

    def __init__(self, releases: Iterable[Release], now: float) -> None:
        """Begin without free room."""
        self.releases = list(releases)
        heapq.heapify(self.releases)
        self.now = now
        self.free: float = 0
        #: Room that jobs hold by then, by ticket.
        self.reserved: dict[str, float] = {}

    def place(self, job: Job) -> float:
        """Return when the last task of a job starts, and let it run.

        :param job: that comes next.
        """
        standing = job.standing
        self.reserved[job.ticket] = 0
        if not standing.share:
            return self.now
        missing = standing.share * job.queued / job.size
        run_time = standing.total_work / standing.share
        while missing > ROUNDING_TOLERANCE:
            taken = min(self.free, missing)
            if taken > ROUNDING_TOLERANCE:
                self.free -= taken
                missing -= taken
                self.reserved[job.ticket] += taken
                end = Release(self.now + run_time, taken, job.ticket)
                heapq.heappush(self.releases, end)
            elif not self.advance():
                # Nothing tells when room comes free.
                break
        return self.now

    def advance(self) -> bool:
        """Go to the next release and return whether there is one."""
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
        """Give the room of a job to those that follow.

        :param job: that was placed and makes way.
        """
        self.free += self.reserved.pop(job.ticket)


def find_excess(
    jobs: Iterable[Job], now: float, releases: Iterable[Release]
) -> list[RejectedJob]:
    """Return the jobs that make way so that the others can start in time.

    To be called when there is no room for what waits. Goes through the jobs
    in the order in which they will be placed; where one would start too late,
    the newest of the least important jobs up to there makes way. A job of
    which something has run is kept.

    :param jobs: that wait, the first one first.
    :param now: the time.
    :param releases: of the room that these jobs get.
    """
    excess: list[RejectedJob] = []
    candidates: list[tuple[tuple[float, ...], Job]] = []
    forecast = Forecast(releases, now)
    # Late jobs come last, and take nothing from those that can be in time.
    for job in itertools.takewhile(can_be_in_time, jobs):
        wait = forecast.place(job) - now
        if math.isinf(job.standing.expires_at):
            continue
        if not job.has_begun:
            heapq.heappush(candidates, (shedding_order(job), job))
        limit = job.standing.deadline - now
        if candidates and wait * wait_margin(job.standing.priority) > limit:
            rejected = heapq.heappop(candidates)[1]
            forecast.withdraw(rejected)
            # The figures are those of the job that would have been late.
            reason = (
                f'no room in time, expected wait {wait:.3f} s with'
                f' {limit:.3f} s left'
            )
            excess.append(RejectedJob(rejected, reason))
    return excess


def can_be_in_time(job: Job) -> bool:
    """Return whether a job was not put behind all others for being late.

    :param job: that waits.
    """
    return not job.standing.is_late


def wait_margin(priority: int) -> float:
    """Return the factor on the predicted wait of a job.

    :param priority: of its queue.
    """
    return 1 + MARGIN_STEP * min(max(priority, 0), MAX_PRIORITY_STEPS)


def spread_releases(
    jobs: Iterable[Job], now: float, share: float
) -> Iterator[Release]:
    """Yield releases of room that others use, over the run time of jobs.

    :param jobs: that wait.
    :param now: the time.
    :param share: part of the whole room.
    """
    waiting = [job.standing for job in jobs]
    work = sum(standing.total_work for standing in waiting)
    taken = sum(standing.share for standing in waiting)
    run_time = work / taken if taken else 0
    for piece in range(MODELLED_RELEASES):
        at = now + run_time * (piece + 1) / MODELLED_RELEASES
        yield Release(at, share / MODELLED_RELEASES)
