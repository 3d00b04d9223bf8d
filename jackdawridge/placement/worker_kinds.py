"""Learns how much longer each kind of worker takes, and what callers are owed.

Answers the load of two kinds of workers so far apart that long work is late
from its start at the slow ones: a third of the workers take 2.4 times as long
as the others, where the objective allows 1.6 times the work of a job.

Targets announce the kind of their worker. Its factor is learned from all
workers of the kind together, so that it holds for one that was never tried,
and the health of a worker is judged against its own kind. Nothing changes
while no kind is slower than what the objective of a job covers; the factors
of `worker_speed` suffice there. `test_worker_kinds` replays the load.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.sketch import MIN_VALUE, Sketch
from jackdawridge.placement.worker_speed import START_MARGIN

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from jackdawridge.placement.request import Request

#: Number of jobs that a factor is based on at least, at each of two kinds of
#: workers.
MIN_JOBS = 8
#: Number of jobs that are remembered, so that each counts once.
MAX_COUNTED_JOBS = 1024
#: Maximum number of kinds of tasks that are compared by themselves; further
#: ones are taken together.
MAX_TASK_KINDS = 16
#: Maximum number of kinds of workers; further ones are left out.
MAX_WORKER_KINDS = 8
#: Number of ended tasks that are remembered until the factors are known, from
#: which the run times are then learned again.
MAX_EARLY_TASKS = 512
MEDIAN = 0.5


class EarlyTask(NamedTuple):
    """A task that ended before the factors were known."""

    request: Request
    #: Measured run time in seconds.
    run_time: float
    worker_kind: str


class WorkerKinds:
    """Factors on the run time, one for each kind of worker.

    For each kind of task, the ratios of measured to estimated run times are
    compared between the kinds of workers. Their medians hardly change by
    faulty workers or by a few very long tasks. Declared run times would
    mislead: what is declared too short goes to the slow workers.
    """

    def __init__(self) -> None:
        """Initialise without kinds, switched off."""
        #: Whether the announced kinds are used, by the settings.
        self.is_enabled = False
        #: Ratios of measured to estimated run times, by kind of task and kind
        #: of worker.
        self.ratios: dict[str, dict[str, Sketch]] = {}
        #: Ratios of run times at the fastest kind of worker to the declared
        #: ones, by kind of task.
        self.declared_ratios: dict[str, Sketch] = {}
        #: Factor of each kind of worker relative to the fastest one; empty
        #: while the kinds are not far enough apart.
        self.factors: dict[str, float] = {}
        #: Run times that the objectives refer to, over those at the fastest
        #: kind of worker; at least 1.
        self.owed_factor: float = 1
        #: Lowest stretch of any objective so far.
        self.stretch = float('inf')
        #: Tickets of jobs with a task that was counted, each with the kind of
        #: its worker; the oldest first.
        self.counted_jobs: dict[tuple[str, str], None] = {}
        #: Inputs of the last decision, until they are logged.
        self.change: Mapping[str, object] | None = None
        self.early_tasks: deque[EarlyTask] = deque(maxlen=MAX_EARLY_TASKS)

    def observe_stretch(self, stretch: float) -> None:
        """Add the stretch of the objective of a job.

        The strictest objective counts, so that jobs with different ones do
        not make the factors come and go.

        :param stretch: time for an answer over the work of the job.
        """
        self.stretch = min(self.stretch, stretch)

    def observe(
        self,
        worker_kind: str,
        request: Request,
        run_time: float,
        estimate: float,
    ) -> None:
        """Add the run time of a task that has succeeded.

        :param worker_kind: kind of its worker; ignored if empty.
        :param request: request of the task.
        :param run_time: measured run time in seconds; ignored if 0.
        :param estimate: run time in seconds that was expected at a worker of
            the fastest kind.
        """
        if not self.is_enabled or not worker_kind or run_time <= 0:
            return
        if not self.factors:
            self.early_tasks.append(EarlyTask(request, run_time, worker_kind))
        elif self.factors.get(worker_kind) == 1:
            self.observe_declared(request, run_time)
        if self.is_counted(worker_kind, request.ticket):
            return
        task_kind = limited_key(request.kind, self.ratios)
        sketches = self.ratios.setdefault(task_kind, {})
        if len(sketches) < MAX_WORKER_KINDS:
            sketches.setdefault(worker_kind, Sketch())
        sketch = sketches.get(worker_kind)
        if sketch is not None:
            sketch.observe(run_time / max(estimate, MIN_VALUE))

    def is_counted(self, worker_kind: str, ticket: str) -> bool:
        """Return whether a task of a job was counted for a kind of worker.

        The tasks of one job are alike, so that one of them counts.

        :param worker_kind: kind of worker.
        :param ticket: ticket of the job; from now on it is counted.
        """
        counted = self.counted_jobs
        if (ticket, worker_kind) in counted:
            return True
        counted[ticket, worker_kind] = None
        if len(counted) > MAX_COUNTED_JOBS:
            counted.pop(next(iter(counted)))
        return False

    def observe_declared(self, request: Request, run_time: float) -> None:
        """Add the run time of a task at the fastest kind of worker.

        :param request: request of the task.
        :param run_time: measured run time in seconds.
        """
        task_kind = limited_key(request.kind, self.declared_ratios)
        sketch = self.declared_ratios.setdefault(task_kind, Sketch())
        sketch.observe(run_time / max(request.run_time, MIN_VALUE))

    def update(self) -> bool:
        """Update the factors.

        :returns: whether they took effect or ceased to.
        """
        if not self.is_enabled:
            return False
        were_far_apart = bool(self.factors)
        # After a change the estimates differ, and tasks are counted anew.
        factors = self.factors | self.compare()
        margin = 1 if were_far_apart else START_MARGIN
        if max(factors.values(), default=1) <= self.stretch * margin:
            factors = {}
        self.factors = factors
        has_changed = were_far_apart != bool(factors)
        if has_changed:
            self.change = self.describe()
            self.ratios.clear()
            self.declared_ratios.clear()
            if factors:
                self.observe_early_tasks()
        self.owed_factor = self.find_owed_factor()
        return has_changed

    def pop_change(self) -> Mapping[str, object] | None:
        """Return the inputs of the last decision if it was not returned yet.

        These are the factors in effect, the stretch that they were compared
        with, and the number of jobs by kind of worker.
        """
        change = self.change
        self.change = None
        return change

    def describe(self) -> Mapping[str, object]:
        """Return the inputs of a decision, for the log."""
        return {
            'factors': {
                kind: round(factor, 2) for kind, factor in self.factors.items()
            },
            'stretch': self.stretch,
            'jobs': dict(self.count_jobs()),
        }

    def observe_early_tasks(self) -> None:
        """Add the early tasks that ran at workers of the fastest kind."""
        for request, run_time, worker_kind in self.early_tasks:
            if self.factors.get(worker_kind) == 1:
                self.observe_declared(request, run_time)

    def compare(self) -> dict[str, float]:
        """Return the factor of each kind with enough tasks, the fastest 1.

        Empty if fewer than two kinds have had enough tasks.
        """
        jobs = self.count_jobs()
        if not jobs:
            return {}
        usual, _ = jobs.most_common(1)[0]
        excesses = {kind: self.log2_excess(kind, usual) for kind in jobs}
        found = {
            kind: excess
            for kind, excess in excesses.items()
            if excess is not None
        }
        if len(found) < 2:
            return {}
        fastest = min(found.values())
        return {kind: 2 ** (found[kind] - fastest) for kind in found}

    def count_jobs(self) -> Counter[str]:
        """Return the number of jobs counted by kind of worker."""
        jobs: Counter[str] = Counter()
        for sketches in self.ratios.values():
            for worker_kind, sketch in sketches.items():
                jobs[worker_kind] += round(sketch.total_weight)
        return jobs

    def log2_excess(self, worker_kind: str, other: str) -> float | None:
        """Return how much longer one kind of worker takes than another.

        :param worker_kind: kind of worker.
        :param other: kind of worker to compare with.
        :returns: the logarithm to base 2 of the ratio, None if there were too
            few jobs.
        """
        total_weight: float = 0
        excess: float = 0
        for sketches in self.ratios.values():
            if worker_kind not in sketches or other not in sketches:
                continue
            sketch, reference = sketches[worker_kind], sketches[other]
            weight = min(sketch.total_weight, reference.total_weight)
            ratio = sketch.quantile(MEDIAN) / reference.quantile(MEDIAN)
            total_weight += weight
            excess += weight * math.log2(ratio)
        if total_weight < MIN_JOBS:
            return None
        return excess / total_weight

    def find_owed_factor(self) -> float:
        """Return the run times that callers refer to, over the fastest ones.

        An objective refers to the work that the caller states. Where the
        fastest kind takes less time than stated for most kinds of tasks,
        callers are owed the difference, up to the slowest kind.
        """
        ratios = sorted(
            sketch.quantile(MEDIAN) for sketch in self.declared_ratios.values()
        )
        if not ratios or not self.factors:
            return 1
        usual = ratios[len(ratios) // 2]
        return min(max(1 / usual, 1), max(self.factors.values()))

    def pop_early_tasks(self) -> Iterable[tuple[Request, float]]:
        """Remove the early tasks, with their run times at the fastest kind."""
        early = tuple(self.early_tasks)
        self.early_tasks.clear()
        for request, run_time, worker_kind in early:
            yield request, run_time / self.factors.get(worker_kind, 1)


def limited_key(task_kind: str, known: Collection[str]) -> str:
    """Return the key by which a kind of task is counted.

    :param task_kind: kind of the task.
    :param known: kinds that are counted by themselves.
    :returns: the kind, or an empty string if there are too many.
    """
    if task_kind in known or len(known) < MAX_TASK_KINDS:
        return task_kind
    return ''
