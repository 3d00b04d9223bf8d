"""The check of a value before it is published."""

from __future__ import annotations

import math
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NotRequired, TypedDict

import msgspec
from result import Err, Ok, Result

from jackdawridge.configuration import records

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

#: Largest difference of the sum of an agreement's shares from 1.
SHARE_TOLERANCE = 1e-6


class FailureDomainValue(TypedDict):
    """Value of a `failure_domain` record."""

    in_service: bool


class TeamValue(TypedDict):
    """Value of a `team` record."""

    #: Most cores that the team uses at a time; null for no bound.
    quota: NotRequired[float | None]
    weight: NotRequired[float]


class ServiceValue(TypedDict):
    """Value of a `service` record."""

    #: Whether the minions run a request with a known key only once.
    idempotency_key: NotRequired[bool]
    #: Methods that are idempotent beyond those that HTTP names.
    idempotent_methods: NotRequired[list[str]]
    #: Methods that are not, whatever HTTP says.
    non_idempotent_methods: NotRequired[list[str]]
    #: Whether slow requests are sent to a second minion.
    hedging: NotRequired[bool]
    #: Time for a request whose caller names none, in seconds.
    timeout: NotRequired[float]


class AgreementValue(TypedDict):
    """Value of an `agreement` record."""

    #: Fraction of the cost that each partner bears.
    shares: dict[str, float]


class SettlementValue(TypedDict):
    """Value of a `settlement` record."""

    #: `settled` or `retired`.
    status: str


#: Type of the value of each known kind.
VALUE_TYPES: Mapping[str, object] = MappingProxyType(
    {
        records.AGREEMENT: AgreementValue,
        records.SETTLEMENT: SettlementValue,
        records.SERVICE: ServiceValue,
        records.FAILURE_DOMAIN: FailureDomainValue,
        records.TEAM: TeamValue,
        records.LIMITS: dict[str, float],
    }
)


def check_value(key: records.Key, content: object) -> Result[None, str]:
    """Return why a value may not be published, if so.

    :param key: the record; values of unknown kinds are taken as they are.
    :param content: the value, None to remove the record.
    """
    value_type = VALUE_TYPES.get(key.kind)
    if value_type is None or content is None:
        return Ok(None)
    try:
        value = msgspec.convert(content, value_type)
    except msgspec.ValidationError as error:
        return Err(f'value of {key}: {error}')
    extra = _extra_keys(key.kind, content)
    if extra:
        return Err(f'value of {key}: keys {extra} are not known')
    return _check_numbers(key, value)


def _extra_keys(kind: str, content: object) -> list[str]:
    """Return the keys of a value that its kind does not know."""
    if kind == records.LIMITS or not isinstance(content, dict):
        return []
    known = getattr(VALUE_TYPES[kind], '__annotations__', {})
    return sorted(set(content) - set(known))


def _check_numbers(key: records.Key, value: object) -> Result[None, str]:
    """Return why the numbers of a value are not valid, if so."""
    check = _CHECKS.get(key.kind)
    fault = check(value) if check is not None else ''
    return Err(f'value of {key}: {fault}') if fault else Ok(None)


def _check_team(value: Any) -> str:
    """Return what is wrong with the value of a team."""
    if value.get('weight', 1) <= 0:
        return 'allowed: a weight over 0'
    if (value.get('quota') or 0) < 0:
        return 'allowed: a quota of at least 0 cores'
    return ''


def _check_agreement(value: Any) -> str:
    """Return what is wrong with the value of an agreement."""
    shares = value['shares'].values()
    if abs(math.fsum(shares) - 1) > SHARE_TOLERANCE or min(shares) < 0:
        return 'allowed: shares of at least 0 that add up to 1'
    return ''


def _check_settlement(value: Any) -> str:
    """Return what is wrong with the value of a settlement."""
    if value['status'] in {'settled', 'retired'}:
        return ''
    return "allowed: 'settled' or 'retired'"


_CHECKS: Mapping[str, Callable[[Any], str]] = MappingProxyType(
    {
        records.TEAM: _check_team,
        records.AGREEMENT: _check_agreement,
        records.SETTLEMENT: _check_settlement,
    }
)
