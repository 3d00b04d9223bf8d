"""Figures that are computed from what was recorded."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from benchmarks.workload import Job


class Slowdowns:
    """Response times over the ideal ones.

    :param cores: of the fleet.
    :param round_trip: of the messages that no placement can save, in seconds.
    """

    def __init__(self, cores: float, round_trip: float) -> None:
        """Begin without jobs."""
        self.cores = cores
        self.round_trip = round_trip
        self.values: list[float] = []

    def add(self, job: Job, response: float) -> None:
        """Count a job.

        :param job: that is complete.
        :param response: time to its answer, in seconds.
        """
        ideal = self.round_trip + job.ideal_run_time(self.cores)
        self.values.append(response / ideal)


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which a fraction lies; 0 if there is none.

    :param values: in any order.
    :param fraction: from 0 to 1.
    """
    ranked = sorted(values)
    if not ranked:
        return 0
    return ranked[min(int(fraction * len(ranked)), len(ranked) - 1)]


def busy_cores(
    spans: Iterable[tuple[float, float, float]],
    cores: float,
    begin: float,
    end: float,
) -> float:
    """Return the mean of a worker's cores that were busy in an interval.

    At no moment more are counted than the worker has.

    :param spans: begin, end and cores of each task.
    :param cores: of the worker.
    :param begin: of the interval.
    :param end: of the interval.
    """
    changes: list[tuple[float, float]] = []
    for first, last, used in spans:
        if last > begin and first < end:
            changes.append((max(first, begin), used))
            changes.append((min(last, end), -used))
    work: float = 0
    running: float = 0
    before = begin
    for at, change in sorted(changes):
        work += (at - before) * min(running, cores)
        running += change
        before = at
    return work / (end - begin)
