"""Interpretation of record values, with defaults for what is invalid."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Weight of a team whose record sets none.
DEFAULT_WEIGHT = 1.0


class Team(NamedTuple):
    """Quota and weight of a team."""

    #: Maximum number of cores in use at a time.
    quota: float = math.inf
    weight: float = DEFAULT_WEIGHT


def read_in_service(record_value: object) -> bool:
    """Return whether a failure domain is in service; the default is true.

    :param record_value: value of the record, None if it does not exist.
    """
    if isinstance(record_value, dict):
        return record_value.get('in_service') is not False
    return True


def read_team(record_value: object) -> Team:
    """Return a team, with defaults for what is missing or invalid.

    :param record_value: value of the record, None if it does not exist.
    """
    if not isinstance(record_value, dict):
        return Team()
    quota = _finite_number(record_value.get('quota'), math.inf)
    weight = _finite_number(record_value.get('weight'), DEFAULT_WEIGHT)
    return Team(quota, weight if weight > 0 else DEFAULT_WEIGHT)


def read_limits(record_value: object) -> Mapping[str, float]:
    """Return the limits whose values are finite numbers, by name.

    :param record_value: value of the record, None if it does not exist.
    """
    if not isinstance(record_value, dict):
        return {}
    numbers = {
        str(name): _finite_number(number, math.nan)
        for name, number in record_value.items()
    }
    return {
        name: number
        for name, number in numbers.items()
        if not math.isnan(number)
    }


def _finite_number(value: object, default: float) -> float:
    """Return a value if it is a finite number, else the default."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return default
    return float(value) if math.isfinite(value) else default
