"""Tests of the estimates and the side health learned from ended tasks."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.placement.health import FleetHealth
from jackdawridge.placement.learning import Learner, Usage
from jackdawridge.placement.request import Request
from jackdawridge.placement.sketch import Sketch

#: Number of observed tasks.
TASKS = 200


def make_request(cores: float, run_time: float = 1) -> Request:
    """Return a request of a task of kind `kind`."""
    return Request('t', 0, 'team', 'kind', cores, 100, 0, run_time)


class TestSketch:
    """Quantiles are accurate up to the width of a bucket."""

    @given(st.lists(st.floats(0.001, 1000), min_size=1, max_size=300))
    def test_quantiles(self, values: list[float]) -> None:
        """Quantiles are close to the exact values of their rank."""
        sketch = Sketch()
        for value in values:
            sketch.observe(value)
        ranked = sorted(values)
        for fraction in (0.1, 0.5, 0.9):
            exact = ranked[max(0, math.ceil(fraction * len(values)) - 1)]
            assert sketch.quantile(fraction) == pytest.approx(exact, rel=0.1)

    def test_old_values_decay(self) -> None:
        """Old observations no longer affect the mean."""
        sketch = Sketch()
        for number in range(5000):
            sketch.observe(1 if number < 1000 else 10)
        assert sketch.mean() == pytest.approx(10, rel=0.05)


class TestLearner:
    """Inaccurate declarations are corrected."""

    def test_constant_factor(self) -> None:
        """Declarations that are off by a constant factor are scaled."""
        learner = Learner()
        generator = random.Random(1)
        for _ in range(TASKS):
            cores = generator.uniform(0.2, 8)
            usage = Usage(cores, 100, 1)
            learner.observe(make_request(cores * 10), usage)
        for cores in (1, 5):
            need = learner.need(make_request(cores * 10))
            assert need.cores == pytest.approx(cores, rel=0.1)

    def test_useless_declarations(self) -> None:
        """Arbitrary declarations are replaced by the measured usage."""
        learner = Learner()
        generator = random.Random(1)
        for _ in range(TASKS):
            declared = 10 ** generator.uniform(-1, 1)
            learner.observe(make_request(declared), Usage(2, 100, 1))
        need = learner.need(make_request(0.1))
        assert need.cores == pytest.approx(2, rel=0.1)

    def test_unknown_kind(self) -> None:
        """Declared values are used for a kind without observations."""
        assert Learner().need(make_request(3)).cores == 3


class TestSlowSides:
    """Sides are compared with the rest of the fleet."""

    def run_tasks(self, fleet: FleetHealth, factor: float) -> None:
        """Run tasks that take longer at one side by a factor."""
        for number in range(60):
            for side in range(4):
                took = factor if side == 0 else 1
                fleet.record_success(f's{side}', 'kind', number, took)

    def test_straggler_is_limited_and_recovers(self) -> None:
        """A slow side is limited until it is as fast as the others."""
        fleet = FleetHealth()
        self.run_tasks(fleet, 8)
        assert fleet.evaluate('s0', 4).is_limited
        assert not fleet.evaluate('s1', 4).is_limited
        self.run_tasks(fleet, 1)
        assert not fleet.evaluate('s0', 4).is_limited

    def test_slow_kind_limits_no_side(self) -> None:
        """Tasks that exceed their estimate at all sides limit none of them."""
        fleet = FleetHealth()
        for number in range(400):
            fleet.record_success(f's{number % 4}', 'kind', number, 8)
        assert not any(
            fleet.evaluate(f's{side}', 4).is_limited for side in range(4)
        )

    def test_failing_kind_limits_no_side(self) -> None:
        """A kind of task that fails at several sides limits none of them."""
        fleet = FleetHealth()
        fleet.record_failure('s0', 'kind', 1, 0)
        assert fleet.evaluate('s0', 4).is_limited
        fleet.record_failure('s1', 'kind', 2, 0)
        assert not fleet.evaluate('s0', 4).is_limited
        assert not fleet.evaluate('s1', 4).is_limited


class TestSuspects:
    """Failures of tasks that are retried elsewhere."""

    def make_failing_fleet(self, tickets: list[str]) -> FleetHealth:
        fleet = FleetHealth()
        for number, ticket in enumerate(tickets):
            fleet.record_failure('s0', 'kind', number, 0, ticket)
        return fleet

    def test_one_job_limits_no_side(self) -> None:
        assert not self.make_failing_fleet(['a', 'a', 'a']).is_limited('s0')

    def test_two_jobs_limit_a_side(self) -> None:
        assert self.make_failing_fleet(['a', 'b']).is_limited('s0')

    def test_success_in_between_cancels_the_first_failure(self) -> None:
        fleet = self.make_failing_fleet(['a'])
        fleet.record_success('s0', 'kind', 1, 1)
        fleet.record_failure('s0', 'kind', 2, 0, 'b')
        assert not fleet.is_limited('s0')
