"""The command `config check`: checks a file of records before it is applied."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from jackdawridge.cmd.config_actions import read_records
from jackdawridge.cmd.exits import Exit
from jackdawridge.configuration.findings import (
    LineIndex,
    encode_findings,
    format_findings,
    has_errors,
)
from jackdawridge.configuration.records import Key
from jackdawridge.operations.record_checks import (
    Entry,
    compare,
    find_problems,
)

if TYPE_CHECKING:
    import argparse

    from jackdawridge.configuration.findings import Finding

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
    desired = read_entries(arguments.file)
    if desired is None:
        return Exit.invalid
    findings = find_problems(desired)
    if arguments.against is not None:
        in_force = read_entries(arguments.against)
        if in_force is None:
            return Exit.invalid
        findings.extend(compare(in_force, desired))
    return print_report(arguments, findings, 'records')


def read_entries(path: Path) -> list[Entry] | None:
    """Return the records of a file, None if the file is invalid.

    The reason is printed on standard error.

    :param path: the file, JSON with comments.
    """
    try:
        desired = read_records(path)
        # Lone surrogates, NaN and infinity can't be sent.
        json.dumps(desired, ensure_ascii=False, allow_nan=False).encode()
    except (RecursionError, ValueError) as error:
        reject_input(path, error)
        return None
    if desired is None:
        return None
    return [
        Entry(Key(record['kind'], record['name']), record['value'])
        for record in desired
    ]


def print_report(
    arguments: argparse.Namespace, findings: list[Finding], entries_key: str
) -> int:
    """Print the findings about a file and return the exit code.

    :param arguments: the parsed command line, with `file` and `json`.
    :param findings: findings of all checks.
    :param entries_key: top-level key of the list of entries in the file.
    """
    try:
        text = arguments.file.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return reject_input(arguments.file, error)
    lines = LineIndex(text, entries_key)
    if arguments.json:
        print(encode_findings(lines, findings))
    else:
        for line in format_findings(str(arguments.file), lines, findings):
            print(line)
    return Exit.failed if has_errors(findings) else Exit.ok


def reject_input(path: Path, error: Exception) -> Exit:
    """Print why a file can't be checked and return the exit code.

    :param path: the file.
    :param error: error while it was read or decoded.
    """
    print(f'{path}: {error}', file=sys.stderr)
    return Exit.invalid
