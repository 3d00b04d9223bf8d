"""Tests of workers that fail all tasks, at the load at which this was seen."""

from __future__ import annotations

import pytest

from jackdawridge.placement.health import MIN_SUSPECT_JOBS, FleetHealth
from tests.test_placement.overload import (
    SHIFTED_KINDS,
    SHIFTED_TASK_CORES,
    Failing,
    Replay,
    make_jobs,
)

SIDES = 60
ALL_SIDES = tuple(f's{number}' for number in range(SIDES))
#: Four of sixty workers fail all that they start for 4.6 s.
FAILING_WORKERS = Failing(('s3', 's17', 's31', 's52'), 2, 6.6)
#: One kind of task fails everywhere meanwhile.
FAILING_KIND = Failing(ALL_SIDES, 2, 6.6, 'driver-fill')
#: Time during which jobs arrive, in seconds.
SECONDS = 8.0
SEEDS = (1, 2, 3)
#: Most tasks that an entry may lose to a worker after it has learned of the
#: first failure there.
MAX_LOST_TASKS = 5
#: Number of entries that use the same workers.
ENTRIES = 3


def run_replay(seed: int, failing: Failing, entries: int = 1) -> Replay:
    """Return a replay of the shifted work that has been run."""
    jobs = make_jobs(seed, 0.8, SECONDS, SHIFTED_KINDS, SHIFTED_TASK_CORES)
    replay = Replay(
        jobs, SIDES, kinds=SHIFTED_KINDS, failing=failing, entries=entries
    )
    replay.run()
    return replay


def lost_tasks(replay: Replay) -> list[int]:
    """Return the number of failed tasks of each failing worker."""
    return [replay.failures[side_id] for side_id in FAILING_WORKERS.sides]


@pytest.mark.parametrize('seed', SEEDS)
class TestFailingWorkers:
    """Four of sixty workers fail all tasks at once, and so look empty."""

    def test_few_tasks_are_lost_to_each_worker(self, seed: int) -> None:
        """A failing worker soon gets nothing but probes."""
        replay = run_replay(seed, FAILING_WORKERS)
        assert max(lost_tasks(replay)) <= MAX_LOST_TASKS

    def test_each_entry_finds_failing_workers(self, seed: int) -> None:
        """Entries that see a part of the tasks each lose few of them."""
        replay = run_replay(seed, FAILING_WORKERS, ENTRIES)
        assert max(lost_tasks(replay)) <= ENTRIES * MAX_LOST_TASKS

    def test_failing_kind_limits_no_worker(self, seed: int) -> None:
        """A kind that fails everywhere leaves all workers to the others."""
        replay = run_replay(seed, FAILING_KIND)
        others = [
            outcome
            for number, outcome in replay.outcomes.items()
            if replay.jobs[number].kind != FAILING_KIND.kind
            and FAILING_KIND.since <= replay.jobs[number].at
            and replay.jobs[number].at < FAILING_KIND.until
        ]
        assert all(outcome.is_served for outcome in others)
        assert not replay.placer.health.limited


class TestBlame:
    """Failures are blamed on the kind or on the sides."""

    def make_fleet(self, successful: int) -> FleetHealth:
        """Return the health of a fleet with one failed task."""
        fleet = FleetHealth()
        fleet.record_failure('bad', 'kind', 0, 0, 'first')
        for number in range(successful):
            fleet.record_success(f's{number}', 'kind', number, 1)
        return fleet

    def test_few_failing_sides_are_blamed(self) -> None:
        """Two sides that fail one after the other are both limited."""
        fleet = self.make_fleet(8)
        for number in range(1, MIN_SUSPECT_JOBS):
            fleet.record_failure('bad', 'kind', number, 0, f'job-{number}')
        for number in range(MIN_SUSPECT_JOBS):
            fleet.record_failure('worse', 'kind', number, 0, f'job-{number}')
        assert fleet.is_limited('bad')
        assert fleet.is_limited('worse')

    def test_kind_that_turns_bad_everywhere_is_blamed(self) -> None:
        """The successes of a side stop counting once it fails, too."""
        fleet = self.make_fleet(8)
        for side in range(8):
            for job in range(MIN_SUSPECT_JOBS):
                fleet.record_failure(f's{side}', 'kind', 9, 0, f'{side}-{job}')
        assert not any(fleet.is_limited(f's{side}') for side in range(8))
        assert not fleet.is_limited('bad')

    def test_side_that_left_is_no_evidence(self) -> None:
        """A side that was replaced speaks neither for a kind nor against."""
        fleet = self.make_fleet(1)
        fleet.forget('s0')
        fleet.record_failure('other', 'kind', 1, 0)
        assert not fleet.is_limited('other')
