"""Tests of work that shifts while it runs."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

import pytest

from tests.test_placement.overload import (
    SHIFTED_KINDS,
    SHIFTED_TASK_CORES,
    Job,
    Kind,
    Replay,
    make_jobs,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

SIDES = 45
ENTRIES = 3
SEEDS = (1, 2)
#: Time of the shift, and duration of the work before and after it, in seconds.
SHIFT_AT = 6.0
#: Time within which decisions fit the new work, in seconds.
ADAPTATION_TIME = 1.0
#: Fraction of the jobs that may be late from then on beyond those that are late
#: where the work has always been the new one.
MAX_LOSS = 0.03
#: Factor on the rates of the mixes: 71% and 86% of the cores are used.
LOAD = 0.85
#: The same kinds with other rates, sizes and run times.
CHANGED_KINDS: Mapping[str, Kind] = MappingProxyType(
    {
        'pump-tick': Kind(0, 40, 4, 0.5),
        'tank-recon': Kind(2, 60, 2, 0.6),
        'driver-fill': Kind(1, 300, 2, 0.15),
    }
)
CHANGED_TASK_CORES = 3.0


class Mix(NamedTuple):
    """A mix of jobs, as callers declare it."""

    kinds: Mapping[str, Kind]
    task_cores: float
    #: Factor on the run times that callers declare.
    declared_factor: float

    def make_jobs(self, seed: int, since: float) -> list[Job]:
        """Return the jobs of `SHIFT_AT` seconds."""
        jobs = make_jobs(seed, LOAD, SHIFT_AT, self.kinds, self.task_cores)
        return [
            job._replace(
                at=job.at + since, declared=job.declared * self.declared_factor
            )
            for job in jobs
        ]


SHIFTED = Mix(SHIFTED_KINDS, SHIFTED_TASK_CORES, 1)
CHANGED = Mix(CHANGED_KINDS, CHANGED_TASK_CORES, 2)


def in_time_fraction(seed: int, before: Mix, after: Mix) -> float:
    """Return the fraction of jobs in time once decisions should fit."""
    jobs = before.make_jobs(seed, 0) + after.make_jobs(seed + 100, SHIFT_AT)
    replay = Replay(jobs, SIDES, entries=ENTRIES, kinds=SHIFTED_KINDS)
    replay.run()
    in_time = [
        replay.outcomes[number].is_served
        and replay.outcomes[number].response_time <= job.target_time
        for number, job in enumerate(jobs)
        if job.at >= SHIFT_AT + ADAPTATION_TIME
    ]
    return sum(in_time) / len(in_time)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(
    ('before', 'after'), [(SHIFTED, CHANGED), (CHANGED, SHIFTED)]
)
class TestShift:
    """Mix, sizes, run times and what is declared change at one moment."""

    def test_decisions_soon_fit_as_if_the_work_had_always_been_so(
        self, seed: int, before: Mix, after: Mix
    ) -> None:
        shifted = in_time_fraction(seed, before, after)
        settled = in_time_fraction(seed, after, after)
        assert shifted >= settled - MAX_LOSS
