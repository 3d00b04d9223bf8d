"""Weighted least squares over few features, with decay and a prior.

The prior expects coefficients near 0 with a standard deviation of 1, so that a
coefficient with few observations stays small.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Lower bound of the variance of the responses.
MIN_VARIANCE = 0.0001

#: A square matrix, by row.
Matrix = list[list[float]]


class Contrast(NamedTuple):
    """A linear combination of coefficients, and its standard error."""

    estimate: float
    error: float

    @property
    def score(self) -> float:
        """Return the estimate in standard errors."""
        return self.estimate / self.error


class Fit(NamedTuple):
    """Coefficients of the fitted features, and their covariance."""

    coefficients: list[float]
    covariance: Matrix

    def contrast(self, factors: Sequence[float]) -> Contrast:
        """Return a linear combination of the coefficients.

        :param factors: factor of each coefficient, in the order of the fit.
        """
        estimate = dot(factors, self.coefficients)
        variance = dot(factors, [dot(factors, row) for row in self.covariance])
        return Contrast(estimate, math.sqrt(max(variance, MIN_VARIANCE**2)))


class LeastSquares:
    """Decayed sums from which a linear function of features is fitted.

    :param size: number of features.
    """

    def __init__(self, size: int) -> None:
        """Initialise without observations."""
        self.size = size
        self.weight: float = 0
        self.response_sum: float = 0
        self.response_square_sum: float = 0
        self.feature_sums: list[float] = zeros(size)
        self.moments: list[float] = zeros(size)
        self.products: Matrix = [zeros(size) for _ in range(size)]

    def observe(
        self, features: Sequence[tuple[int, float]], response: float
    ) -> None:
        """Add an observation.

        :param features: positions and values of the features that are not 0.
        :param response: observed value.
        """
        self.weight += 1
        self.response_sum += response
        self.response_square_sum += response * response
        for row, row_value in features:
            self.feature_sums[row] += row_value
            self.moments[row] += row_value * response
            products = self.products[row]
            for column, column_value in features:
                products[column] += row_value * column_value

    def decay(self, factor: float) -> None:
        """Reduce the weight of all observations so far.

        :param factor: factor on their weight, from 0 to 1.
        """
        self.weight *= factor
        self.response_sum *= factor
        self.response_square_sum *= factor
        self.feature_sums = scaled(self.feature_sums, factor)
        self.moments = scaled(self.moments, factor)
        self.products = [scaled(row, factor) for row in self.products]

    def clear_feature(self, position: int) -> None:
        """Discard what was observed of a feature.

        :param position: position of the feature.
        """
        self.feature_sums[position] = 0
        self.moments[position] = 0
        self.products[position] = zeros(self.size)
        for row in self.products:
            row[position] = 0

    def variance(self) -> float:
        """Return the variance of the responses."""
        mean = self.response_sum / self.weight
        square = self.response_square_sum / self.weight
        return max(square - mean * mean, MIN_VARIANCE)

    def fit(self, positions: Sequence[int]) -> Fit:
        """Return the fit to the observations, of which there is at least one.

        The responses are fitted as differences from their mean.

        :param positions: positions of the features to fit.
        """
        variance = self.variance()
        centred = self.centred_products(positions)
        for number, products in enumerate(centred):
            products[number] += variance
        inverse = inverted(centred)
        moments = self.centred_moments(positions)
        coefficients = [dot(row, moments) for row in inverse]
        return Fit(coefficients, [scaled(row, variance) for row in inverse])

    def centred_products(self, positions: Sequence[int]) -> Matrix:
        """Return the products of the differences from the means.

        :param positions: positions of the features.
        """
        sums = [self.feature_sums[position] for position in positions]
        return [
            [
                self.products[row][column] - row_sum * column_sum / self.weight
                for column, column_sum in zip(positions, sums, strict=True)
            ]
            for row, row_sum in zip(positions, sums, strict=True)
        ]

    def centred_moments(self, positions: Sequence[int]) -> list[float]:
        """Return the products of these differences with the responses.

        :param positions: positions of the features.
        """
        mean = self.response_sum / self.weight
        return [
            self.moments[position] - self.feature_sums[position] * mean
            for position in positions
        ]


def zeros(size: int) -> list[float]:
    """Return a vector of zeros.

    :param size: number of elements.
    """
    return [float(0) for _ in range(size)]


def dot(left: Sequence[float], right: Sequence[float]) -> float:
    """Return the scalar product of two vectors of equal length.

    :param left: first vector.
    :param right: second vector.
    """
    return sum(one * other for one, other in zip(left, right, strict=True))


def scaled(vector: Sequence[float], factor: float) -> list[float]:
    """Return a vector multiplied by a factor.

    :param vector: any vector.
    :param factor: factor on each element.
    """
    return [element * factor for element in vector]


def inverted(matrix: Matrix) -> Matrix:
    """Return the inverse of a symmetric positive definite matrix.

    Gauss-Jordan elimination of such a matrix needs no pivoting.

    :param matrix: matrix to invert; it is left unchanged.
    """
    size = len(matrix)
    rows = [
        row + [float(column == number) for column in range(size)]
        for number, row in enumerate(matrix)
    ]
    for number in range(size):
        pivot = scaled(rows[number], 1 / rows[number][number])
        rows = [
            pivot if other == number else eliminated(row, pivot, row[number])
            for other, row in enumerate(rows)
        ]
    return [row[size:] for row in rows]


def eliminated(
    row: Sequence[float], pivot: Sequence[float], factor: float
) -> list[float]:
    """Return a row less a multiple of the pivot row.

    :param row: row to reduce.
    :param pivot: row to subtract.
    :param factor: factor on the pivot row.
    """
    return [
        element - factor * of_pivot
        for element, of_pivot in zip(row, pivot, strict=True)
    ]
