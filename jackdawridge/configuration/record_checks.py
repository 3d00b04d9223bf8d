"""Checks a file of records before operators apply it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err

from jackdawridge.configuration.checks import check_value
from jackdawridge.configuration.configuration import DEFAULT_LIMITS_NAME
from jackdawridge.configuration.findings import Finding, Severity
from jackdawridge.configuration.records import (
    FAILURE_DOMAIN,
    KINDS,
    LIMITS,
    SERVICE,
    TEAM,
    Key,
)
from jackdawridge.forwarding.policy import MAX_TIMEOUT

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


def find_problems(desired: Mapping[Key, object]) -> list[Finding]:
    """Return the errors of records and what is probably not meant.

    :param desired: decoded values by key, None for a record to remove.
    """
    findings: list[Finding] = []
    for key, value in desired.items():
        verdict = check_value(key, value)
        if isinstance(verdict, Err):
            findings.append(_finding(Severity.error, key, verdict.err_value))
        else:
            findings.extend(_find_ineffective(key, value))
    findings.extend(_find_empty_service(desired))
    return findings


def compare(
    in_force: Mapping[Key, object], desired: Mapping[Key, object]
) -> list[Finding]:
    """Return how records differ from those in force.

    Records that the file doesn't name stay as they are.

    :param in_force: decoded values by key.
    :param desired: the same of the file, None for a record to remove.
    """
    return [
        _finding(
            Severity.change,
            key,
            f'{in_force.get(key)!r} -> {value!r}',
        )
        for key, value in desired.items()
        if value != in_force.get(key)
    ]


def _find_ineffective(key: Key, value: Any) -> list[Finding]:
    """Return what a valid record says without an effect."""
    if key.kind not in KINDS:
        return [
            _finding(Severity.error, key, 'kind is unknown and has no effect')
        ]
    if value is None:
        return []
    find = _FINDERS.get(key.kind)
    return [] if find is None else find(key, value)


def _find_in_limits(key: Key, _: Any) -> list[Finding]:
    """Return whether a record of limits is never read."""
    if key.name == DEFAULT_LIMITS_NAME:
        return []
    return [
        _finding(
            Severity.error,
            key,
            f'never matches: only {DEFAULT_LIMITS_NAME!r} is read',
        )
    ]


def _find_in_service(key: Key, value: Any) -> list[Finding]:
    """Return the contradictions in the record of a service."""
    findings: list[Finding] = []
    added = _methods(value.get('idempotent_methods'))
    both = added & _methods(value.get('non_idempotent_methods'))
    if both:
        findings.append(
            _finding(
                Severity.error,
                key,
                f'{sorted(both)} are named as idempotent and as not',
            )
        )
    timeout = value.get('timeout', MAX_TIMEOUT)
    if not 0 < timeout <= MAX_TIMEOUT:
        findings.append(
            _finding(
                Severity.error,
                key,
                f'timeout {timeout:g} is not used: it has to be above 0 and'
                f' at most {MAX_TIMEOUT:g} s',
            )
        )
    return findings


def _find_in_team(key: Key, value: Any) -> list[Finding]:
    """Return whether a team could never run a task."""
    if value.get('quota') == 0:
        return [_finding(Severity.warning, key, 'quota 0 runs no task')]
    return []


def _find_empty_service(desired: Mapping[Key, object]) -> list[Finding]:
    """Return whether all failure domains of a file are out of service."""
    domains = {
        key: value
        for key, value in desired.items()
        if key.kind == FAILURE_DOMAIN and isinstance(value, dict)
    }
    if len(domains) > 1 and not any(
        value.get('in_service') for value in domains.values()
    ):
        return [
            _finding(
                Severity.warning,
                next(iter(domains)),
                'all failure domains of the file are out of service',
            )
        ]
    return []


def _methods(names: Any) -> set[str]:
    """Return methods as they are compared."""
    return {str(name).upper() for name in names or ()}


def _finding(severity: Severity, key: Key, message: str) -> Finding:
    """Return a finding about a record."""
    return Finding(severity, f'{key.kind} {key.name}', message)


_FINDERS: Mapping[str, Callable[[Key, Any], list[Finding]]] = {  # noqa: WPS407
    LIMITS: _find_in_limits,
    SERVICE: _find_in_service,
    TEAM: _find_in_team,
}
