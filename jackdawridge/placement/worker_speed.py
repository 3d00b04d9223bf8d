"""Keeps jobs that have waited away from slow kinds of workers.

Some workers are permanently slower than others. A worker that takes 1.3 times
as long leaves hardly any queueing time to a job that has to be answered within
1.6 times its ideal response time. Jobs that have waited therefore go to the
fast workers, and slow workers get jobs that have just arrived.
`test_worker_speed` replays such a load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.placement.request import NO_OBJECTIVE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.placement.queued_jobs import Standing
    from jackdawridge.placement.side_view import Side

#: Run time factor up to which a side counts as fast. Factors are relative to
#: the fastest quarter of the sides and accurate to a few hundredths.
MAX_FAST_FACTOR = 1.15
#: Factor on the expected run time of a job that has to remain until its target
#: when it starts: the run times of its tasks differ by some 15%, and slow
#: workers take up to 25% longer.
START_MARGIN = 1.2


def split_by_speed(sides: Iterable[Side]) -> tuple[list[Side], list[Side]]:
    """Split sides into those with fast workers and the others.

    :param sides: sides in any order.
    :returns: the fast sides and the slow sides.
    """
    fast: list[Side] = []
    slow: list[Side] = []
    for side in sides:
        (fast if side.run_time_factor <= MAX_FAST_FACTOR else slow).append(side)
    return fast, slow


def may_start(standing: Standing, run_time_factor: float, now: float) -> bool:
    """Return whether a job may start at a side of a given speed.

    It may if it can meet its objective there or has none. A job that is late
    even at the fast sides may start anywhere.

    :param standing: standing of the job in its queue.
    :param run_time_factor: run time at the side over that at the fast sides.
    :param now: current time in seconds.
    """
    if standing.is_late or standing.objective == NO_OBJECTIVE:
        return True
    margin = standing.longest_run_time * START_MARGIN
    latest_start = standing.deadline - margin * (run_time_factor - 1)
    late_everywhere_from = (
        standing.deadline + margin - standing.longest_run_time
    )
    return now <= latest_start or now > late_everywhere_from
