"""The command `domain`: takes failure domains out and back in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from jackdawridge.cmd.changes import (
    CHANGES,
    await_sides,
    describe,
    exit_of,
    report_sides,
)
from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.operator import Operator, add_address, run_command

if TYPE_CHECKING:
    import argparse

_EPILOG = (
    'Exit codes: 0 in force at every known side of the failure domain,'
    ' 2 wrong input, 3 another operator was faster, 4 unknown, or not'
    ' confirmed by the sides that are named.'
)


def add_parser(subparsers: Any) -> None:
    """Add the command `domain`.

    :param subparsers: of the main parser.
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
    parser.add_argument('name', help='of the failure domain')
    add_address(parser)
    parser.add_argument(
        '--timeout',
        type=float,
        default=10,
        help='for the log and for the sides, in seconds',
    )
    parser.add_argument('--change-id', help='to repeat an order safely')
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Change a failure domain.

    :param arguments: of the command line.
    """
    return run_command(change_domain, arguments)


async def change_domain(arguments: argparse.Namespace) -> int:
    """Publish the change and wait for the sides.

    :param arguments: of the command line.
    """
    operator = Operator(arguments.entry)
    order = {
        'kind': 'failure_domain',
        'name': arguments.name,
        'value': {'in_service': arguments.direction == 'in'},
        'wait': arguments.timeout,
    }
    if arguments.change_id:
        order['change_id'] = arguments.change_id
    answer = await operator.ask('POST', CHANGES, body=order)
    outcome = answer.document
    print(describe(f'domain {arguments.direction} {arguments.name}', outcome))
    code = exit_of(outcome)
    if code == Exit.unknown and arguments.direction == 'out':
        print('until this is settled, sides that were told start nothing in it')
    if code != Exit.ok:
        return code
    position = int(outcome['offset']) + 1
    return report_sides(
        await await_sides(operator, arguments.name, position, arguments.timeout)
    )
