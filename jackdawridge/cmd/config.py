"""The command `config`: reads and changes the configuration."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from jackdawridge.cmd import config_actions as actions
from jackdawridge.cmd import config_check
from jackdawridge.cmd.process_client import add_entry_option, run_command

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable

_EPILOG = (
    'Exit codes: 0 done, 1 failed or not found, 2 wrong input, 3 conflict'
    ' with another change, 4 unknown: ask again with the change id.'
)


def add_parser(subparsers: Any) -> None:
    """Add the command `config` with its actions.

    :param subparsers: the subparsers of the main parser.
    """
    parser = subparsers.add_parser(
        'config',
        help='read and change the configuration',
        description='Read and change the versioned records in the log.',
        epilog=_EPILOG,
    )
    commands = parser.add_subparsers(dest='action', required=True)
    _add_apply(commands)
    config_check.add_parser(commands)
    _add_diff(commands)
    get = _add_action(commands, 'get', 'print current records', actions.get)
    get.add_argument('record', nargs='?', default='', metavar='KIND[/NAME]')
    history = _add_action(
        commands, 'history', 'print the kept versions', actions.history
    )
    history.add_argument('record', metavar='KIND/NAME')
    _add_settle(commands)
    _add_wait(commands)


def _add_action(
    commands: Any, name: str, summary: str, command: Callable[..., Any]
) -> argparse.ArgumentParser:
    """Add an action and return its parser."""
    parser: argparse.ArgumentParser = commands.add_parser(
        name, help=summary, description=summary, epilog=_EPILOG
    )
    add_entry_option(parser)
    parser.set_defaults(run=lambda arguments: run_command(command, arguments))
    return parser


def _add_apply(commands: Any) -> None:
    """Add the action `apply`."""
    parser = _add_action(
        commands, 'apply', 'publish the records of a file', actions.apply
    )
    _add_file_argument(parser)
    parser.add_argument(
        '--dry-run', action='store_true', help='check, and publish nothing'
    )
    parser.add_argument(
        '--change-id',
        default='',
        help='prefix of the change ids; applying the file again with the same'
        ' prefix repeats nothing',
    )
    _add_timeout_option(parser)


def _add_diff(commands: Any) -> None:
    """Add the action `diff`."""
    parser = _add_action(
        commands, 'diff', 'compare a file with what is in force', actions.diff
    )
    _add_file_argument(parser)


def _add_settle(commands: Any) -> None:
    """Add the action `settle`."""
    parser = _add_action(
        commands,
        'settle',
        'close a version of an agreement to new work',
        actions.settle,
    )
    parser.add_argument('agreement')
    parser.add_argument('version', type=int)
    parser.add_argument(
        '--change-id', default='', help='makes it safe to repeat the command'
    )
    _add_timeout_option(parser)


def _add_wait(commands: Any) -> None:
    """Add the action `wait`."""
    parser = _add_action(
        commands,
        'wait',
        'wait until a change is in force at all sides',
        actions.wait,
    )
    parser.add_argument('change_id')
    _add_timeout_option(parser)


def _add_file_argument(parser: argparse.ArgumentParser) -> None:
    """Add the argument for the file of records."""
    parser.add_argument(
        'file',
        type=Path,
        help='JSON with comments: {"records": [{"kind", "name", "value",'
        ' "expected"}]}; "expected" may be left out',
    )


def _add_timeout_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for the longest time to wait."""
    parser.add_argument('--timeout', type=float, default=10, help='in seconds')
