"""Replays of a load beyond the room that falls on several entries."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import pytest

from tests.test_coordination.joint import JointReplay, RandomReplay
from tests.test_placement.overload import Job, Outcome, make_jobs

if TYPE_CHECKING:
    from collections.abc import Iterable

ENTRIES = 3
SECONDS = 10.0
SEEDS = (1, 2, 3)
#: Worth of a job by its kind, and the part that a late answer has of it.
WORTH = {'quote': 0.0291, 'check': 0.01, 'close': 0.16}  # noqa: WPS407
LATE_PART = 0.2
#: Loads over the users' rates, with the workers there are.
LOADS = ((1.2, 10), (1.35, 10))
#: What several entries may lose against one.
CLOSE = 0.01
#: What they lose at least where each decides alone.
LOSS = 0.02


def worth_of(jobs: Iterable[Job], outcomes: Iterable[Outcome]) -> float:
    """Return the part of the worth that was earned."""
    earned: dict[str, float] = defaultdict(float)
    owed: dict[str, float] = defaultdict(float)
    for job, outcome in zip(jobs, outcomes, strict=True):
        owed[job.kind] += 1
        if outcome.is_served:
            in_time = outcome.response_time <= job.target_time
            earned[job.kind] += 1 if in_time else LATE_PART
    return sum(earned[kind] * WORTH[kind] for kind in owed) / sum(
        count * WORTH[kind] for kind, count in owed.items()
    )


def play(
    replay: type[RandomReplay], entries: int, load: float, sides: int
) -> float:
    """Return the mean worth of the seeds."""
    found = []
    for seed in SEEDS:
        jobs = make_jobs(seed, load, SECONDS)
        outcomes = replay(jobs, sides, entries=entries).run()
        found.append(worth_of(jobs, outcomes))
    return sum(found) / len(SEEDS)


@pytest.mark.parametrize(('load', 'sides'), LOADS)
class TestOneRoom:
    """Callers choose entries at random; the room is too small for all."""

    def test_one_that_decides_for_three_is_as_good_as_one(
        self, load: float, sides: int
    ) -> None:
        alone = play(RandomReplay, 1, load, sides)
        joint = play(JointReplay, ENTRIES, load, sides)
        assert joint >= alone - CLOSE

    def test_three_that_decide_alone_serve_less(
        self, load: float, sides: int
    ) -> None:
        """What the lead is for."""
        apart = play(RandomReplay, ENTRIES, load, sides)
        joint = play(JointReplay, ENTRIES, load, sides)
        assert joint >= apart + LOSS
