"""Validation of record values before they are published."""

from __future__ import annotations

import math
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NotRequired, TypedDict

import msgspec
from result import Err, Ok, Result

from jackdawridge.configuration import records

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

#: Largest accepted deviation from 1 of the sum of an agreement's shares.
SHARE_TOLERANCE = 1e-6


class FailureDomainValue(TypedDict):
    """Value of a `failure_domain` record."""

    in_service: bool


class TeamValue(TypedDict):
    """Value of a `team` record."""

    #: Maximum number of cores in use at a time; null for no limit.
    quota: NotRequired[float | None]
    weight: NotRequired[float]


class ServiceValue(TypedDict):
    """Value of a `service` record."""

    #: Whether the minions deduplicate requests by their idempotency key.
    idempotency_key: NotRequired[bool]
    #: Idempotent methods in addition to those that HTTP defines as such.
    idempotent_methods: NotRequired[list[str]]
    #: Methods that are not idempotent, even if HTTP defines them as such.
    non_idempotent_methods: NotRequired[list[str]]
    #: Whether a slow request is also sent to a second minion.
    hedging: NotRequired[bool]
    #: Timeout of requests whose caller sets none, in seconds.
    timeout: NotRequired[float]


class AgreementValue(TypedDict):
    """Value of an `agreement` record."""

    #: Fraction of the cost by the name of the partner that bears it.
    shares: dict[str, float]


class SettlementValue(TypedDict):
    """Value of a `settlement` record."""

    #: `settled` or `retired`.
    status: str


#: Type of a record's value by the kind of the record.
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


def check_value(key: records.Key, raw_value: object) -> Result[None, str]:
    """Return an error if a value may not be published.

    :param key: the record's key; values of unknown kinds are not checked.
    :param raw_value: the decoded JSON value, None to remove the record.
    """
    value_type = VALUE_TYPES.get(key.kind)
    if value_type is None or raw_value is None:
        return Ok(None)
    try:
        value = msgspec.convert(raw_value, value_type)
    except msgspec.ValidationError as error:
        return Err(f'value of {key}: {error}')
    unknown = _unknown_keys(key.kind, raw_value)
    if unknown:
        return Err(f'value of {key}: unknown keys {unknown}')
    return _check_constraints(key, value)


def _unknown_keys(kind: str, raw_value: object) -> list[str]:
    """Return the keys of a value that its kind does not define."""
    if kind == records.LIMITS or not isinstance(raw_value, dict):
        return []
    known = getattr(VALUE_TYPES[kind], '__annotations__', {})
    return sorted(set(raw_value) - set(known))


def _check_constraints(key: records.Key, value: object) -> Result[None, str]:
    """Return an error if a well-typed value violates a constraint."""
    check = _CONSTRAINT_CHECKS.get(key.kind)
    problem = check(value) if check is not None else ''
    return Err(f'value of {key}: {problem}') if problem else Ok(None)


def _check_team(value: Any) -> str:
    """Return why the value of a team is invalid, empty if it is valid."""
    if value.get('weight', 1) <= 0:
        return 'weight must be greater than 0'
    if (value.get('quota') or 0) < 0:
        return 'quota must be at least 0 cores'
    return ''


def _check_agreement(value: Any) -> str:
    """Return why the value of an agreement is invalid, empty if it is valid."""
    shares = value['shares'].values()
    if abs(math.fsum(shares) - 1) > SHARE_TOLERANCE or min(shares) < 0:
        return 'shares must be at least 0 and add up to 1'
    return ''


def _check_settlement(value: Any) -> str:
    """Return why the value of a settlement is invalid, empty if it is valid."""
    if value['status'] in {'settled', 'retired'}:
        return ''
    return "status must be 'settled' or 'retired'"


_CONSTRAINT_CHECKS: Mapping[str, Callable[[Any], str]] = MappingProxyType(
    {
        records.TEAM: _check_team,
        records.AGREEMENT: _check_agreement,
        records.SETTLEMENT: _check_settlement,
    }
)
