"""Tests of workers of a slower kind, by the load that they were seen under."""

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
#: Three of eleven workers take 1.3 times as long as the others, which take
#: 1.2 times what the objectives reckon with.
PACES = {  # noqa: WPS407
    f's{number}': 1.56 if number in {2, 5, 9} else 1.2
    for number in range(SIDES)
}
SECONDS = 12.0
SEEDS = (1, 2, 3)
#: Part of the jobs that may be answered late at a load near the room.
MAX_LATE_FRACTION = 0.06

OBJECTIVE = Objective(1.6, 0.06)


def run_replay(seed: int, load: float) -> Replay:
    """Return a replay that has been played."""
    jobs = make_jobs(seed, load, SECONDS)
    replay = Replay(jobs, SIDES, paces=PACES)
    replay.run()
    return replay


def late_fraction(replay: Replay) -> float:
    """Return the part of the jobs that were answered late."""
    late = [
        outcome.is_served and outcome.took > job.aimed
        for number, job in enumerate(replay.jobs)
        for outcome in (replay.outcomes[number],)
    ]
    return sum(late) / len(late)


class TestSlowerKind:
    """What has waited goes to the faster workers."""

    def test_few_are_late(self) -> None:
        """A job that waited is late at a slower worker for sure."""
        parts = [late_fraction(run_replay(seed, 1)) for seed in SEEDS]
        assert sum(parts) / len(parts) <= MAX_LATE_FRACTION

    @pytest.mark.parametrize('seed', SEEDS)
    def test_slower_workers_are_told_apart(self, seed: int) -> None:
        """Their paces are those of their kind, and the others' are not."""
        replay = run_replay(seed, 0.9)
        for side_id, side in replay.placer.sides.items():
            ratio = PACES[side_id] / 1.2
            assert side.pace == pytest.approx(ratio, abs=0.12)

    @pytest.mark.parametrize('seed', SEEDS)
    def test_slower_workers_are_used(self, seed: int) -> None:
        """They have room for what has come just now."""
        replay = run_replay(seed, 1.1)
        starts = [
            sum(
                count
                for (side_id, _), count in replay.starts.items()
                if PACES[side_id] == pace
            )
            / len([one for one in PACES.values() if one == pace])
            for pace in (1.56, 1.2)
        ]
        assert starts[0] >= 0.5 * starts[1]


class TestMayStart:
    """A job with 0.1 s until its latest start at the faster sides."""

    def standing(self) -> Standing:
        """Return where it stands at time 0."""
        return Standing(0.1, 0, objective=OBJECTIVE, longest_run_time=0.2)

    def test_where_it_is_in_time(self) -> None:
        assert may_start(self.standing(), 1.3, 0)

    def test_not_where_it_is_late(self) -> None:
        assert not may_start(self.standing(), 1.3, 0.08)

    def test_anywhere_once_it_is_late_everywhere(self) -> None:
        later = 0.1 + 0.2 * START_MARGIN
        assert may_start(self.standing(), 1.3, later)

    def test_late_job_takes_what_there_is(self) -> None:
        assert may_start(self.standing()._replace(is_late=True), 1.3, 0.08)

    def test_job_without_objective_goes_anywhere(self) -> None:
        assert may_start(Standing(0, 0), 1.3, 9)


class TestRelation:
    """Declarations that are off at random are worth a part of their word."""

    def squared_errors(self, spread: float, max_error: float) -> list[float]:
        """Return squared errors of the estimate, of the declaration scaled by
        its mean ratio, and of the mean of the kind, in logarithms.
        """
        source = random.Random(3)
        measure = QuantityEstimator(0.95)
        found: list[float] = [0, 0, 0]
        for number in range(2000):
            used = math.exp(source.gauss(0, spread))
            declared = used * source.uniform(1 - max_error, 1 + max_error)
            if number >= 200:
                guesses = (
                    measure.scale(declared)[0],
                    measure.ratios.mean() * declared,
                    measure.values.mean(),
                )
                for position, guess in enumerate(guesses):
                    found[position] += math.log(guess / used) ** 2
            measure.observe(declared, used)
        return found

    def test_better_than_either_alone(self) -> None:
        """Run times that vary by 40%, and declarations off by as much."""
        both, ratio, mean = self.squared_errors(0.4, 0.4)
        assert both < 0.9 * ratio
        assert both < 0.9 * mean

    def test_exact_declarations_are_believed(self) -> None:
        both, _, mean = self.squared_errors(0.4, 0.01)
        assert both < 0.01 * mean

    def test_one_declaration_for_all_says_nothing(self) -> None:
        """The mean of the kind is used."""
        measure = QuantityEstimator(0.95)
        for _ in range(100):
            measure.observe(1, 2)
        assert measure.scale(1)[0] == pytest.approx(2)
