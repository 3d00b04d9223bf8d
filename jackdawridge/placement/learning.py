"""Sizes and run times of tasks, learned for each kind of task."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.sketch import MIN_VALUE, Sketch

if TYPE_CHECKING:
    from jackdawridge.placement.request import Request

#: Kinds that are remembered; the least recently observed is forgotten.
MAX_KINDS = 2000

#: Observations between two evaluations of a sketch.
EARLY_REFRESH_INTERVAL = 8
REFRESH_INTERVAL = 32

#: Observations that count as early.
EARLY_OBSERVATIONS = 64

#: Part that is added to a high value from a single observation.
SMALL_SAMPLE_MARGIN = 0.3

#: Quantile of the memory that is reserved.
RESERVED_QUANTILE = 0.9

#: Quantile of the run time after which a task counts as late.
LATE_QUANTILE = 0.95

#: Weight of an observation over that of the next one in a relation.
DECAY_FACTOR = 0.998

#: Observations, by weight, from which a relation is used.
MIN_REGRESSION_WEIGHT = 30

#: Least variance of the logarithms of what is declared; below it all declare
#: the same.
MIN_VARIANCE = 0.0001

#: Smallest amount of cores that is reserved.
MIN_CORES = 0.01


class Usage(NamedTuple):
    """What a task that has ended was seen to use; 0 where nothing was seen."""

    cores: float
    #: In MB.
    memory: float
    #: In seconds.
    run_time: float


#: Of a task that has not run.
NOTHING_USED = Usage(0, 0, 0)


class Need(NamedTuple):
    """Estimate of what a task will use."""

    cores: float
    #: In MB.
    memory: float
    accelerators: int
    #: Mean run time in seconds.
    run_time: float
    #: Run time in seconds that few tasks exceed.
    high_run_time: float
    #: Service whose workers run the task; any worker if it is empty.
    service: str = ''


class Estimate(NamedTuple):
    """An evaluated sketch."""

    #: Whether the values are factors of what is declared.
    is_ratio: bool
    typical: float
    high: float

    def scale(self, declared: float) -> tuple[float, float]:
        """Return the typical and the high value for a task.

        :param declared: value that the caller declared.
        """
        if self.is_ratio:
            base = max(declared, MIN_VALUE)
            return self.typical * base, self.high * base
        return self.typical, self.high


class Relation:
    """How much of what is declared is right, as a line between logarithms.

    Where declarations are off at random, the best guess lies between what they
    say and what tasks of the kind usually use.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.weight: float = 0
        self.declared: float = 0
        self.used: float = 0
        self.declared_squared: float = 0
        self.product: float = 0
        self.used_squared: float = 0

    def observe(self, declared: float, used: float) -> None:
        """Learn from a task that has ended.

        :param declared: value that the caller declared.
        :param used: value that was measured.
        """
        log_declared = math.log(max(declared, MIN_VALUE))
        log_used = math.log(max(used, MIN_VALUE))
        self.weight = self.weight * DECAY_FACTOR + 1
        self.declared = self.declared * DECAY_FACTOR + log_declared
        self.used = self.used * DECAY_FACTOR + log_used
        self.declared_squared = (
            self.declared_squared * DECAY_FACTOR + log_declared * log_declared
        )
        self.product = self.product * DECAY_FACTOR + log_declared * log_used
        self.used_squared = (
            self.used_squared * DECAY_FACTOR + log_used * log_used
        )

    def estimate(self, declared: float) -> float | None:
        """Return the mean use of tasks that declare so much.

        :param declared: value that the caller declared.
        :returns: None while too little is known.
        """
        if self.weight < MIN_REGRESSION_WEIGHT:
            return None
        log_declared, log_used = (
            self.declared / self.weight,
            self.used / self.weight,
        )
        variance = (
            self.declared_squared / self.weight - log_declared * log_declared
        )
        if variance < MIN_VARIANCE:
            return None
        slope = (
            self.product / self.weight - log_declared * log_used
        ) / variance
        residual_variance = (
            self.used_squared / self.weight
            - log_used * log_used
            - slope * slope * variance
        )
        distance = math.log(max(declared, MIN_VALUE)) - log_declared
        return math.exp(
            log_used + slope * distance + max(residual_variance, 0) / 2
        )


