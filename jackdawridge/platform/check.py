"""Checks a configuration of the platform before operators send it.

Run as `python -m jackdawridge.platform.check FILE [--against FILE] [--json]`.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import NamedTuple

import msgspec

from jackdawridge.cmd.config_check import (
    add_report_options,
    print_report,
    reject_input,
)
from jackdawridge.cmd.exits import Exit
from jackdawridge.deployment.checks import compare, find_problems
from jackdawridge.deployment.state import Deployment
from jackdawridge.platform.operators import read_configuration

#: Errors of a file that can't be read or decoded.
_UNREADABLE = (
    OSError,
    msgspec.MsgspecError,
    UnicodeDecodeError,
    RecursionError,
)


class _Service(msgspec.Struct):
    """A service that queues name."""

    name: str


class _Services(msgspec.Struct):
    """The services of a configuration."""

    services: list[_Service] | None = None


class CheckedFile(NamedTuple):
    """A configuration that could be decoded."""

    deployment: Deployment
    #: Names of the services that it defines, None if it lists none.
    services: frozenset[str] | None


def read_file(path: Path) -> CheckedFile:
    """Return the configuration in a file.

    :param path: file with the value of the record.
    :raises OSError: if the file can't be read.
    :raises msgspec.MsgspecError: if it is no valid configuration.
    """
    content = path.read_bytes()
    services = msgspec.json.decode(content, type=_Services).services
    names = None
    if services is not None:
        names = frozenset(service.name for service in services)
    return CheckedFile(read_configuration(content), names)


def read_or_reject(path: Path) -> CheckedFile | None:
    """Return the configuration in a file, None if the file is invalid.

    The reason is printed on standard error.

    :param path: file with the value of the record.
    """
    try:
        return read_file(path)
    except _UNREADABLE as error:
        reject_input(path, error)
        return None


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
    checked = read_or_reject(arguments.file)
    if checked is None:
        return Exit.invalid
    findings = find_problems(checked.deployment, checked.services)
    if arguments.against is not None:
        in_force = read_or_reject(arguments.against)
        if in_force is None:
            return Exit.invalid
        findings.extend(compare(in_force.deployment, checked.deployment))
    return print_report(arguments, findings, 'routes')


if __name__ == '__main__':
    sys.exit(main())
