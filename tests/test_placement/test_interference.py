"""Tests of kinds of tasks that slow each other down on one worker.

Tasks of a kind take up to three times as long beside a worker full of another
kind, so that their jobs are late although there is room apart.
"""

from __future__ import annotations

import math
import random

import pytest

from jackdawridge.execution.messages import Room
from jackdawridge.placement.interference import (
    BACKGROUND,
    HALF_LIFE,
    KIND_EXPIRY,
    MAX_KINDS,
    InterferenceModel,
    Pair,
)
from jackdawridge.placement.learned_separation import LearnedSeparation
from jackdawridge.placement.neighbours import MIN_SIDE_TASKS, Neighbours
from jackdawridge.placement.placer import Placer
from tests.test_placement.disturbance import Disturbance, DisturbedReplay
from tests.test_placement.overload import make_jobs
from tests.test_placement.placers import (
    SUCCESS,
    WORKER,
    make_placer,
    make_request,
)

SIDES = 11
SECONDS = 40.0
SEEDS = (1, 2, 3)
DISTURBANCES = (
    Disturbance('check', 'close', 2),
    Disturbance('close', 'check', 2),
)
#: Run time factors by side of a kind of worker that takes 2.4 times as long.
RUN_TIME_FACTORS = {'s2': 2.4, 's5': 2.4, 's9': 2.4}  # noqa: WPS407
KINDS = ('quote', 'check', 'close')


def run_replay(
    seed: int,
    disturbances: tuple[Disturbance, ...] = (),
    *,
    load: float = 0.6,
    is_separated: bool = True,
    overload: float = 0,
    run_time_factors: dict[str, float] | None = None,
) -> DisturbedReplay:
    """Return a replay that has been run."""
    replay = DisturbedReplay(
        make_jobs(seed, load, SECONDS),
        SIDES,
        disturbances,
        is_separated=is_separated,
        overload=overload,
        run_time_factors=run_time_factors or {},
    )
    replay.run()
    return replay


def timely_fraction(replay: DisturbedReplay) -> float:
    """Return the fraction of the jobs that were answered in time."""
    timely = [
        outcome.is_served and outcome.response_time <= job.target_time
        for number, job in enumerate(replay.jobs)
        for outcome in (replay.outcomes[number],)
    ]
    return sum(timely) / len(timely)


class Observations:
    """Synthetic observations of a model, one every 50 ms."""

    def __init__(self, seed: int) -> None:
        """Initialise a model that has admitted all kinds."""
        self.random = random.Random(seed)
        self.model = InterferenceModel()
        self.now: float = 0

    def add(self, count: int, slowdown: float = 0, tail: float = 0) -> None:
        """Add observations.

        :param count: number of observations.
        :param slowdown: logarithm of the slow-down of `check` by a worker full
            of `close`.
        :param tail: fraction of the tasks that take seven times as long.
        """
        for _ in range(count):
            self.now += 0.05
            kind = self.random.choice(KINDS)
            self.model.admit(kind, self.now)
            beside = {
                other: self.random.uniform(0, 0.4)
                for other in (BACKGROUND, *KINDS)
            }
            log_ratio = self.random.gauss(0, 0.35)
            if kind == 'check':
                log_ratio += slowdown * beside['close']
            if self.random.random() < tail:
                log_ratio += math.log(7)
            self.model.observe(kind, beside, log_ratio, self.now)


class TestDisturbance:
    """A planted disturbance is found, and its kinds are kept apart."""

    @pytest.mark.parametrize('seed', SEEDS)
    def test_more_jobs_are_in_time(self, seed: int) -> None:
        """Fewer jobs are late, and none is refused for it."""
        separated = run_replay(seed, DISTURBANCES)
        mixed = run_replay(seed, DISTURBANCES, is_separated=False)
        pairs = separated.placer.separation.pairs()
        assert {'check', 'close'} in [set(pair) for pair in pairs]
        assert separated.placer.separation.separated
        assert timely_fraction(separated) > timely_fraction(mixed)
        assert all(one.is_served for one in separated.outcomes.values())

    def test_only_the_disturbed_kind_is_found(self) -> None:
        observations = Observations(1)
        observations.add(3000, slowdown=1)
        assert list(observations.model.pairs) == [Pair('check', 'close')]

    def test_pair_is_forgotten_when_it_ends(self) -> None:
        """The weight of what was seen before halves by the minute."""
        observations = Observations(1)
        observations.add(3000, slowdown=1)
        observations.add(round(8 * HALF_LIFE / 0.05))
        assert not observations.model.pairs
        changes = observations.model.pop_changes()
        assert [change.is_found for change in changes] == [True, False]
        assert not observations.model.partners


