"""The `jackdawridge` command."""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING

from jackdawridge.cmd import (
    config,
    daemon,
    demo,
    domain,
    explain,
    jobs,
    standin,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

_EPILOG = (
    'Exit codes: 0 done, 1 failed, 2 wrong input, 3 conflict with the'
    ' current state, 4 unknown or nobody answers.'
)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser with all commands."""
    parser = argparse.ArgumentParser(
        prog='jackdawridge',
        description='A dispatcher for sub-second tasks.',
        epilog=_EPILOG,
    )
    subparsers = parser.add_subparsers(
        title='commands', dest='command', required=True, metavar='COMMAND'
    )
    demo.add_parser(subparsers)
    daemon.add_parsers(subparsers)
    jobs.add_parsers(subparsers)
    standin.add_parser(subparsers)
    config.add_parser(subparsers)
    domain.add_parser(subparsers)
    explain.add_parser(subparsers)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code.

    :param argv: the arguments; those of the process by default.
    """
    arguments = make_parser().parse_args(argv)
    code: int = arguments.run(arguments)
    return code


if __name__ == '__main__':
    sys.exit(main())
