"""Computes figures from recorded times."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from benchmarks.workload import Job


class Slowdowns:
    """Ratios of response times to ideal response times.

    :param cores: number of cores of the whole fleet.
    :param round_trip: time of the messages that every placement needs, in
        seconds.
    """

    def __init__(self, cores: float, round_trip: float) -> None:
        """Create the collection without jobs."""
        self.cores = cores
        self.round_trip = round_trip
        self.values: list[float] = []

    def add(self, job: Job, response: float) -> None:
        """Add the slowdown of a job.

        :param job: job that is complete.
        :param response: time from submission to the answer, in seconds.
        """
        ideal = self.round_trip + job.ideal_run_time(self.cores)
        self.values.append(response / ideal)


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which a fraction lies; 0 without values.

    :param values: values in any order.
    :param fraction: fraction from 0 to 1.
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
    """Return the mean number of a worker's busy cores in an interval.

    The count at any moment is limited to the cores of the worker.

    :param spans: begin, end and cores of each task.
    :param cores: number of cores of the worker.
    :param begin: begin of the interval in seconds.
    :param end: end of the interval in seconds.
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
