"""Tests of workers that turn slow, with the load at which this was seen."""

from __future__ import annotations

import pytest

from jackdawridge.execution.messages import Room
from jackdawridge.placement.health import MIN_LATE_JOBS
from jackdawridge.placement.placer import Placer
from tests.test_placement.overload import (
    Job,
    Outcome,
    Replay,
    Slowness,
    make_jobs,
)
from tests.test_placement.placers import (
    WORKER,
    make_placer,
    make_request,
    placements_at,
)

SIDES = 11
ENTRIES = 3
#: Two of eleven workers take 5.4 times as long for 8 s, as on a busy day of
#: three entries.
SLOW_WORKERS = Slowness(('s3', 's7'), 3, 11, 5.4)
#: Time during which jobs arrive, in seconds.
SECONDS = 20.0
#: Time within which slow workers are detected, in seconds.
DETECTION_TIME = 1.0
SEEDS = (1, 2, 3)
#: Fraction of the jobs that the other workers can serve in time.
MIN_IN_TIME_FRACTION = 0.9


def run_replay(seed: int, load: float, slowness: Slowness) -> Replay:
    """Return a replay that has been run."""
    replay = Replay(
        make_jobs(seed, load, SECONDS),
        SIDES,
        slowness=slowness,
        entries=ENTRIES,
    )
    replay.run()
    return replay


def in_time_fraction(replay: Replay, since: float, until: float) -> float:
    """Return the fraction of jobs of an interval that are answered in time."""
    asked: list[tuple[Job, Outcome]] = [
        (job, replay.outcomes[number])
        for number, job in enumerate(replay.jobs)
        if since <= job.at < until
    ]
    served = [
        outcome.is_served and outcome.response_time <= job.target_time
        for job, outcome in asked
    ]
    return sum(served) / len(served)


@pytest.mark.parametrize('seed', SEEDS)
class TestSlowWorkers:
    """Two of eleven workers take 5.4 times as long for 8 s."""

    def test_jobs_are_in_time_despite_slow_workers(self, seed: int) -> None:
        """Jobs that the other workers have room for are in time."""
        replay = run_replay(seed, 0.8, SLOW_WORKERS)
        assert (
            in_time_fraction(
                replay, SLOW_WORKERS.since + DETECTION_TIME, SLOW_WORKERS.until
            )
            >= MIN_IN_TIME_FRACTION
        )

    def test_slow_workers_get_few_tasks(self, seed: int) -> None:
        """A slow worker gets only probes, which show whether it recovers."""
        replay = run_replay(seed, 0.8, SLOW_WORKERS)
        seconds = range(
            int(SLOW_WORKERS.since + DETECTION_TIME) + 1,
            int(SLOW_WORKERS.until),
        )
        for side_id in SLOW_WORKERS.sides:
            starts = [replay.starts[side_id, second] for second in seconds]
            assert sum(starts) <= 2 * len(starts)

    def test_recovered_worker_is_used_again(self, seed: int) -> None:
        """A worker regains its share within seconds of its recovery."""
        replay = run_replay(seed, 1, SLOW_WORKERS)
        after = range(int(SLOW_WORKERS.until) + 4, int(SECONDS) - 1)
        share = sum(
            replay.starts[side_id, second]
            for side_id in SLOW_WORKERS.sides
            for second in after
        )
        total = sum(
            count
            for (_, second), count in replay.starts.items()
            if second in after
        )
        assert share / total >= 0.75 * len(SLOW_WORKERS.sides) / SIDES

    def test_healthy_workers_are_not_found_slow(self, seed: int) -> None:
        """Ordinary differences between tasks limit no side."""
        replay = run_replay(seed, 1, Slowness((), 0, 0, 1))
        assert not replay.placer.health.limited


class TestProbes:
    """A limited side gets probes while it still runs long tasks."""

    def prepare_placer(self) -> Placer:
        """Return a placer with a limited side that runs a long task."""
        placer = make_placer(sides=4)
        long = make_request('long')._replace(run_time=9, kind='long')
        placer.enqueue([long], 10)
        side_id = placer.place(10)[0].side_id
        for number in range(MIN_LATE_JOBS):
            placer.health.record_late(side_id, f'late-{number}', 0)
        placer.apply_health(side_id)
        assert placer.sides[side_id].is_limited
        for number in range(70):
            placer.enqueue([make_request(f'short-{number}')], 10)
        return placer

    def test_short_task_is_sent_as_probe(self) -> None:
        """The outcome of the long task would be known only seconds later."""
        placer = self.prepare_placer()
        limited = next(
            side.side_id for side in placer.open_sides if side.is_limited
        )
        placements = placer.place(10)
        assert len(placements_at(limited, placements)) == 1

    def test_no_second_probe_before_the_first_has_ended(self) -> None:
        """Probes are limited since the job of each may be late."""
        placer = self.prepare_placer()
        limited = next(
            side.side_id for side in placer.open_sides if side.is_limited
        )
        placer.place(10)
        assert not placements_at(limited, placer.place(11))

    def test_long_task_is_not_used_as_probe(self) -> None:
        """A long probe would yield its result too late."""
        placer = self.prepare_placer()
        placer.place(10)
        side = next(side for side in placer.open_sides if side.is_limited)
        side.probation.probes.clear()
        placer.apply_health(side.side_id)
        need = placer.need(make_request('other'))._replace(run_time=9)
        assert not side.takes_work(need, 12)


class TestSilentSide:
    """A side without recent reports may have run its tasks in time."""

    def prepare_placer(self) -> Placer:
        """Return a placer with two jobs running at one of five sides."""
        placer = make_placer(sides=1)
        for number in range(2):
            placer.enqueue(
                [make_request(f't{number}')._replace(reruns=True)], 10
            )
        assert len(placer.place(10)) == 2
        for number in range(1, 5):
            placer.side_joined(f's{number}', WORKER, 10)
        return placer

    def test_silent_side_is_not_found_slow(self) -> None:
        """Only the time up to the last report counts as run time."""
        placer = self.prepare_placer()
        placer.check_running()
        assert not placer.health.is_limited('s0')
        assert not placer.pop_stalled()

    def test_reporting_side_is_found_slow(self) -> None:
        """A side that reports but has not ended its tasks is slow."""
        placer = self.prepare_placer()
        placer.side_reported('s0', Room(14, 980, 1, 0), 0, 20)
        placer.check_running()
        assert placer.health.is_limited('s0')

    def test_late_jobs_of_slow_side_are_bounded(self) -> None:
        """A worker that stays slow has a new late job each second."""
        placer = self.prepare_placer()
        for number in range(100):
            placer.health.record_late('s0', f'late-{number}', number)
        assert len(placer.health.side_health('s0').late_jobs) <= MIN_LATE_JOBS
