"""Estimates of the resources and run times of tasks, learned by kind."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.sketch import MIN_VALUE, Sketch

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.placement.request import Request

#: Maximum number of kinds; the one known longest is discarded first.
MAX_KINDS = 2000

#: Number of observations between two evaluations of a sketch, early and later.
EARLY_REFRESH_INTERVAL = 8
REFRESH_INTERVAL = 32

#: Number of observations that count as early.
EARLY_OBSERVATIONS = 64

#: Fraction that is added to the high value after a single observation; it
#: shrinks with the square root of their number.
SMALL_SAMPLE_MARGIN = 0.3

#: Quantile of the measured cores and memory that serves as high value; memory
#: is reserved by its high value.
RESERVED_QUANTILE = 0.9

#: Quantile of the run time that serves as high value; longer tasks are late.
LATE_QUANTILE = 0.95

#: Ratio of the weight of an observation to that of the next one in a
#: regression.
DECAY_FACTOR = 0.998

#: Total weight of the observations from which a regression is used.
MIN_REGRESSION_WEIGHT = 30

#: Minimum variance of the logarithms of the declared values; below it all
#: declarations count as equal.
MIN_VARIANCE = 0.0001

#: Minimum number of cores to reserve.
MIN_CORES = 0.01


class Usage(NamedTuple):
    """Measured usage of an ended task; 0 where nothing was measured."""

    cores: float
    #: Memory in MB.
    memory: float
    #: Run time in seconds.
    run_time: float


#: Usage of a task that has not run.
NO_USAGE = Usage(0, 0, 0)


class Need(NamedTuple):
    """Estimated need of a task."""

    cores: float
    #: Memory in MB.
    memory: float
    accelerators: int
    #: Mean run time in seconds.
    run_time: float
    #: Run time in seconds that few tasks exceed.
    high_run_time: float
    #: Service whose workers run the task; empty for any worker.
    service: str = ''


class Estimate(NamedTuple):
    """Typical and high value of a quantity, from an evaluated sketch."""

    #: Whether the values are factors on the declared value.
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


class LogRegression:
    """Linear regression of measured on declared values, in logarithms.

    If declarations have random errors, the best estimate lies between the
    declared value and the usual value of the kind.
    """

    def __init__(self) -> None:
        """Initialise without observations."""
        self.weight: float = 0
        self.declared_sum: float = 0
        self.used_sum: float = 0
        self.declared_square_sum: float = 0
        self.product_sum: float = 0
        self.used_square_sum: float = 0

    def observe(self, declared: float, used: float) -> None:
        """Add the observation of an ended task.

        :param declared: value that the caller declared.
        :param used: value that was measured.
        """
        log_declared = math.log(max(declared, MIN_VALUE))
        log_used = math.log(max(used, MIN_VALUE))
        self.weight = self.weight * DECAY_FACTOR + 1
        self.declared_sum = self.declared_sum * DECAY_FACTOR + log_declared
        self.used_sum = self.used_sum * DECAY_FACTOR + log_used
        self.declared_square_sum = (
            self.declared_square_sum * DECAY_FACTOR
            + log_declared * log_declared
        )
        self.product_sum = (
            self.product_sum * DECAY_FACTOR + log_declared * log_used
        )
        self.used_square_sum = (
            self.used_square_sum * DECAY_FACTOR + log_used * log_used
        )

    def estimate(self, declared: float) -> float | None:
        """Return the expected value for a declaration.

        :param declared: value that the caller declared.
        :returns: None if there are too few observations, or if all
            declarations are equal.
        """
        if self.weight < MIN_REGRESSION_WEIGHT:
            return None
        mean_log_declared, mean_log_used = (
            self.declared_sum / self.weight,
            self.used_sum / self.weight,
        )
        variance = (
            self.declared_square_sum / self.weight
            - mean_log_declared * mean_log_declared
        )
        if variance < MIN_VARIANCE:
            return None
        slope = (
            self.product_sum / self.weight - mean_log_declared * mean_log_used
        ) / variance
        residual_variance = (
            self.used_square_sum / self.weight
            - mean_log_used * mean_log_used
            - slope * slope * variance
        )
        distance = math.log(max(declared, MIN_VALUE)) - mean_log_declared
        return math.exp(
            mean_log_used + slope * distance + max(residual_variance, 0) / 2
        )


class QuantityEstimator:
    """Estimates one quantity for one kind of task.

    Declarations of callers may be arbitrary, off by a constant factor, or
    accurate. Sketches are therefore kept of the values and of their ratios to
    the declared values, and the high value comes from the one that varies
    less. The typical value comes from a regression on the declared values.

    :param high_quantile: quantile that serves as the high value.
    """

    def __init__(self, high_quantile: float) -> None:
        """Initialise without observations."""
        self.high_quantile = high_quantile
        self.count = 0
        self.values = Sketch()
        self.ratios = Sketch()
        self.regression = LogRegression()
        self.estimate: Estimate | None = None

    def observe(self, declared: float, used: float) -> None:
        """Add the observation of an ended task.

        :param declared: value that the caller declared.
        :param used: value that was measured.
        """
        self.count += 1
        self.regression.observe(declared, used)
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
        """Return an estimate from the sketch that varies less."""
        is_ratio = self.ratios.spread() < self.values.spread()
        sketch = self.ratios if is_ratio else self.values
        margin = 1 + SMALL_SAMPLE_MARGIN / math.sqrt(self.count)
        high = sketch.quantile(self.high_quantile) * margin
        typical = sketch.mean()
        return Estimate(is_ratio, typical, max(typical, high))

    def scale(self, declared: float) -> tuple[float, float]:
        """Return the typical and the high value for a task.

        :param declared: value that the caller declared; returned as both
            values until there are observations.
        """
        if self.estimate is None:
            return declared, declared
        typical, high = self.estimate.scale(declared)
        expected = self.regression.estimate(declared)
        if expected is None:
            return typical, high
        return expected, max(expected, high)


class KindEstimators:
    """Estimators of the quantities of one kind of task."""

    def __init__(self) -> None:
        """Initialise without observations."""
        self.cores = QuantityEstimator(RESERVED_QUANTILE)
        self.memory = QuantityEstimator(RESERVED_QUANTILE)
        self.run_time = QuantityEstimator(LATE_QUANTILE)

    def observe(self, request: Request, usage: Usage) -> None:
        """Add the observation of an ended task.

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
    """Estimates the needs of tasks by their kind."""

    def __init__(self) -> None:
        """Initialise without known kinds."""
        self.kinds: dict[str, KindEstimators] = {}

    def observe(self, request: Request, usage: Usage) -> None:
        """Add the observation of an ended task.

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

    def relearn_run_times(
        self, observations: Iterable[tuple[Request, float]]
    ) -> None:
        """Replace what was learned of run times.

        :param observations: requests of ended tasks with their run times in
            seconds.
        """
        for kind in self.kinds.values():
            kind.run_time = QuantityEstimator(LATE_QUANTILE)
        for request, run_time in observations:
            self.observe(request, Usage(0, 0, run_time))

    def need(self, request: Request) -> Need:
        """Return the estimated need of a task, or the declared one.

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

        :param kind: kind of the tasks.
        """
        return kind in self.kinds
