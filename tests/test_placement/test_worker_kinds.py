"""Replays of two kinds of workers that are far apart.

A third of the workers, half as large again, take 1.7 times the stated work and
the others 0.7 times, where objectives allow 1.6 times the stated work. Long
work was late from its start at the slow kind, and the slow workers were taken
for faulty ones.
"""

from __future__ import annotations

import random
from collections import Counter

import pytest

from jackdawridge.placement.request import Request
from jackdawridge.placement.side_view import SideInfo
from jackdawridge.placement.worker_kinds import (
    MAX_COUNTED_JOBS,
    MAX_TASK_KINDS,
    MAX_WORKER_KINDS,
    WorkerKinds,
)
from tests.test_placement.overload import (
    CORES,
    MEMORY,
    NO_SLOWNESS,
    Job,
    Kind,
    Replay,
    Slowness,
    make_jobs,
)

SIDES = 12
SLOW_SIDES = tuple(f's{number}' for number in range(0, SIDES, 3))
#: Fraction of the customer's 53 workers that is replayed.
SCALE = SIDES / 53
KINDS = {  # noqa: WPS407
    'pick': Kind(0, 90.6 * SCALE, 8, 0.102),
    'settle': Kind(2, 16.5 * SCALE, 4, 1.52),
    'peek': Kind(1, 264 * SCALE, 2, 0.34),
}
#: Five cores of 64.
MEAN_CORES = 5 / 64 * CORES
SECONDS = 6.0
#: Three tasks in a hundred take seven times as long.
TAIL_FRACTION = 0.03
TAIL_FACTOR = 7
#: Longest work of a task, in seconds.
MAX_RUN_TIME = 16.2
SEEDS = (1, 2)
FACTORS = (0.7, 1.7)
#: Fraction of the jobs of a kind that may be late with half of the room free.
MAX_LATE_FRACTION = 0.05
#: Fractions of the time at which a sound worker may be limited, and at which
#: one has to be that is faulty in two thirds of the time.
MAX_LIMITED_FRACTION = 0.1
MIN_FAULTY_FRACTION = 0.25
#: Time of traffic after which the factors have to be known, in seconds.
MAX_LEARNING_TIME = 1.0


def long_tailed_jobs(seed: int, load: float) -> list[Job]:
    """Return the jobs of the load, some of whose tasks take much longer."""
    source = random.Random(seed)
    return [
        job._replace(
            run_times=tuple(
                lengthen(run_time, source) for run_time in job.run_times
            )
        )
        for job in make_jobs(seed, load, SECONDS, KINDS, MEAN_CORES)
    ]


def lengthen(run_time: float, source: random.Random) -> float:
    """Return the work of a task, in a few cases much longer."""
    if source.random() < TAIL_FRACTION:
        run_time *= TAIL_FACTOR
    return min(run_time, MAX_RUN_TIME)


class KindsReplay(Replay):
    """A replay that observes the factors and limits of the first entry.

    :param factors: factors on the run time at the two kinds of workers.
    :param announced: whether the entries use the announced kinds.
    """

    def __init__(
        self,
        seed: int,
        load: float = 1,
        factors: tuple[float, float] = FACTORS,
        slowness: Slowness = NO_SLOWNESS,
        *,
        announced: bool = True,
    ) -> None:
        #: Time at which the factors took effect, in seconds.
        self.known_at = float('inf')
        #: Number of observations since then, and for each side of those at
        #: which it was limited.
        self.observed = 0
        self.limited: Counter[str] = Counter()
        kinds = {
            f's{number}': 'b' if f's{number}' in SLOW_SIDES else 'a'
            for number in range(SIDES)
        }
        super().__init__(
            long_tailed_jobs(seed, load),
            SIDES,
            entries=2,
            kinds=KINDS,
            slowness=slowness,
            run_time_factors={
                side: factors[kind == 'b'] for side, kind in kinds.items()
            },
            worker_kinds=kinds if announced else {},
            cores=dict.fromkeys(SLOW_SIDES, 1.5 * CORES),
            drain_time=MAX_RUN_TIME * max(factors) * slowness.factor,
        )
        self.run()

    def step(self, now: float) -> None:
        """Observe the first entry after each step."""
        super().step(now)
        if not self.placer.worker_kinds.factors or now > SECONDS:
            return
        self.known_at = min(self.known_at, round(now, 3))
        self.observed += 1
        self.limited.update(self.placer.health.limited)

    def limited_fraction(self, side_id: str) -> float:
        """Return the fraction of the time at which a side was limited."""
        return self.limited[side_id] / self.observed

    def late_fraction(self, kind: str) -> float:
        """Return the fraction of the jobs of a kind not answered in time.

        Jobs that arrive before the factors have to be known are left out.
        """
        in_time = [
            outcome.is_served and outcome.response_time <= job.target_time
            for number, job in enumerate(self.jobs)
            for outcome in (self.outcomes[number],)
            if job.kind == kind and job.at >= MAX_LEARNING_TIME
        ]
        return 1 - sum(in_time) / len(in_time)


