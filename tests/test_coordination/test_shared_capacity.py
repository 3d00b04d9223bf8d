"""Replays of an overload that is spread over several entries."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import pytest

from tests.test_coordination.joint_replay import JointReplay, RandomReplay
from tests.test_placement.overload import Job, Outcome, make_jobs

if TYPE_CHECKING:
    from collections.abc import Iterable

ENTRIES = 3
LOAD_TIME = 10.0
SEEDS = (1, 2, 3)
#: Value of an answered job by its kind.
JOB_VALUES = {'quote': 0.0291, 'check': 0.01, 'close': 0.16}  # noqa: WPS407
#: Fraction of the value that is left if the answer is late.
LATE_FRACTION = 0.2
#: Load as a multiple of the users' rates, and the number of workers.
LOADS = ((1.2, 10), (1.35, 10))
#: Fraction of the value by which several entries with a lead may fall short of
#: a single entry.
MAX_SHORTFALL = 0.01
#: Fraction of the value that several entries lose at least without a lead.
MIN_LOSS = 0.02


def earned_fraction(jobs: Iterable[Job], outcomes: Iterable[Outcome]) -> float:
    """Return the fraction of the total value that was earned."""
    earned: dict[str, float] = defaultdict(float)
    expected: dict[str, float] = defaultdict(float)
    for job, outcome in zip(jobs, outcomes, strict=True):
        expected[job.kind] += 1
        if outcome.is_served:
            in_time = outcome.response_time <= job.target_time
            earned[job.kind] += 1 if in_time else LATE_FRACTION
    return sum(earned[kind] * JOB_VALUES[kind] for kind in expected) / sum(
        count * JOB_VALUES[kind] for kind, count in expected.items()
    )


def mean_earned_fraction(
    replay: type[RandomReplay | JointReplay],
    entries: int,
    load: float,
    sides: int,
) -> float:
    """Return the mean fraction of the value earned over the seeds."""
    found = []
    for seed in SEEDS:
        jobs = make_jobs(seed, load, LOAD_TIME)
        outcomes = replay(jobs, sides, entries=entries).run()
        found.append(earned_fraction(jobs, outcomes))
    return sum(found) / len(SEEDS)


@pytest.mark.parametrize(('load', 'sides'), LOADS)
class TestSharedCapacity:
    """Jobs are sent to random entries, and the load exceeds the capacity."""

    def test_lead_of_three_earns_as_much_as_one_entry(
        self, load: float, sides: int
    ) -> None:
        alone = mean_earned_fraction(RandomReplay, 1, load, sides)
        joint = mean_earned_fraction(JointReplay, ENTRIES, load, sides)
        assert joint >= alone - MAX_SHORTFALL

    def test_three_independent_entries_earn_less(
        self, load: float, sides: int
    ) -> None:
        """Entries earn less without a lead."""
        apart = mean_earned_fraction(RandomReplay, ENTRIES, load, sides)
        joint = mean_earned_fraction(JointReplay, ENTRIES, load, sides)
        assert joint >= apart + MIN_LOSS
