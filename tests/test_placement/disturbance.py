"""In-memory replay of kinds of tasks that slow each other down."""

from __future__ import annotations

import heapq
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.learned_separation import LearnedSeparation
from jackdawridge.placement.separation import NoSeparation
from tests.test_placement.overload import (
    CORES,
    NO_SLOWER_KINDS,
    Job,
    Replay,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jackdawridge.placement.request import Key


class Disturbance(NamedTuple):
    """Slow-down of one kind of tasks by another, until some time."""

    kind: str
    neighbour: str
    #: Factor on the run time beside a worker full of the neighbour, less 1.
    slowdown: float
    until: float = float('inf')


class RunningTask:
    """A running task.

    :param work: remaining run time at full speed, in seconds.
    :param now: time of the start, in seconds.
    """

    def __init__(self, work: float, now: float) -> None:
        """Initialise the task at full speed."""
        self.work = work
        self.factor: float = 1
        self.updated_at = now

    def progress(self, now: float) -> None:
        """Reduce the remaining work by what was done since the last update."""
        self.work -= (now - self.updated_at) / self.factor
        self.updated_at = now


class DisturbedReplay(Replay):
    """Replays a load at workers whose tasks slow each other down.

    :param jobs: jobs in the order of their arrival.
    :param sides: number of workers.
    :param disturbances: kinds that slow each other down.
    :param is_separated: whether the entries keep such kinds apart.
    :param overload: slow-down of all tasks by a full worker, less 1.
    """

    def __init__(
        self,
        jobs: list[Job],
        sides: int,
        disturbances: tuple[Disturbance, ...] = (),
        *,
        is_separated: bool = True,
        overload: float = 0,
        run_time_factors: Mapping[str, float] = NO_SLOWER_KINDS,
        entries: int = 1,
    ) -> None:
        """Initialise without running tasks."""
        super().__init__(
            jobs, sides, run_time_factors=run_time_factors, entries=entries
        )
        self.disturbances = disturbances
        self.overload = overload
        for placer in self.placers:
            placer.separation = (
                LearnedSeparation() if is_separated else NoSeparation()
            )
        self.running: dict[str, dict[Key, RunningTask]] = defaultdict(dict)

    def start(self, side_id: str, number: int, task: int, now: float) -> None:
        """Start a task, which may slow down others."""
        super().start(side_id, number, task, now)
        self.ends = [end for end in self.ends if end[2:] != (number, task)]
        heapq.heapify(self.ends)
        work = self.jobs[number].run_times[task]
        work *= self.run_time_factors.get(side_id, 1)
        self.running[side_id][str(number), task] = RunningTask(work, now)
        self.update_speeds(side_id, now)

    def end(self, now: float, side_id: str, number: int, task: int) -> None:
        """End a task, and let those beside it run faster."""
        self.running[side_id].pop((str(number), task))
        self.update_speeds(side_id, now)
        super().end(now, side_id, number, task)

    def update_speeds(self, side_id: str, now: float) -> None:
        """Update the speeds and the ends of all tasks at a side."""
        running = self.running[side_id]
        fractions: dict[str, float] = defaultdict(float)
        for ticket, _ in running:
            job = self.jobs[int(ticket)]
            fractions[job.kind] += job.cores / CORES
        self.ends = [end for end in self.ends if end[1] != side_id]
        for (ticket, task), one in running.items():
            one.progress(now)
            one.factor = self.factor(self.jobs[int(ticket)], fractions, now)
            until = now + max(one.work, 0) * one.factor
            self.ends.append((until, side_id, int(ticket), task))
        heapq.heapify(self.ends)

    def factor(
        self, job: Job, fractions: Mapping[str, float], now: float
    ) -> float:
        """Return the factor on the run time of a task of a job."""
        factor = 1 + self.overload * sum(fractions.values())
        for one in self.disturbances:
            if one.kind == job.kind and now < one.until:
                factor += one.slowdown * fractions.get(one.neighbour, 0)
        return factor
