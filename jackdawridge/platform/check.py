"""Checks a configuration of the platform before operators send it.

Run as `python -m jackdawridge.platform.check FILE [--against FILE] [--json]`.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from jackdawridge.cmd.config_check import (
    add_report_options,
    print_report,
    reject_input,
)
from jackdawridge.deployment.checks import compare, find_problems
from jackdawridge.deployment.state import Deployment
from jackdawridge.platform.operators import read_configuration

if TYPE_CHECKING:
    from jackdawridge.configuration.findings import Finding


class _Service(msgspec.Struct):
    """A service that queues name."""

    name: str


class _Services(msgspec.Struct):
    """The services of a configuration."""

    services: list[_Service] = []


class CheckedFile(NamedTuple):
    """A configuration that could be decoded."""

    deployment: Deployment
    #: Names of the services that it defines.
    services: frozenset[str]


def read_file(path: Path) -> CheckedFile:
    """Return the configuration in a file.

    :param path: file with the value of the record.
    :raises OSError: if the file can't be read.
    :raises msgspec.MsgspecError: if it is no valid configuration.
    """
    content = path.read_bytes()
    services = msgspec.json.decode(content, type=_Services).services
    return CheckedFile(
        read_configuration(content),
        frozenset(service.name for service in services),
    )


def find_all(path: Path, against: Path | None) -> list[Finding]:
    """Return the findings about a configuration.

    :param path: file to check.
    :param against: file with the configuration in force, None for none.
    :raises OSError: if a file can't be read.
    :raises msgspec.MsgspecError: if one is no valid configuration.
    """
    checked = read_file(path)
    findings = find_problems(checked.deployment, checked.services)
    if against is None:
        return findings
    in_force = read_file(against).deployment
    return [*findings, *compare(in_force, checked.deployment)]


def main(words: list[str] | None = None) -> int:
    """Print the findings about a configuration and return the exit code.

    :param words: the command line; None for that of the process.
    """
    parser = argparse.ArgumentParser(
        prog='python -m jackdawridge.platform.check',
        description='check a configuration before it is sent',
        epilog='Exit codes: 0 no errors, 1 errors were found, 2 wrong input.',
    )
    parser.add_argument('file', type=Path, help='the configuration, as JSON')
    add_report_options(parser, 'the configuration in force, as JSON')
    arguments = parser.parse_args(words)
    try:
        findings = find_all(arguments.file, arguments.against)
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError) as error:
        return reject_input(arguments.file, error)
    return print_report(arguments, findings)


if __name__ == '__main__':
    sys.exit(main())
