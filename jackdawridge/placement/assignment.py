"""A placed task and when it is expected to end."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.placement.learning import Need
    from jackdawridge.placement.queued_jobs import Standing
    from jackdawridge.placement.request import Request


class Assignment(NamedTuple):
    """A task that was placed and has not ended."""

    side_id: str
    request: Request
    need: Need
    #: Placement number, ascending in the order of placement.
    number: int
    placed_at: float
    standing: Standing
    #: Ratio of the run time at the side to that at a fast side; `assign` sets
    #: it.
    run_time_factor: float = 1

    def expected_end(self) -> float:
        """Return the expected time of the end of the task."""
        return self.placed_at + self.need.run_time * self.run_time_factor

    def latest_end(self, factor: float, min_run_time: float) -> float:
        """Return the time after which the task has run too long.

        :param factor: factor on the run time that few tasks exceed.
        :param min_run_time: run time in seconds that is never too long.
        """
        return self.placed_at + max(
            self.need.high_run_time * self.run_time_factor * factor,
            min_run_time,
        )
