"""Keeps kinds of tasks apart that slow each other down, where there is room.

The first task of each job is observed: the tasks of a job are alike, so that
all of them together say hardly more. What runs beside it counts during the
first half of its expected run time. Over its actual run time a task that takes
long for another reason would see other neighbours than a task that ends soon.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from jackdawridge.placement.interference import (
    MAX_LOG_SLOWDOWN,
    InterferenceModel,
)
from jackdawridge.placement.neighbours import Neighbours

if TYPE_CHECKING:
    from jackdawridge.placement.assignment import Assignment
    from jackdawridge.placement.interference import Pair, PairChange
    from jackdawridge.placement.request import Key
    from jackdawridge.placement.side_view import Side

#: Fraction of the expected run time during which the neighbours count.
OBSERVED_FRACTION = 0.5

#: Lower bound in seconds of measured and expected run times.
MIN_RUN_TIME = 0.005


class Sample:
    """Observation of what runs beside one task.

    :param neighbours: use of the cores of its side.
    :param now: time of its start, in seconds.
    """

    def __init__(self, neighbours: Neighbours, now: float) -> None:
        """Begin the observation."""
        self.neighbours = neighbours
        self.began_at = now
        self.totals = neighbours.totals(now)
        #: Fraction of the worker that each kind used; empty until the
        #: observation has ended.
        self.fractions: dict[str, float] = {}

    def finish(self, now: float) -> None:
        """End the observation.

        :param now: current time in seconds.
        """
        duration = max(now - self.began_at, MIN_RUN_TIME)
        capacity = self.neighbours.worker_cores * duration
        self.fractions = {
            kind: (total - self.totals.get(kind, 0)) / capacity
            for kind, total in self.neighbours.totals(now).items()
        }


class LearnedSeparation:
    """Keeps apart the kinds that are found to slow each other down."""

    def __init__(self) -> None:
        """Initialise without sides and observations."""
        self.separated = 0
        self.model = InterferenceModel()
        self.sides: dict[str, Neighbours] = {}
        self.samples: dict[Key, Sample] = {}
        #: Use of the cores in which each running task counts. A side that
        #: comes back has a new one.
        self.counted: dict[Key, Neighbours] = {}
        #: Running observations by the time at which they end, and by the
        #: placement number of their tasks.
        self.due: list[tuple[float, int, Sample]] = []
        #: Latest time that is known, in seconds.
        self.now: float = 0

    def assigned(self, assignment: Assignment, side: Side) -> None:
        """Record that a task was placed.

        :param assignment: assignment of the task.
        :param side: its side.
        """
        request, placed_at = assignment.request, assignment.placed_at
        self.advance(placed_at)
        worker_cores = side.info.cores
        if worker_cores <= 0 or not self.model.admit(request.kind, self.now):
            return
        neighbours = self.sides.get(side.side_id)
        if neighbours is None:
            neighbours = Neighbours(worker_cores)
            self.sides[side.side_id] = neighbours
        neighbours.worker_cores = worker_cores
        # A lead learns of running tasks of other entries only after a while.
        if not request.task and placed_at == self.now:
            self.observe(assignment, neighbours)
        neighbours.add(request.kind, assignment.need.cores, self.now)
        self.counted[request.key] = neighbours
        if len(neighbours.uses) > len(self.model.positions):
            neighbours.retain(self.model.positions)

    def observe(self, assignment: Assignment, neighbours: Neighbours) -> None:
        """Begin the observation of a task.

        :param assignment: assignment of the task.
        :param neighbours: use of the cores of its side.
        """
        sample = Sample(neighbours, assignment.placed_at)
        self.samples[assignment.request.key] = sample
        expected = assignment.need.run_time * assignment.run_time_factor
        until = assignment.placed_at + OBSERVED_FRACTION * expected
        heapq.heappush(self.due, (until, assignment.number, sample))

    def released(self, assignment: Assignment) -> None:
        """Record that a task no longer runs.

        :param assignment: its former assignment.
        """
        request = assignment.request
        if not request.task:
            self.samples.pop(request.key, None)
        neighbours = self.counted.pop(request.key, None)
        if neighbours is not None:
            neighbours.remove(request.kind, assignment.need.cores, self.now)

    def succeeded(
        self, assignment: Assignment, run_time: float, now: float
    ) -> None:
        """Record the run time of a task, before it is released.

        A task that ends before its observation does is left out.

        :param assignment: assignment of the task.
        :param run_time: measured run time in seconds.
        :param now: current time in seconds.
        """
        self.advance(now)
        request = assignment.request
        if request.task or request.key not in self.samples:
            return
        sample = self.samples[request.key]
        if not sample.fractions:
            return
        expected = assignment.need.run_time * assignment.run_time_factor
        ratio = max(run_time, MIN_RUN_TIME) / max(expected, MIN_RUN_TIME)
        if not math.isfinite(ratio):
            return
        log_ratio = sample.neighbours.adjusted(math.log(ratio))
        if log_ratio is None:
            return
        own = assignment.need.cores / sample.neighbours.worker_cores
        beside = sample.fractions
        beside[request.kind] = max(beside.get(request.kind, 0) - own, 0)
        self.model.observe(request.kind, beside, log_ratio, now)

    def reported(self, side: Side, now: float) -> None:
        """Record a report of a side about its room.

        :param side: the side.
        :param now: current time in seconds.
        """
        self.advance(now)
        neighbours = self.sides.get(side.side_id)
        if neighbours is not None:
            neighbours.set_used(side.info.cores - side.free.cores, self.now)

    def forget(self, side_id: str) -> None:
        """Discard what is known of a side.

        :param side_id: identifier of the side.
        """
        self.sides.pop(side_id, None)

    def disturbs(self, kind: str, cores: float, side: Side) -> bool:
        """Return whether a task would disturb or be disturbed at a side.

        :param kind: kind of the task.
        :param cores: cores of the task.
        :param side: side to check.
        """
        partners = self.model.partners.get(kind)
        if not partners:
            return False
        neighbours = self.sides.get(side.side_id)
        if neighbours is None:
            return False
        slowdown = self.model.log_slowdown(
            kind,
            neighbours.fraction(kind, cores),
            {partner: neighbours.fraction(partner) for partner in partners},
        )
        return slowdown > MAX_LOG_SLOWDOWN

    def pairs(self) -> dict[Pair, float]:
        """Return the logarithms of the slow-downs of all found pairs."""
        return self.model.pairs

    def pop_changes(self) -> list[PairChange]:
        """Remove and return the changes of pairs since the last call."""
        return self.model.pop_changes()

    def advance(self, now: float) -> None:
        """End the observations that are due.

        :param now: current time in seconds.
        """
        self.now = max(self.now, now)
        while self.due and self.due[0][0] <= self.now:
            until, _, sample = heapq.heappop(self.due)
            sample.finish(until)
