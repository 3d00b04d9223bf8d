"""Room that large jobs leave free for short ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.placement.queued_jobs import Standing

#: Tasks of a job from which it has to leave headroom.
MIN_LARGE_JOB_TASKS = 20

#: Time over the aimed response time at which a job leaves nothing free.
MAX_WAIT_FACTOR = 2.0


class HeadroomLevel(NamedTuple):
    """What jobs of some work leave free."""

    #: Least work, in seconds of the whole room.
    min_work: float
    #: Part of each worker's cores.
    fraction: float


#: Levels, the least work last.
HEADROOM_LEVELS = (
    HeadroomLevel(min_work=0.3, fraction=0.5),  # noqa: WPS432
    HeadroomLevel(min_work=0.1, fraction=0.25),  # noqa: WPS432
    HeadroomLevel(min_work=0.02, fraction=0.2),  # noqa: WPS432
)


def headroom_fraction(standing: Standing, now: float) -> float:
    """Return the part of each worker's cores that a job leaves free.

    A large job that fills everything leaves no room until its first tasks
    end, and takes that room again. So the more work it is, the more room is
    kept free of it. That fades as the job waits, so that it cannot starve.

    :param standing: of the job.
    :param now: the time.
    """
    for level in HEADROOM_LEVELS:
        if standing.headroom_work >= level.min_work:
            return level.fraction * remaining_fraction(standing, now)
    return 0


def remaining_fraction(standing: Standing, now: float) -> float:
    """Return how much of its headroom a job still leaves, from 1 to 0.

    :param standing: of the job.
    :param now: the time.
    """
    waited = now - standing.queued_at
    aimed = standing.deadline - standing.queued_at
    if aimed <= 0:
        return 0
    return max(1 - waited / (MAX_WAIT_FACTOR * aimed), 0)
