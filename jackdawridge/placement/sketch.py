"""Quantile sketch of positive values, in constant memory and with decay."""

from __future__ import annotations

import math

#: Number of buckets per doubling of the value; the error is at most 4.5%.
BUCKETS_PER_OCTAVE = 8

#: Number of observations after which all weights are halved.
HALVING_INTERVAL = 400

#: Smallest value that is distinguished from 0.
MIN_VALUE = 1e-6


#: Weight below which a bucket is dropped.
MIN_WEIGHT = 0.1

#: Quantiles whose ratio is the spread.
LOW_QUANTILE = 0.1
HIGH_QUANTILE = 0.9


class Sketch:
    """Histogram with logarithmic buckets and exponentially decayed weights."""

    def __init__(self) -> None:
        """Initialise an empty histogram."""
        self.weights: dict[int, float] = {}
        self.total_weight: float = 0
        #: Weighted sum of the values.
        self.weighted_sum: float = 0
        self.since_halving = 0

    def observe(self, value: float) -> None:
        """Add a value.

        :param value: positive value.
        """
        octaves = math.log2(max(value, MIN_VALUE))
        bucket = math.floor(octaves * BUCKETS_PER_OCTAVE)
        self.weights[bucket] = self.weights.get(bucket, 0) + 1
        self.total_weight += 1
        self.weighted_sum += value
        self.since_halving += 1
        if self.since_halving >= HALVING_INTERVAL:
            self.halve()

    def halve(self) -> None:
        """Halve all weights and drop buckets of negligible weight."""
        self.since_halving = 0
        self.weighted_sum /= self.total_weight
        self.weights = {
            bucket: weight / 2
            for bucket, weight in self.weights.items()
            if weight > MIN_WEIGHT
        }
        self.total_weight = sum(self.weights.values())
        self.weighted_sum *= self.total_weight

    def quantile(self, fraction: float) -> float:
        """Return a weighted quantile; 0 without observations.

        :param fraction: fraction of the weight below the quantile, 0 to 1.
        """
        cumulative_weight: float = 0
        target_weight = self.total_weight * fraction
        for bucket in sorted(self.weights):
            cumulative_weight += self.weights[bucket]
            if cumulative_weight >= target_weight:
                return bucket_midpoint(bucket)
        return 0

    def mean(self) -> float:
        """Return the weighted mean; 0 without observations."""
        return self.weighted_sum / max(self.total_weight, MIN_VALUE)

    def spread(self) -> float:
        """Return the ratio between the 90th and the 10th percentile."""
        return self.quantile(HIGH_QUANTILE) / self.quantile(LOW_QUANTILE)


def bucket_midpoint(bucket: int) -> float:
    """Return the geometric middle of a bucket.

    :param bucket: number of the bucket.
    """
    octaves = (bucket + 0.5) / BUCKETS_PER_OCTAVE
    return float(2**octaves)
