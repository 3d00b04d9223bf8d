"""The command `explain`: reports on a request from the logs."""

from __future__ import annotations

import fileinput
import sys
from typing import TYPE_CHECKING, Any

from jackdawridge.cmd.exits import Exit
from jackdawridge.operations.request_trace import format_line, trace_request

if TYPE_CHECKING:
    import argparse


def add_parser(subparsers: Any) -> None:
    """Add the command `explain`.

    :param subparsers: the subparsers of the main parser.
    """
    text = 'tell what became of a request, from the logs of all processes'
    parser = subparsers.add_parser(
        'explain',
        help=text,
        description=f'{text}; exit 1 if no log line mentions it.',
    )
    parser.add_argument(
        'id', help='request id chosen by the caller, or a ticket'
    )
    parser.add_argument(
        'files',
        nargs='*',
        metavar='FILE',
        help='logs, in any order; standard input if there are none',
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Print the log lines of a request and the cause of its outcome.

    :param arguments: the parsed command line.
    """
    files = arguments.files or ('-',)
    try:
        with fileinput.input(files, errors='replace') as lines:
            story = trace_request(lines, arguments.id)
    except OSError as error:
        print(error, file=sys.stderr)
        return Exit.invalid
    if not story.lines:
        print(f'no log line mentions {arguments.id!r}', file=sys.stderr)
        return Exit.failed
    for line in story.lines:
        print(format_line(line))
    print(f'cause: {story.cause}')
    return Exit.ok