class TestNoDisturbance:
    """Loads that look like a disturbance are not taken for one."""

    @pytest.mark.parametrize('seed', range(10))
    def test_random_run_times(self, seed: int) -> None:
        observations = Observations(seed)
        observations.add(5000)
        assert not observations.model.pop_changes()

    @pytest.mark.parametrize('seed', range(10))
    def test_long_tail(self, seed: int) -> None:
        """Three in a hundred tasks take seven times as long."""
        observations = Observations(seed)
        observations.add(5000, tail=0.03)
        assert not observations.model.pop_changes()

    @pytest.mark.parametrize('load', [0.6, 1.2])
    @pytest.mark.parametrize('seed', SEEDS)
    def test_undisturbed_replay(self, seed: int, load: float) -> None:
        replay = run_replay(seed, load=load)
        assert not replay.placer.separation.pop_changes()

    @pytest.mark.parametrize('seed', SEEDS)
    def test_slow_kind_of_worker(self, seed: int) -> None:
        replay = run_replay(seed, run_time_factors=RUN_TIME_FACTORS)
        assert not replay.placer.separation.pop_changes()

    @pytest.mark.parametrize('seed', SEEDS)
    def test_full_workers_slow_all_tasks(self, seed: int) -> None:
        """All kinds alike take twice as long at a full worker."""
        replay = run_replay(seed, overload=1)
        assert not replay.placer.separation.pop_changes()


class TestBounds:
    """Memory and work are bounded, however many kinds there are."""

    def test_kinds_are_bounded(self) -> None:
        model = InterferenceModel()
        admitted = [model.admit(f'k{number}', 0) for number in range(100)]
        assert sum(admitted) == MAX_KINDS
        assert len(model.fits) == MAX_KINDS

    def test_expired_kind_makes_way(self) -> None:
        """Its pairs are forgotten with it."""
        model = InterferenceModel()
        for number in range(MAX_KINDS):
            model.admit(f'k{number}', number)
        model.pairs[Pair('k1', 'k0')] = 1
        assert not model.admit('new', KIND_EXPIRY - 1)
        assert model.admit('new', KIND_EXPIRY)
        assert 'k0' not in model.fits
        assert not model.pairs
        assert model.positions['new'] == 1

    def test_sides_and_samples_are_discarded(self) -> None:
        """Nothing is kept of tasks that have ended and sides that have left."""
        placer = make_separating_placer(sides=1)
        placer.enqueue([make_request()], 10)
        placement = placer.place(10)[0]
        separation = placer.separation
        assert isinstance(separation, LearnedSeparation)
        assert separation.samples
        placer.refused(placement.request.key, 's0', 'busy', 10)
        placer.side_left('s0')
        assert not separation.samples
        assert not separation.sides


def make_separating_placer(sides: int) -> Placer:
    """Return a placer that knows that kinds 1 and 2 slow each other down."""
    placer = make_placer(sides)
    separation = LearnedSeparation()
    for kind, neighbour in (('1', '2'), ('2', '1')):
        separation.model.pairs[Pair(kind, neighbour)] = 2
        separation.model.partners[kind] = {neighbour}
    placer.separation = separation
    return placer


class TestPlacement:
    """Kinds are kept apart only where there is room for it."""

    def place(self, placer: Placer) -> list[str]:
        """Return the sides of a task of kind 1 and of two of kind 2."""
        placer.enqueue([make_request('t1', cores=1)], 10)
        first = placer.place(10)
        placer.enqueue(
            [make_request('t2', task, cores=2) for task in range(2)], 10
        )
        return [one.side_id for one in (*first, *placer.place(10))]

    def test_tasks_are_placed_apart(self) -> None:
        first, *others = self.place(make_separating_placer(2))
        other = 's1' if first == 's0' else 's0'
        assert others == [other, other]

    def test_no_task_waits_for_it(self) -> None:
        """A single side gets both kinds."""
        assert self.place(make_separating_placer(1)) == ['s0', 's0', 's0']

    def test_full_sides_are_no_room(self) -> None:
        """The only side with room gets both kinds."""
        placer = make_separating_placer(2)
        placer.side_reported('s1', Room(0, 0, 0, 16), 0, 10)
        assert self.place(placer) == ['s0', 's0', 's0']


