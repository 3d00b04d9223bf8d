"""What the workers recorded, put together with the jobs."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from benchmarks.figures import busy_cores

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from benchmarks.load import JobAnswer
    from benchmarks.workload import Task


class Span(NamedTuple):
    """One task on one worker, with times from the beginning of a run."""

    worker: int
    key: str
    begin: float
    end: float
    cores: float


class Recorded:
    """Starts and ends at all workers in one run.

    :param records: of the workers.
    :param answers: of the run.
    :param began: beginning of the run on the monotonic clock.
    """

    def __init__(
        self,
        records: Sequence[dict[str, Any]],
        answers: Iterable[JobAnswer],
        began: float,
    ) -> None:
        """Find the task behind each start."""
        self.tasks: dict[str, Task] = {}
        for answer in answers:
            for number, task in enumerate(answer.job.tasks):
                self.tasks[f'{answer.ticket}|{number}'] = task
        self.spans: list[Span] = []
        #: Starts by ticket and task.
        self.starts: Counter[str] = Counter()
        for worker, record in enumerate(records):
            self.read(worker, record, began)

    def read(self, worker: int, record: dict[str, Any], began: float) -> None:
        """Take in the record of one worker.

        :param worker: its number.
        :param record: from the worker.
        :param began: beginning of the run on the monotonic clock.
        """
        ends = {end['id']: end['time'] - began for end in record['ends']}
        for start in record['starts']:
            begin = start['time'] - began
            if begin < 0:
                continue
            key = start['id'].rpartition('|')[0]
            self.starts[key] += 1
            task = self.tasks.get(key)
            cores = task.cores if task else 0
            end = ends.get(start['id'], begin)
            self.spans.append(Span(worker, key, begin, end, cores))

    def double_starts(self) -> int:
        """Return how many tasks started more than once."""
        return sum(count > 1 for count in self.starts.values())

    def started_between(
        self, workers: Iterable[int], begin: float, end: float
    ) -> int:
        """Return how many tasks started at some workers in an interval.

        :param workers: their numbers.
        :param begin: of the interval.
        :param end: of the interval.
        """
        chosen = set(workers)
        return sum(
            span.worker in chosen and begin <= span.begin < end
            for span in self.spans
        )

    def used(
        self, workers: Iterable[int], cores: float, begin: float, end: float
    ) -> float:
        """Return the part of some workers' cores that was busy.

        :param workers: their numbers.
        :param cores: of each.
        :param begin: of the interval.
        :param end: of the interval.
        """
        parts = [
            busy_cores(self.at(worker), cores, begin, end) / cores
            for worker in workers
        ]
        return sum(parts) / len(parts)

    def at(self, worker: int) -> list[tuple[float, float, float]]:
        """Return begin, end and cores of the tasks of a worker.

        :param worker: its number.
        """
        return [
            (span.begin, span.end, span.cores)
            for span in self.spans
            if span.worker == worker
        ]