class QuantityEstimator:
    """Learns one quantity of one kind of task.

    Callers' declarations may be useless, off by a constant factor, or right.
    So both the value and its ratio to the declared value are kept, and the
    high value is that of the one that varies less. The typical value follows
    the relation between the two.

    :param high: quantile that is reported as the high value.
    """

    def __init__(self, high: float) -> None:
        """Start without observations."""
        self.high = high
        self.count = 0
        self.values = Sketch()
        self.ratios = Sketch()
        self.relation = Relation()
        self.estimate: Estimate | None = None

    def observe(self, declared: float, used: float) -> None:
        """Learn from a task that has ended.

        :param declared: value that the caller declared.
        :param used: value that was measured.
        """
        self.count += 1
        self.relation.observe(declared, used)
        self.values.observe(used)
        self.ratios.observe(used / max(declared, MIN_VALUE))
        interval = (
            EARLY_REFRESH_INTERVAL
            if self.count < EARLY_OBSERVATIONS
            else REFRESH_INTERVAL
        )
        if self.count < EARLY_REFRESH_INTERVAL or self.count % interval == 0:
            self.estimate = self.evaluate()

    def evaluate(self) -> Estimate:
        """Return the estimate from what has been observed."""
        is_ratio = self.ratios.spread() < self.values.spread()
        sketch = self.ratios if is_ratio else self.values
        margin = 1 + SMALL_SAMPLE_MARGIN / math.sqrt(self.count)
        high = sketch.quantile(self.high) * margin
        typical = sketch.mean()
        return Estimate(is_ratio, typical, max(typical, high))

    def scale(self, declared: float) -> tuple[float, float]:
        """Return the typical and the high value for a task.

        :param declared: what the caller declared; used until there are
            observations.
        """
        if self.estimate is None:
            return declared, declared
        typical, high = self.estimate.scale(declared)
        related = self.relation.estimate(declared)
        if related is None:
            return typical, high
        return related, max(related, high)


class KindEstimators:
    """What is known about one kind of task."""

    def __init__(self) -> None:
        """Start without observations."""
        self.cores = QuantityEstimator(RESERVED_QUANTILE)
        self.memory = QuantityEstimator(RESERVED_QUANTILE)
        self.run_time = QuantityEstimator(LATE_QUANTILE)

    def observe(self, request: Request, usage: Usage) -> None:
        """Learn from a task that has ended.

        :param request: request of the task.
        :param usage: measured usage of the task.
        """
        if usage.cores > 0:
            self.cores.observe(request.cores, usage.cores)
        if usage.memory > 0:
            self.memory.observe(request.memory, usage.memory)
        if usage.run_time > 0:
            self.run_time.observe(request.run_time, usage.run_time)


class Learner:
    """Estimates the need of tasks."""

    def __init__(self) -> None:
        """Start without any kind."""
        self.kinds: dict[str, KindEstimators] = {}

    def observe(self, request: Request, usage: Usage) -> None:
        """Learn from a task that has ended.

        :param request: request of the task.
        :param usage: measured usage of the task.
        """
        kind = self.kinds.get(request.kind)
        if kind is None:
            kind = KindEstimators()
            self.kinds[request.kind] = kind
            if len(self.kinds) > MAX_KINDS:
                self.kinds.pop(next(iter(self.kinds)))
        kind.observe(request, usage)

    def need(self, request: Request) -> Need:
        """Return the estimate for a task.

        :param request: request of the task.
        """
        kind = self.kinds.get(request.kind)
        if kind is None:
            return Need(
                max(request.cores, MIN_CORES),
                request.memory,
                request.accelerators,
                request.run_time,
                request.run_time,
                request.service,
            )
        cores, _ = kind.cores.scale(request.cores)
        _, memory = kind.memory.scale(request.memory)
        run_time, high_run_time = kind.run_time.scale(request.run_time)
        return Need(
            max(cores, MIN_CORES),
            memory,
            request.accelerators,
            run_time,
            high_run_time,
            request.service,
        )

    def knows(self, kind: str) -> bool:
        """Return whether tasks of a kind have been observed.

        :param kind: the kind of task.
        """
        return kind in self.kinds