class TestNeighbours:
    """The use of a worker of 10 cores, integrated over time."""

    def test_cores_are_integrated(self) -> None:
        neighbours = Neighbours(10)
        neighbours.add('a', 2, 0)
        neighbours.add('a', 3, 1)
        neighbours.remove('a', 2, 3)
        assert neighbours.totals(5) == {'a': 2 + 5 * 2 + 3 * 2}
        assert neighbours.fraction('a') == pytest.approx(0.3)

    def test_background_is_what_no_kind_uses(self) -> None:
        neighbours = Neighbours(10)
        neighbours.add('a', 2, 0)
        neighbours.set_used(6, 0)
        assert neighbours.fraction(BACKGROUND) == pytest.approx(0.4)

    def test_more_cores_than_are_used_are_not_removed(self) -> None:
        """The use before was discarded with a kind that made way."""
        neighbours = Neighbours(10)
        neighbours.add('a', 1, 0)
        neighbours.remove('a', 8, 1)
        neighbours.set_used(0, 1)
        assert neighbours.known_cores == pytest.approx(0)
        assert neighbours.fraction(BACKGROUND) == pytest.approx(0)

    def test_ratios_are_relative_to_the_side(self) -> None:
        """A worker that always takes twice as long is no disturbance."""
        neighbours = Neighbours(10)
        for _ in range(MIN_SIDE_TASKS):
            assert neighbours.adjusted(math.log(2)) is None
        assert neighbours.adjusted(math.log(2)) == pytest.approx(0)


class TestReturningSide:
    """A side leaves, and comes back while a task from before still runs."""

    def make_placer(self) -> Placer:
        """Return a placer with a task on each link of its side."""
        placer = make_separating_placer(1)
        self.place(placer, 'before')
        placer.side_left('s0')
        placer.side_joined('s0', WORKER, 10)
        placer.side_reported('s0', Room(15, 1000, 1, 0), 0, 11)
        self.place(placer, 'after')
        return placer

    def place(self, placer: Placer, ticket: str) -> None:
        """Place a task."""
        placer.enqueue([make_request(ticket)], 20)
        assert placer.place(20)

    def find_neighbours(self, placer: Placer) -> Neighbours:
        """Return the use of the cores of the side."""
        separation = placer.separation
        assert isinstance(separation, LearnedSeparation)
        return separation.sides['s0']

    def test_task_from_before_is_not_taken_for_a_later_one(self) -> None:
        placer = self.make_placer()
        neighbours = self.find_neighbours(placer)
        assert neighbours.fraction('1') == pytest.approx(1 / 16)
        placer.ended(('before', 0), 's0', 'succeeded', SUCCESS, 21)
        assert neighbours.fraction('1') == pytest.approx(1 / 16)
        placer.ended(('after', 0), 's0', 'succeeded', SUCCESS, 21)
        assert neighbours.known_cores == pytest.approx(0)

    def test_second_end_changes_nothing(self) -> None:
        placer = self.make_placer()
        for _ in range(2):
            placer.ended(('before', 0), 's0', 'succeeded', SUCCESS, 21)
        neighbours = self.find_neighbours(placer)
        assert neighbours.fraction('1') == pytest.approx(1 / 16)

    def test_use_refers_to_its_present_size(self) -> None:
        placer = self.make_placer()
        placer.side_joined('s0', WORKER._replace(cores=32), 10)
        placer.side_reported('s0', Room(30, 1000, 1, 0), 0, 11)
        self.place(placer, 'larger')
        neighbours = self.find_neighbours(placer)
        assert neighbours.fraction('1') == pytest.approx(2 / 32)

    def test_worker_of_unknown_size_is_left_out(self) -> None:
        """A lead takes over a task before the side knows its target."""
        placer = make_separating_placer(2)
        self.place(placer, 'known')
        assignment = placer.assignments['known', 0]
        other = 's1' if assignment.side_id == 's0' else 's0'
        placer.side_joined(other, WORKER._replace(cores=0), 20)
        request = make_request('taken')
        taken = assignment._replace(
            side_id=other, request=request, placed_at=21
        )
        placer.assign(taken, placer.sides[other], 'taken over')
        placer.ended(request.key, other, 'succeeded', SUCCESS, 23)
        assert placer.placed == 2
        assert not placer.assignments.keys() & {request.key}

    @pytest.mark.parametrize('run_time', [math.nan, math.inf])
    def test_meaningless_run_time_is_left_out(self, run_time: float) -> None:
        placer = self.make_placer()
        separation = placer.separation
        assert isinstance(separation, LearnedSeparation)
        for key, assignment in placer.assignments.items():
            sample = separation.samples[key]
            separation.succeeded(assignment, 1, 21)
            separation.succeeded(assignment, run_time, 21)
            assert math.isfinite(sample.neighbours.mean_log_ratio)
