"""What the values of records mean to their readers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Weight of a team whose record names none.
DEFAULT_WEIGHT = 1.0


class Team(NamedTuple):
    """Quota and weight of a team."""

    #: Most cores that the team uses at a time.
    quota: float = math.inf
    weight: float = DEFAULT_WEIGHT


def read_in_service(content: object) -> bool:
    """Return whether a failure domain is in service; it is by default.

    :param content: the value of its record, None if there is none.
    """
    if isinstance(content, dict):
        return content.get('in_service') is not False
    return True


def read_team(content: object) -> Team:
    """Return a team, with the defaults for what is absent or not valid.

    :param content: the value of its record, None if there is none.
    """
    if not isinstance(content, dict):
        return Team()
    quota = _number(content.get('quota'), math.inf)
    weight = _number(content.get('weight'), DEFAULT_WEIGHT)
    return Team(quota, weight if weight > 0 else DEFAULT_WEIGHT)


def read_limits(content: object) -> Mapping[str, float]:
    """Return the limits of a record that are numbers.

    :param content: the value of the record, None if there is none.
    """
    if not isinstance(content, dict):
        return {}
    numbers = {
        str(name): _number(number, math.nan) for name, number in content.items()
    }
    return {
        name: number
        for name, number in numbers.items()
        if not math.isnan(number)
    }


def _number(value: object, default: float) -> float:
    """Return a value if it is a finite number, else a default."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return default
    return float(value) if math.isfinite(value) else default
