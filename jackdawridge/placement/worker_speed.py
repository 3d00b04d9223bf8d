"""Which jobs may go to workers of a slower kind.

Workers differ by kind, for good: one that takes 1.3 times as long leaves a job
hardly any time to wait if it has to be answered within 1.6 times its ideal. So
what has waited goes to the faster workers, and the slower ones get what has
come just now. `test_pace` replays the load that this is for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.placement.request import NO_OBJECTIVE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.placement.queued_jobs import Standing
    from jackdawridge.placement.view import Side

#: Pace up to which a side counts as one of the faster kind: paces are known to
#: some hundredths, over those of the fastest quarter.
MAX_FAST_FACTOR = 1.15
#: Factor on the expected run time of a job that has to be left when it starts:
#: its tasks differ by some 15%, and slower workers take up to 25% longer.
START_MARGIN = 1.2


def split_by_pace(sides: Iterable[Side]) -> tuple[list[Side], list[Side]]:
    """Return the sides of the faster kind, and the others.

    :param sides: in any order.
    """
    fast: list[Side] = []
    slow: list[Side] = []
    for side in sides:
        (fast if side.pace <= MAX_FAST_FACTOR else slow).append(side)
    return fast, slow


def may_start(standing: Standing, pace: float, now: float) -> bool:
    """Return whether a job can be in time at a side, or need not be.

    A job that is late even at the faster sides takes what there is.

    :param standing: of the job.
    :param pace: of the side.
    :param now: the time.
    """
    if standing.is_late or standing.objective == NO_OBJECTIVE:
        return True
    margin = standing.longest_run_time * START_MARGIN
    latest = standing.deadline - margin * (pace - 1)
    hopeless_from = standing.deadline + margin - standing.longest_run_time
    return now <= latest or now > hopeless_from
