"""The command `explain`."""

from __future__ import annotations

import fileinput
import sys
from typing import TYPE_CHECKING, Any

from jackdawridge.cmd.exits import Exit
from jackdawridge.operations.request_trace import format_line, trace_request

if TYPE_CHECKING:
    import argparse


def add_parser(subparsers: Any) -> None:
    """Add the command.

    :param subparsers: of the main parser.
    """
    text = 'tell what became of a request, from the logs of all processes'
    parser = subparsers.add_parser(
        'explain',
        help=text,
        description=f'{text}; exit 1 if no line is about it.',
    )
    parser.add_argument('id', help='that the caller chose, or a ticket')
    parser.add_argument(
        'files',
        nargs='*',
        metavar='FILE',
        help='logs, in any order; standard input if there are none',
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Print the story of a request and its cause.

    :param arguments: of the command line.
    """
    files = arguments.files or ('-',)
    try:
        with fileinput.input(files, errors='replace') as lines:
            story = trace_request(lines, arguments.id)
    except OSError as error:
        print(error, file=sys.stderr)
        return Exit.invalid
    if not story.lines:
        print(f'no line is about {arguments.id!r}', file=sys.stderr)
        return Exit.failed
    for line in story.lines:
        print(format_line(line))
    print(f'cause: {story.cause}')
    return Exit.ok
