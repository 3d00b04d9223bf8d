"""Checks a file of records before operators apply it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from result import Err

from jackdawridge.configuration.checks import check_value
from jackdawridge.configuration.configuration import DEFAULT_LIMITS_NAME
from jackdawridge.configuration.findings import Finding, Severity
from jackdawridge.configuration.records import (
    AGREEMENT,
    FAILURE_DOMAIN,
    KINDS,
    LIMITS,
    MAX_IDENTIFIER_LENGTH,
    MAX_NAME_LENGTH,
    SERVICE,
    TEAM,
    Key,
)
from jackdawridge.configuration.values import read_in_service
from jackdawridge.forwarding.policy import MAX_TIMEOUT
from jackdawridge.operations.configuration import MAX_VALUE_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence


class Entry(NamedTuple):
    """A record in a file."""

    key: Key
    #: The decoded value, None for a record to remove.
    value: object


def find_problems(desired: Sequence[Entry]) -> list[Finding]:
    """Return the errors of records and what is probably not meant.

    :param desired: records in the order of the file.
    """
    findings: list[Finding] = []
    for index, entry in enumerate(desired):
        problem = _refusal(entry)
        found = (
            [_finding(Severity.error, entry.key, problem)]
            if problem
            else _find_ineffective(entry.key, entry.value)
        )
        findings.extend(finding._replace(position=index) for finding in found)
    findings.extend(find_repeated(desired))
    findings.extend(_find_empty_service(desired))
    return findings


def find_repeated(desired: Sequence[Entry]) -> list[Finding]:
    """Return the records that replace an earlier one of the same file.

    Versions of an agreement are no repetition, since they all stay in force.

    :param desired: records in the order of the file.
    """
    found: list[Finding] = []
    seen: set[Key] = set()
    for index, entry in enumerate(desired):
        if entry.key in seen and entry.key.kind != AGREEMENT:
            finding = _finding(
                Severity.error,
                entry.key,
                'stands twice; the last one would remain in force',
            )
            found.append(finding._replace(position=index))
        seen.add(entry.key)
    return found


def compare(
    in_force: Sequence[Entry], desired: Sequence[Entry]
) -> list[Finding]:
    """Return how records differ from those in force.

    Records that the file doesn't name stay as they are; of several with the
    same key the last one counts.

    :param in_force: records in force.
    :param desired: records in the order of the file.
    """
    before = dict(in_force)
    last = {entry.key: index for index, entry in enumerate(desired)}
    findings: list[Finding] = []
    for key, index in last.items():
        old, new = before.get(key), desired[index].value
        if new != old:
            finding = _finding(Severity.change, key, f'{old!r} -> {new!r}')
            findings.append(finding._replace(position=index))
    return findings


def _refusal(entry: Entry) -> str:
    """Return why an entry would refuse a record, empty if it wouldn't."""
    key = entry.key
    for label, text, max_length in (
        ('kind', key.kind, MAX_IDENTIFIER_LENGTH),
        ('name', key.name, MAX_NAME_LENGTH),
    ):
        if not 0 < len(text) <= max_length:
            return f'{label}: allowed: a text of 1 to {max_length} characters'
    if len(msgspec.json.encode(entry.value)) > MAX_VALUE_BYTES:
        return f'value: allowed: at most {MAX_VALUE_BYTES} bytes'
    verdict = check_value(key, entry.value)
    return verdict.err_value if isinstance(verdict, Err) else ''


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


def _find_empty_service(desired: Sequence[Entry]) -> list[Finding]:
    """Return whether all failure domains of a file are out of service."""
    values = dict(desired)
    domains = {
        entry.key: index
        for index, entry in enumerate(desired)
        if entry.key.kind == FAILURE_DOMAIN
    }
    if len(domains) < 2 or any(read_in_service(values[key]) for key in domains):
        return []
    key, index = next(iter(domains.items()))
    finding = _finding(
        Severity.warning,
        key,
        'all failure domains of the file are out of service',
    )
    return [finding._replace(position=index)]


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
