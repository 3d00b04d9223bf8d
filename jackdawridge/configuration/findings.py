"""Findings of a check of a configuration, and their form for operators."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec


class Severity(enum.StrEnum):
    """How serious a finding is."""

    #: The configuration would be refused, or an entry of it has no effect.
    error = 'error'
    #: The configuration is valid and probably not what was meant.
    warning = 'warning'
    #: What differs from the version in force.
    change = 'change'


class Finding(NamedTuple):
    """One finding about an entry of a configuration."""

    severity: Severity
    #: Entry of the configuration, such as `queue payroll`.
    subject: str
    message: str


def quoted_name(name: str) -> str:
    """Return a name as it stands in a JSON document.

    :param name: name of an entry.
    """
    return msgspec.json.encode(name).decode()


def line_number(text: str, name: str) -> int:
    """Return the first line of a document that has a name, 0 if none has.

    :param text: the document, as JSON.
    :param name: name of an entry.
    :returns: number of the line, counted from 1.
    """
    quoted = quoted_name(name)
    for number, line in enumerate(text.splitlines(), start=1):
        if quoted in line:
            return number
    return 0


def has_errors(findings: list[Finding]) -> bool:
    """Return whether any finding is an error.

    :param findings: findings of a check.
    """
    return any(finding.severity == Severity.error for finding in findings)


def format_findings(path: str, text: str, findings: list[Finding]) -> list[str]:
    """Return the findings as lines of text, one each.

    :param path: file that was checked.
    :param text: its content.
    :param findings: findings of the check.
    """
    lines: list[str] = []
    for finding in findings:
        number = line_number(text, finding.subject.partition(' ')[2])
        place = f'{path}:{number}' if number else path
        lines.append(
            f'{place}: {finding.severity}: {finding.subject}: {finding.message}'
        )
    return lines


def encode_findings(text: str, findings: list[Finding]) -> str:
    """Return the findings as a JSON array.

    Each object has `severity`, `subject`, `message` and `line`, which is 0 if
    the entry doesn't stand in the file.

    :param text: content of the file that was checked.
    :param findings: findings of the check.
    """
    rows = [
        {
            **finding._asdict(),
            'line': line_number(text, finding.subject.partition(' ')[2]),
        }
        for finding in findings
    ]
    return msgspec.json.encode(rows).decode()
