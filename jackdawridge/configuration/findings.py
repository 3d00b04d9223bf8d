"""Findings of a check of a configuration, and their form for operators."""

from __future__ import annotations

import enum
import re
from types import MappingProxyType
from typing import NamedTuple

import msgspec

#: What decides about the structure of a document, JSON with comments.
_TOKEN = re.compile(
    r'"(?:[^"\\]|\\.)*"|[\[\]{}:]|//[^\n]*|/\*.*?\*/', re.DOTALL
)
#: Change of the nesting by a bracket.
_NESTING = MappingProxyType({'{': 1, '[': 1, '}': -1, ']': -1})
#: Nesting of the keys of an entry in a list at the top level.
_ENTRY_DEPTH = 3


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
    #: Number of the entry in its list in the file, from 0; -1 if the finding
    #: is about a top-level key, its subject, or the entry isn't in the file.
    position: int = -1


class LineIndex:
    """Lines of the entries and top-level keys of a document.

    :param text: the document, a valid JSON object, perhaps with comments.
    :param entries_key: top-level key of the list of entries.
    """

    def __init__(self, text: str, entries_key: str) -> None:
        """Scan the document."""
        #: Line of each top-level key, counted from 1.
        self.keys: dict[str, int] = {}
        #: Line of the name of each entry; where it begins if it has none.
        self.entries: list[int] = []
        self.entries_key = entries_key
        self.depth = 0
        self.current_key = ''
        self.scan(text)

    def scan(self, text: str) -> None:
        """Follow the structure of the document.

        :param text: the document.
        """
        line, offset, previous = 1, 0, ''
        for match in _TOKEN.finditer(text):
            line += text.count('\n', offset, match.start())
            offset = match.start()
            token = match.group()
            if token == ':':
                self.add_key(previous, line)
            elif token in _NESTING:
                self.add_bracket(token, line)
            elif token.startswith('"'):
                previous = token

    def add_bracket(self, bracket: str, line: int) -> None:
        """Enter or leave an object or array.

        :param bracket: what begins or ends it.
        :param line: line of the bracket.
        """
        self.depth += _NESTING[bracket]
        if bracket == '{' and self.is_in_entry():
            self.entries.append(line)

    def add_key(self, quoted: str, line: int) -> None:
        """Store the line of a key if findings refer to it.

        :param quoted: the key with its quotes.
        :param line: line of the key.
        """
        if self.depth == 1:
            self.current_key = quoted[1:-1]
            self.keys[self.current_key] = line
        elif quoted == '"name"' and self.is_in_entry():
            self.entries[-1] = line

    def is_in_entry(self) -> bool:
        """Return whether the scan is at the keys of an entry."""
        is_listed = self.current_key == self.entries_key
        return is_listed and self.depth == _ENTRY_DEPTH

    def line(self, finding: Finding) -> int:
        """Return the line of what a finding is about, 0 if it has none.

        :param finding: finding about the document.
        """
        if 0 <= finding.position < len(self.entries):
            return self.entries[finding.position]
        return self.keys.get(finding.subject, 0)


def has_errors(findings: list[Finding]) -> bool:
    """Return whether any finding is an error.

    :param findings: findings of a check.
    """
    return any(finding.severity == Severity.error for finding in findings)


def format_findings(
    path: str, lines: LineIndex, findings: list[Finding]
) -> list[str]:
    """Return the findings as lines of text, one each.

    :param path: file that was checked.
    :param lines: lines of its entries.
    :param findings: findings of the check.
    """
    texts: list[str] = []
    for finding in findings:
        number = lines.line(finding)
        place = f'{path}:{number}' if number else path
        texts.append(
            f'{place}: {finding.severity}: {finding.subject}: {finding.message}'
        )
    return texts


def encode_findings(lines: LineIndex, findings: list[Finding]) -> str:
    """Return the findings as a JSON array.

    Each object has `severity`, `subject`, `message` and `line`, which is 0 if
    the entry doesn't stand in the file.

    :param lines: lines of the entries of the file that was checked.
    :param findings: findings of the check.
    """
    rows = [
        {
            'severity': finding.severity,
            'subject': finding.subject,
            'message': finding.message,
            'line': lines.line(finding),
        }
        for finding in findings
    ]
    return msgspec.json.encode(rows).decode()
