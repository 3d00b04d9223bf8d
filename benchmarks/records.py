"""Matches the records of the workers with the jobs of a run."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from benchmarks.figures import busy_cores

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from benchmarks.load import JobAnswer
    from benchmarks.workload import Task


class Span(NamedTuple):
    """One start of a task; times are seconds since the start of the run."""

    worker: int
    key: str
    begin: float
    end: float
    cores: float


class WorkerRecords:
    """Starts and ends of tasks at all workers in one run.

    :param records: record of each worker, ordered by its index.
    :param answers: answers to all jobs of the run.
    :param began: monotonic time at which the run began.
    """

    def __init__(
        self,
        records: Sequence[dict[str, Any]],
        answers: Iterable[JobAnswer],
        began: float,
    ) -> None:
        """Match each recorded start with its task."""
        self.tasks: dict[str, Task] = {}
        for answer in answers:
            for number, task in enumerate(answer.job.tasks):
                self.tasks[f'{answer.ticket}|{number}'] = task
        self.spans: list[Span] = []
        #: Number of starts by ticket and task number.
        self.starts: Counter[str] = Counter()
        for worker, record in enumerate(records):
            self.add_record(worker, record, began)

    def add_record(
        self, worker: int, record: dict[str, Any], began: float
    ) -> None:
        """Add the record of one worker, without starts before the run.

        :param worker: index of the worker.
        :param record: its recorded starts and ends.
        :param began: monotonic time at which the run began.
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
        """Return the number of tasks that started more than once."""
        return sum(count > 1 for count in self.starts.values())

    def started_between(
        self, workers: Iterable[int], begin: float, end: float
    ) -> int:
        """Return the number of starts at some workers in an interval.

        :param workers: indexes of the workers.
        :param begin: begin of the interval, in seconds since the run began.
        :param end: end of the interval, which is not part of it.
        """
        chosen = set(workers)
        return sum(
            span.worker in chosen and begin <= span.begin < end
            for span in self.spans
        )

    def busy_fraction(
        self, workers: Iterable[int], cores: float, begin: float, end: float
    ) -> float:
        """Return the mean busy fraction of some workers' cores.

        :param workers: indexes of the workers.
        :param cores: number of cores of each worker.
        :param begin: begin of the interval, in seconds since the run began.
        :param end: end of the interval, in seconds since the run began.
        """
        fractions = [
            busy_cores(self.task_intervals(worker), cores, begin, end) / cores
            for worker in workers
        ]
        return sum(fractions) / len(fractions)

    def task_intervals(self, worker: int) -> list[tuple[float, float, float]]:
        """Return begin, end and cores of each task of a worker.

        :param worker: index of the worker.
        """
        return [
            (span.begin, span.end, span.cores)
            for span in self.spans
            if span.worker == worker
        ]
