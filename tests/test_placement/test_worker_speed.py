"""Tests of permanently slower workers, with the load at which they were seen.

Jobs that had waited were placed at slow workers, where they were always late.
"""

from __future__ import annotations

import math
import random

import pytest

from jackdawridge.placement.learning import QuantityEstimator
from jackdawridge.placement.queued_jobs import Standing
from jackdawridge.placement.request import Objective
from jackdawridge.placement.worker_speed import START_MARGIN, may_start
from tests.test_placement.overload import Replay, make_jobs

SIDES = 11
#: Run time factors by side: three of eleven workers take 1.3 times as long as
#: the others, which take 1.2 times as long as the objectives assume.
RUN_TIME_FACTORS = {  # noqa: WPS407
    f's{number}': 1.56 if number in {2, 5, 9} else 1.2
    for number in range(SIDES)
}
SECONDS = 12.0
SEEDS = (1, 2, 3)
#: Fraction of the jobs that may be late at a load close to the capacity.
MAX_LATE_FRACTION = 0.06

OBJECTIVE = Objective(1.6, 0.06)


def run_replay(seed: int, load: float) -> Replay:
    """Return a replay that has been run."""
    jobs = make_jobs(seed, load, SECONDS)
    replay = Replay(jobs, SIDES, run_time_factors=RUN_TIME_FACTORS)
    replay.run()
    return replay


def late_fraction(replay: Replay) -> float:
    """Return the fraction of the jobs that were answered late."""
    late = [
        outcome.is_served and outcome.response_time > job.target_time
        for number, job in enumerate(replay.jobs)
        for outcome in (replay.outcomes[number],)
    ]
    return sum(late) / len(late)


class TestSlowerWorkers:
    """Jobs that have waited are placed at fast workers."""

    def test_few_jobs_are_late(self) -> None:
        """A job that has waited would be late at a slow worker."""
        parts = [late_fraction(run_replay(seed, 1)) for seed in SEEDS]
        assert sum(parts) / len(parts) <= MAX_LATE_FRACTION

    @pytest.mark.parametrize('seed', SEEDS)
    def test_run_time_factors_are_learned(self, seed: int) -> None:
        """The learned factor of each side is that of its kind of worker."""
        replay = run_replay(seed, 0.9)
        for side_id, side in replay.placer.sides.items():
            ratio = RUN_TIME_FACTORS[side_id] / 1.2
            assert side.run_time_factor == pytest.approx(ratio, abs=0.12)

    @pytest.mark.parametrize('seed', SEEDS)
    def test_slower_workers_are_used(self, seed: int) -> None:
        """Slow workers run jobs that have just arrived."""
        replay = run_replay(seed, 1.1)
        starts = [
            sum(
                count
                for (side_id, _), count in replay.starts.items()
                if RUN_TIME_FACTORS[side_id] == run_time_factor
            )
            / len(
                [
                    one
                    for one in RUN_TIME_FACTORS.values()
                    if one == run_time_factor
                ]
            )
            for run_time_factor in (1.56, 1.2)
        ]
        assert starts[0] >= 0.5 * starts[1]


class TestMayStart:
    """A job with 0.1 s until its latest start at the fast sides."""

    def standing(self) -> Standing:
        """Return the standing of the job, queued at time 0."""
        return Standing(0.1, 0, objective=OBJECTIVE, longest_run_time=0.2)

    def test_job_starts_where_it_is_in_time(self) -> None:
        assert may_start(self.standing(), 1.3, 0)

    def test_job_does_not_start_where_it_would_be_late(self) -> None:
        assert not may_start(self.standing(), 1.3, 0.08)

    def test_job_late_at_all_sides_starts_anywhere(self) -> None:
        later = 0.1 + 0.2 * START_MARGIN
        assert may_start(self.standing(), 1.3, later)

    def test_demoted_job_starts_anywhere(self) -> None:
        assert may_start(self.standing()._replace(is_late=True), 1.3, 0.08)

    def test_job_without_objective_starts_anywhere(self) -> None:
        assert may_start(Standing(0, 0), 1.3, 9)


class TestRegression:
    """Declarations with random errors are weighed against the kind's mean."""

    def squared_errors(self, spread: float, max_error: float) -> list[float]:
        """Return sums of squared logarithmic errors of three estimates.

        They are the regression, the declaration scaled by the mean ratio, and
        the mean of the kind.
        """
        source = random.Random(3)
        estimator = QuantityEstimator(0.95)
        found: list[float] = [0, 0, 0]
        for number in range(2000):
            used = math.exp(source.gauss(0, spread))
            declared = used * source.uniform(1 - max_error, 1 + max_error)
            if number >= 200:
                estimates = (
                    estimator.scale(declared)[0],
                    estimator.ratios.mean() * declared,
                    estimator.values.mean(),
                )
                for position, estimate in enumerate(estimates):
                    found[position] += math.log(estimate / used) ** 2
            estimator.observe(declared, used)
        return found

    def test_regression_beats_ratio_and_mean(self) -> None:
        """Run times vary by 40%, and declarations are off by as much."""
        regression, ratio, mean = self.squared_errors(0.4, 0.4)
        assert regression < 0.9 * ratio
        assert regression < 0.9 * mean

    def test_accurate_declarations_are_used(self) -> None:
        regression, _, mean = self.squared_errors(0.4, 0.01)
        assert regression < 0.01 * mean

    def test_equal_declarations_are_ignored(self) -> None:
        """The mean of the kind is used if all tasks declare the same."""
        estimator = QuantityEstimator(0.95)
        for _ in range(100):
            estimator.observe(1, 2)
        assert estimator.scale(1)[0] == pytest.approx(2)
