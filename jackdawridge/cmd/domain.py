"""The command `domain`: takes failure domains out of service or back in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from jackdawridge.cmd.changes import (
    CHANGES_PATH,
    await_confirmations,
    exit_code,
    format_outcome,
    print_confirmations,
)
from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.process_client import (
    ProcessClient,
    add_entry_option,
    run_command,
)

if TYPE_CHECKING:
    import argparse

_EPILOG = (
    'Exit codes: 0 in force at every known side of the failure domain,'
    ' 2 wrong input, 3 conflict with another change, 4 unknown, or not'
    ' confirmed by the sides that are named.'
)


def add_parser(subparsers: Any) -> None:
    """Add the command `domain`.

    :param subparsers: the subparsers of the main parser.
    """
    parser = subparsers.add_parser(
        'domain',
        help='take a failure domain out of service or back in',
        description=(
            'Take a failure domain out of service or back in, and report'
            ' when every known side in it has confirmed.'
        ),
        epilog=_EPILOG,
    )
    parser.add_argument('direction', choices=('out', 'in'))
    parser.add_argument('name', help='name of the failure domain')
    add_entry_option(parser)
    parser.add_argument(
        '--timeout',
        type=float,
        default=10,
        help='time to wait for the log and for the sides, in seconds',
    )
    parser.add_argument(
        '--change-id', help='makes it safe to repeat the command'
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run the command `domain` and return its exit code.

    :param arguments: the parsed command line.
    """
    return run_command(change_domain, arguments)


async def change_domain(arguments: argparse.Namespace) -> int:
    """Publish the change and wait until the sides have confirmed it.

    :param arguments: the parsed command line.
    """
    client = ProcessClient(arguments.entry)
    change = {
        'kind': 'failure_domain',
        'name': arguments.name,
        'value': {'in_service': arguments.direction == 'in'},
        'wait': arguments.timeout,
    }
    if arguments.change_id:
        change['change_id'] = arguments.change_id
    answer = await client.request('POST', CHANGES_PATH, body=change)
    outcome = answer.document
    print(
        format_outcome(
            f'domain {arguments.direction} {arguments.name}', outcome
        )
    )
    code = exit_code(outcome)
    if code == Exit.unknown and arguments.direction == 'out':
        print(
            'until the outcome is known, sides that have received the change'
            ' start nothing in this failure domain'
        )
    if code != Exit.ok:
        return code
    position = int(outcome['offset']) + 1
    return print_confirmations(
        await await_confirmations(
            client, arguments.name, position, arguments.timeout
        )
    )
