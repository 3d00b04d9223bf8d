"""The command `config check`: checks a file of records before it is applied."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from jackdawridge.cmd.config_actions import read_records
from jackdawridge.cmd.exits import Exit
from jackdawridge.configuration.findings import (
    Finding,
    Severity,
    encode_findings,
    format_findings,
    has_errors,
)
from jackdawridge.configuration.record_checks import compare, find_problems
from jackdawridge.configuration.records import Key

if TYPE_CHECKING:
    import argparse

    from jackdawridge.cmd.config_actions import DesiredRecord

_EPILOG = 'Exit codes: 0 no errors, 1 errors were found, 2 wrong input.'


def add_parser(commands: Any) -> None:
    """Add the action `check` of the command `config`.

    :param commands: the subparsers of the command.
    """
    summary = 'check a file of records without an entry'
    parser = commands.add_parser(
        'check', help=summary, description=summary, epilog=_EPILOG
    )
    parser.add_argument('file', type=Path, help='records, as for `apply`')
    add_report_options(parser, 'records in force, as a file of records')
    parser.set_defaults(run=run)


def add_report_options(parser: argparse.ArgumentParser, against: str) -> None:
    """Add the options that any check of a configuration has.

    :param parser: parser of the command.
    :param against: help on the version in force.
    """
    parser.add_argument(
        '--against', type=Path, metavar='FILE', help=against, default=None
    )
    parser.add_argument(
        '--json', action='store_true', help='print the findings as JSON'
    )


def run(arguments: argparse.Namespace) -> int:
    """Print the findings about a file of records.

    :param arguments: the parsed command line.
    """
    desired = read_records(arguments.file)
    if desired is None:
        return Exit.invalid
    findings = [*find_repeated(desired), *find_problems(values_by_key(desired))]
    if arguments.against is not None:
        in_force = read_records(arguments.against)
        if in_force is None:
            return Exit.invalid
        findings.extend(
            compare(values_by_key(in_force), values_by_key(desired))
        )
    return print_report(arguments, findings)


def values_by_key(desired: list[DesiredRecord]) -> dict[Key, object]:
    """Return the values of records by key; of equal keys the last one.

    :param desired: records of a file.
    """
    return {
        Key(record['kind'], record['name']): record['value']
        for record in desired
    }


def find_repeated(desired: list[DesiredRecord]) -> list[Finding]:
    """Return the records that a later one of the same file replaces.

    :param desired: records of a file.
    """
    found: list[Finding] = []
    seen: set[Key] = set()
    for record in desired:
        key = Key(record['kind'], record['name'])
        if key in seen:
            found.append(
                Finding(
                    Severity.error,
                    f'{key.kind} {key.name}',
                    'stands twice; the last one would remain in force',
                )
            )
        seen.add(key)
    return found


def print_report(arguments: argparse.Namespace, findings: list[Finding]) -> int:
    """Print the findings about a file and return the exit code.

    :param arguments: the parsed command line, with `file` and `json`.
    :param findings: findings of all checks.
    """
    try:
        text = arguments.file.read_text()
    except OSError as error:
        return reject_input(arguments.file, error)
    if arguments.json:
        print(encode_findings(text, findings))
    else:
        for line in format_findings(str(arguments.file), text, findings):
            print(line)
    return Exit.failed if has_errors(findings) else Exit.ok


def reject_input(path: Path, error: Exception) -> Exit:
    """Print why a file can't be checked and return the exit code.

    :param path: the file.
    :param error: error while it was read or decoded.
    """
    print(f'{path}: {error}', file=sys.stderr)
    return Exit.invalid
