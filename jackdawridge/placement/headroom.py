"""Room that large jobs leave free for short ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.placement.queued_jobs import Standing

#: Tasks of a job from which it has to leave headroom.
BULK = 20

#: Time over the aimed response time at which a job leaves nothing free.
FADE = 2.0


class Level(NamedTuple):
    """What jobs of some work leave free."""

    #: Least work, in seconds of the whole room.
    work: float
    #: Part of each worker's cores.
    part: float


#: Levels, the least work last.
LEVELS = (
    Level(work=0.3, part=0.5),  # noqa: WPS432
    Level(work=0.1, part=0.25),  # noqa: WPS432
    Level(work=0.02, part=0.2),  # noqa: WPS432
)


def headroom(standing: Standing, now: float) -> float:
    """Return the part of each worker's cores that a job leaves free.

    A large job that fills everything leaves no room until its first tasks
    end, and takes that room again. So the more work it is, the more room is
    kept free of it. That fades as the job waits, so that it cannot starve.

    :param standing: of the job.
    :param now: the time.
    """
    for level in LEVELS:
        if standing.work >= level.work:
            return level.part * patience(standing, now)
    return 0


def patience(standing: Standing, now: float) -> float:
    """Return how much of its headroom a job still leaves, from 1 to 0.

    :param standing: of the job.
    :param now: the time.
    """
    waited = now - standing.queued_at
    aimed = standing.deadline - standing.queued_at
    if aimed <= 0:
        return 0
    return max(1 - waited / (FADE * aimed), 0)