class TestUnequalWorkers:
    """With half of the room free, callers do not notice the slow workers."""

    @pytest.mark.parametrize('kind', KINDS)
    def test_few_jobs_are_late(self, kind: str) -> None:
        late = [KindsReplay(seed).late_fraction(kind) for seed in SEEDS]
        assert sum(late) / len(late) <= MAX_LATE_FRACTION

    @pytest.mark.parametrize('seed', SEEDS)
    def test_factor_is_known_within_the_first_seconds(self, seed: int) -> None:
        replay = KindsReplay(seed)
        assert replay.known_at <= MAX_LEARNING_TIME
        factor = replay.placer.worker_kinds.factors['b']
        assert factor == pytest.approx(FACTORS[1] / FACTORS[0], rel=0.25)

    def test_factor_holds_for_a_worker_that_was_never_tried(self) -> None:
        placer = KindsReplay(1).placer
        placer.side_joined(
            'new', SideInfo('d', CORES, MEMORY, 0, worker_kind='b'), 20
        )
        placer.kind_adjustment.update()
        factor = placer.sides['new'].run_time_factor
        assert factor == placer.worker_kinds.factors['b']


class TestFaults:
    """A worker is judged against its own kind."""

    @pytest.mark.parametrize('seed', SEEDS)
    def test_sound_workers_are_not_limited(self, seed: int) -> None:
        """Neither the slow kind nor a few very long tasks are a fault."""
        replay = KindsReplay(seed)
        for number in range(SIDES):
            fraction = replay.limited_fraction(f's{number}')
            assert fraction <= MAX_LIMITED_FRACTION

    @pytest.mark.parametrize('faulty', ['s1', 's3'])
    def test_faulty_worker_of_either_kind_is_limited(self, faulty: str) -> None:
        slowness = Slowness((faulty,), 2, SECONDS, 7.6)
        replay = KindsReplay(1, 1.5, slowness=slowness)
        assert replay.limited_fraction(faulty) >= MIN_FAULTY_FRACTION

    def test_factor_survives_faulty_workers(self) -> None:
        """A quarter of the workers are slow for some seconds."""
        slowness = Slowness(('s1', 's2', 's4'), 0, 4, 7.6)
        factors = KindsReplay(1, slowness=slowness).placer.worker_kinds.factors
        assert factors['b'] == pytest.approx(FACTORS[1] / FACTORS[0], rel=0.3)


class TestKindsLessFarApart:
    """Nothing changes where the objectives cover the differences."""

    @pytest.mark.parametrize('factors', [(1, 1), (1.2, 1.56), (0.8, 1.25)])
    def test_outcomes_are_the_same(self, factors: tuple[float, float]) -> None:
        announced, ignored = (
            KindsReplay(1, 0.7, factors, announced=announced)
            for announced in (True, False)
        )
        assert announced.outcomes == ignored.outcomes


class TestWorkerKinds:
    """Factors from run times that vary by up to 40% between jobs."""

    def learn(self, *, declared: float = 1) -> WorkerKinds:
        """Return the factors of kinds that take 0.7 and 1.7 times as long."""
        source = random.Random(1)
        kinds = WorkerKinds()
        kinds.is_enabled = True
        kinds.observe_stretch(1.6)
        for number in range(60):
            request = Request(str(number), 0, 'team', 'pick', 1, 1, 0, declared)
            worker_kind = 'ab'[number % 2]
            run_time = FACTORS[number % 2] * source.uniform(0.6, 1.4)
            kinds.observe(worker_kind, request, run_time, 1)
        kinds.update()
        return kinds

    def test_work_is_owed_as_stated(self) -> None:
        assert self.learn().owed_factor == pytest.approx(1 / 0.7, rel=0.2)

    def test_overstated_work_is_owed_up_to_the_slowest_kind(self) -> None:
        kinds = self.learn(declared=10)
        assert kinds.owed_factor == kinds.factors['b']

    def test_understated_work_is_owed_as_measured(self) -> None:
        assert self.learn(declared=0.1).owed_factor == 1

    def test_change_is_reported_once(self) -> None:
        kinds = self.learn()
        change = kinds.pop_change()
        assert change is not None
        assert change['jobs'] == {'a': 30, 'b': 30}
        assert kinds.pop_change() is None

    def test_laxer_objectives_do_not_end_the_effect(self) -> None:
        kinds = self.learn()
        kinds.observe_stretch(8)
        assert not kinds.update()
        assert kinds.factors

    def test_memory_is_bounded(self) -> None:
        kinds = self.learn()
        for number in range(3000):
            name = str(number)
            request = Request(name, 0, 'team', name, 1, 1, 0, 1)
            kinds.observe(name, request, 1, 1)
            kinds.observe('a', request, 1, 1)
        assert len(kinds.ratios) <= MAX_TASK_KINDS + 1
        assert len(kinds.declared_ratios) <= MAX_TASK_KINDS + 1
        assert len(kinds.counted_jobs) <= MAX_COUNTED_JOBS
        assert max(map(len, kinds.ratios.values())) <= MAX_WORKER_KINDS

    def test_unknown_kinds_are_not_compared(self) -> None:
        kinds = WorkerKinds()
        kinds.is_enabled = True
        kinds.observe('', Request('1', 0, 'team', 'pick', 1, 1, 0, 1), 1, 1)
        assert not kinds.ratios
