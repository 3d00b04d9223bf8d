"""Quantiles of positive values in constant memory, older values decayed."""

from __future__ import annotations

import math

#: Buckets in each doubling of the value; the error is at most 4.5%.
BUCKETS_PER_OCTAVE = 8

#: Observations after which all weights are halved.
HALF_LIFE = 400

#: Smallest value that is told apart from 0.
SMALLEST = 1e-6


#: Weight below which a bucket is dropped.
SMALLEST_WEIGHT = 0.1

#: Quantiles between which the spread is measured.
LOW = 0.1
HIGH = 0.9


class Sketch:
    """Histogram with buckets of equal ratio and decayed weights."""

    def __init__(self) -> None:
        """Start without observations."""
        self.weights: dict[int, float] = {}
        self.total: float = 0
        #: Sum of the values by weight.
        self.amount: float = 0
        self.since_halving = 0

    def observe(self, value: float) -> None:
        """Count one value.

        :param value: a positive number.
        """
        octaves = math.log2(max(value, SMALLEST))
        bucket = math.floor(octaves * BUCKETS_PER_OCTAVE)
        self.weights[bucket] = self.weights.get(bucket, 0) + 1
        self.total += 1
        self.amount += value
        self.since_halving += 1
        if self.since_halving >= HALF_LIFE:
            self.halve()

    def halve(self) -> None:
        """Halve all weights and drop buckets that no longer count."""
        self.since_halving = 0
        self.amount /= self.total
        self.weights = {
            bucket: weight / 2
            for bucket, weight in self.weights.items()
            if weight > SMALLEST_WEIGHT
        }
        self.total = sum(self.weights.values())
        self.amount *= self.total

    def quantile(self, fraction: float) -> float:
        """Return the value below which a fraction of the weight lies.

        :param fraction: from 0 to 1.
        """
        passed: float = 0
        limit = self.total * fraction
        for bucket in sorted(self.weights):
            passed += self.weights[bucket]
            if passed >= limit:
                return middle(bucket)
        return 0

    def mean(self) -> float:
        """Return the weighted mean; 0 without observations."""
        return self.amount / max(self.total, SMALLEST)

    def spread(self) -> float:
        """Return the ratio between the 90th and the 10th percentile."""
        return self.quantile(HIGH) / self.quantile(LOW)


def middle(bucket: int) -> float:
    """Return the value in the middle of a bucket.

    :param bucket: number of the bucket.
    """
    octaves = (bucket + 0.5) / BUCKETS_PER_OCTAVE
    return float(2**octaves)
