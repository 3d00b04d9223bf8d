"""Learns which kinds of tasks slow each other down on one worker.

Answers a load in which tasks of one kind take longer the more of a worker's
cores another kind uses meanwhile, such as two kinds that compete for a memory
bus. `test_interference` replays such a load, and loads that look like it: slow
workers, a long tail of run times, and full workers.

The logarithm of measured over expected run time of a kind is fitted to the
fractions of the worker that its neighbours used, by kind. A kind disturbs
another one if its coefficient exceeds the mean coefficient of what usually
runs there: a worker that is slow because it is full is no reason to keep any
two kinds apart.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.least_squares import Contrast, LeastSquares

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Maximum number of kinds that are told apart. All others, and the tasks of
#: other entries, count as one kind in the background.
MAX_KINDS = 12

#: Name of the kind in the background.
BACKGROUND = ''

#: Time in seconds without tasks after which a kind makes way for another one.
KIND_EXPIRY = 60.0

#: Slow-down up to which two kinds may run together. The order of the jobs
#: leaves a fifth of the run time (`worker_speed.START_MARGIN`) for all that
#: makes tasks longer than expected; half of that is left to other causes.
MAX_SLOWDOWN = 1.1
MAX_LOG_SLOWDOWN = math.log(MAX_SLOWDOWN)

#: Number of standard errors from which a pair is found, and below which it is
#: forgotten. Every pair is tested many times an hour.
FOUND_SCORE = 5.0
FORGOTTEN_SCORE = 2.5

#: Number of observations of a kind between two evaluations.
EVALUATION_INTERVAL = 32

#: Time in seconds after which an observation has half of its weight.
HALF_LIFE = 60.0

#: Bound on the logarithm of measured over expected run time, against a long
#: tail of run times.
MAX_LOG_RATIO = 1.0


class Pair(NamedTuple):
    """Two kinds, of which one slows the other down."""

    kind: str
    #: Kind that slows it down.
    neighbour: str


class PairChange(NamedTuple):
    """A pair that was found or forgotten."""

    pair: Pair
    is_found: bool
    #: Factor on the run time beside a worker full of the neighbour.
    slowdown: float
    #: The estimate in standard errors.
    score: float
    #: Weight of the observations, in tasks.
    samples: float


class KindFit:
    """Observations of the run times of one kind.

    :param now: current time in seconds.
    """

    def __init__(self, now: float) -> None:
        """Initialise without observations."""
        self.sums = LeastSquares(MAX_KINDS + 1)
        self.observations = 0
        self.decayed_at = now
        self.seen_at = now

    def observe(
        self, features: list[tuple[int, float]], log_ratio: float
    ) -> bool:
        """Add an observation, and return whether an evaluation is due.

        :param features: positions of the kinds beside the task, with the
            fractions of the worker that they used.
        :param log_ratio: logarithm of measured over expected run time.
        """
        bounded = max(-MAX_LOG_RATIO, min(log_ratio, MAX_LOG_RATIO))
        self.sums.observe(features, bounded)
        self.observations += 1
        return self.observations % EVALUATION_INTERVAL == 0

    def decay(self, now: float) -> None:
        """Reduce the weight of old observations.

        :param now: current time in seconds.
        """
        self.sums.decay(0.5 ** ((now - self.decayed_at) / HALF_LIFE))
        self.decayed_at = now

    def excesses(self) -> dict[int, Contrast]:
        """Return how much more each neighbour slows the kind than usual ones.

        :returns: excess of the coefficient of each neighbour over the mean
            coefficient, by position. The mean is weighted by the cores that
            the neighbours used.
        """
        usual = self.sums.feature_sums
        positions = [place for place, used in enumerate(usual) if used > 0]
        if not positions:
            return {}
        fit = self.sums.fit(positions)
        total = sum(usual)
        shares = [usual[position] / total for position in positions]
        return {
            position: fit.contrast(
                [
                    float(other == position) - share
                    for other, share in zip(positions, shares, strict=True)
                ]
            )
            for position in positions
        }


class InterferenceModel:
    """Pairs of kinds of which one slows the other down."""

    def __init__(self) -> None:
        """Initialise without kinds."""
        #: Positions of the kinds among the features.
        self.positions: dict[str, int] = {BACKGROUND: 0}
        self.fits: dict[str, KindFit] = {}
        #: Logarithm of the slow-down of a kind by a worker full of another.
        self.pairs: dict[Pair, float] = {}
        #: Kinds that either disturb a kind or are disturbed by it.
        self.partners: dict[str, set[str]] = {}
        self.changes: list[PairChange] = []

    def admit(self, kind: str, now: float) -> bool:
        """Return whether the tasks of a kind are told apart.

        A new kind takes the place of one that has had no tasks for long.

        :param kind: kind of a task that starts.
        :param now: current time in seconds.
        """
        known = self.fits.get(kind)
        if known is not None:
            known.seen_at = now
            return True
        if kind == BACKGROUND:
            return False
        position = len(self.positions)
        if position > MAX_KINDS:
            oldest = min(self.fits, key=lambda one: self.fits[one].seen_at)
            if now - self.fits[oldest].seen_at < KIND_EXPIRY:
                return False
            position = self.remove(oldest)
        self.positions[kind] = position
        self.fits[kind] = KindFit(now)
        return True

    def remove(self, kind: str) -> int:
        """Discard a kind and return its position.

        :param kind: a known kind.
        """
        self.fits.pop(kind)
        position = self.positions.pop(kind)
        for fit in self.fits.values():
            fit.sums.clear_feature(position)
        for pair in tuple(self.pairs):
            if kind in pair:
                self.forget(pair, Contrast(0, 1), 0)
        return position

    def observe(
        self,
        kind: str,
        neighbours: Mapping[str, float],
        log_ratio: float,
        now: float,
    ) -> None:
        """Add the observation of an ended task.

        :param kind: kind of the task.
        :param neighbours: fraction of the worker's cores that each kind used
            beside it.
        :param log_ratio: logarithm of measured over expected run time.
        :param now: current time in seconds.
        """
        fit = self.fits.get(kind)
        if fit is None:
            return
        features = [
            (self.positions[neighbour], fraction)
            for neighbour, fraction in neighbours.items()
            if fraction > 0 and neighbour in self.positions
        ]
        if fit.observe(features, log_ratio):
            fit.decay(now)
            self.evaluate(kind, fit)

    def evaluate(self, kind: str, fit: KindFit) -> None:
        """Find and forget pairs by the observations of a kind.

        :param kind: kind of the observed tasks.
        :param fit: its observations.
        """
        excesses = fit.excesses()
        for neighbour, position in self.positions.items():
            if position in excesses and neighbour not in {kind, BACKGROUND}:
                self.judge(
                    Pair(kind, neighbour), excesses[position], fit.sums.weight
                )

    def judge(self, pair: Pair, excess: Contrast, samples: float) -> None:
        """Find, update or forget a pair.

        :param pair: the pair.
        :param excess: logarithm of its slow-down.
        :param samples: weight of the observations.
        """
        is_known = pair in self.pairs
        if is_known and excess.score < FORGOTTEN_SCORE:
            self.forget(pair, excess, samples)
        elif is_known:
            self.pairs[pair] = excess.estimate
        elif (
            excess.score >= FOUND_SCORE and excess.estimate >= MAX_LOG_SLOWDOWN
        ):
            self.pairs[pair] = excess.estimate
            self.record_change(pair, excess, samples, is_found=True)

    def forget(self, pair: Pair, excess: Contrast, samples: float) -> None:
        """Forget a pair.

        :param pair: a found pair.
        :param excess: logarithm of its slow-down.
        :param samples: weight of the observations.
        """
        self.pairs.pop(pair)
        self.record_change(pair, excess, samples, is_found=False)

    def record_change(
        self, pair: Pair, excess: Contrast, samples: float, *, is_found: bool
    ) -> None:
        """Record a found or forgotten pair, and update the partners.

        :param pair: the pair.
        :param excess: logarithm of its slow-down.
        :param samples: weight of the observations.
        :param is_found: whether the pair was found.
        """
        self.changes.append(
            PairChange(
                pair,
                is_found,
                math.exp(excess.estimate),
                excess.score,
                samples,
            )
        )
        partners: dict[str, set[str]] = defaultdict(set)
        for kind, neighbour in self.pairs:
            partners[kind].add(neighbour)
            partners[neighbour].add(kind)
        self.partners = dict(partners)

    def log_slowdown(
        self,
        kind: str,
        fraction: float,
        neighbours: Mapping[str, float],
    ) -> float:
        """Return the predicted slow-down that a placement would cause.

        That is the logarithm of the larger one of that of the placed task and
        that of any kind beside it.

        :param kind: kind of the task to place.
        :param fraction: fraction of the worker that its kind would use.
        :param neighbours: fraction of the worker that each other kind uses.
        """
        own: float = 0
        worst: float = 0
        for partner in self.partners.get(kind, ()):
            used = neighbours.get(partner, 0)
            if used > 0:
                own += used * self.pairs.get(Pair(kind, partner), 0)
                worst = max(
                    worst, fraction * self.pairs.get(Pair(partner, kind), 0)
                )
        return max(own, worst)

    def pop_changes(self) -> list[PairChange]:
        """Remove and return the changes since the last call."""
        changes = self.changes
        self.changes = []
        return changes
