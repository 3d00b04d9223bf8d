"""Headroom: cores that large jobs leave free for short ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.placement.queued_jobs import Standing

#: Number of tasks from which a job has to leave headroom.
MIN_LARGE_JOB_TASKS = 20

#: Factor on the target response time after which a waiting job leaves no
#: headroom any more.
MAX_WAIT_FACTOR = 2.0


class HeadroomLevel(NamedTuple):
    """The headroom that jobs of a given amount of work leave."""

    #: Least work of the job, in seconds of the whole capacity.
    min_work: float
    #: Fraction of the cores of each worker that stays free.
    fraction: float


#: Headroom by work, in descending order of work.
HEADROOM_LEVELS = (
    HeadroomLevel(min_work=0.3, fraction=0.5),  # noqa: WPS432
    HeadroomLevel(min_work=0.1, fraction=0.25),  # noqa: WPS432
    HeadroomLevel(min_work=0.02, fraction=0.2),  # noqa: WPS432
)


def headroom_fraction(standing: Standing, now: float) -> float:
    """Return the fraction of the cores of each worker that a job leaves free.

    A large job that fills all workers leaves no room until its first tasks
    end, and takes that room again. Headroom therefore grows with the work of
    the job. It shrinks while the job waits, which prevents starvation.

    :param standing: standing of the job in its queue.
    :param now: current time in seconds.
    """
    for level in HEADROOM_LEVELS:
        if standing.headroom_work >= level.min_work:
            return level.fraction * remaining_fraction(standing, now)
    return 0


def remaining_fraction(standing: Standing, now: float) -> float:
    """Return the fraction of its headroom that a job still leaves, 1 to 0.

    :param standing: standing of the job in its queue.
    :param now: current time in seconds.
    """
    waited = now - standing.queued_at
    target = standing.deadline - standing.queued_at
    if target <= 0:
        return 0
    return max(1 - waited / (MAX_WAIT_FACTOR * target), 0)
