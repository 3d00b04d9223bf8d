"""The commands `entry`, `side` and `check-settings`."""

from __future__ import annotations

import sys
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.serving import prepare_reactor, serve
from jackdawridge.config import (
    InvalidSetting,
    Settings,
    find_invalid_settings,
    load_document,
)
from jackdawridge.entry import build_entry
from jackdawridge.errors import SettingsError
from jackdawridge.platform.settings import load_node_settings
from jackdawridge.side import build_side

if TYPE_CHECKING:
    import argparse

#: Suffix of the settings files that the platform writes.
PLATFORM_FILE_SUFFIX = '.toml'

_BUILDERS = {'entry': build_entry, 'side': build_side}  # noqa: WPS407


def add_parsers(subparsers: Any) -> None:
    """Add the commands `entry`, `side` and `check-settings`.

    :param subparsers: the subparsers of the main parser.
    """
    for role, text in (
        ('entry', 'take work from callers and place it'),
        ('side', 'start tasks on the worker beside it'),
    ):
        parser = subparsers.add_parser(role, help=text, description=text)
        parser.add_argument(
            '--settings', type=Path, required=True, metavar='FILE'
        )
        parser.set_defaults(run=run_daemon, role=role)
    parser = subparsers.add_parser(
        'check-settings',
        help='check a settings file and name every fault',
        description='Check a settings file; exit 2 if it has faults.',
    )
    parser.add_argument('file', type=Path)
    parser.set_defaults(run=check_settings)


def check_settings(arguments: argparse.Namespace) -> int:
    """Print every fault of a settings file and return the exit code.

    :param arguments: the parsed command line.
    """
    try:
        if arguments.file.suffix == PLATFORM_FILE_SUFFIX:
            load_node_settings(arguments.file)
            faults: list[InvalidSetting] = []
        else:
            faults = find_invalid_settings(load_document(arguments.file))
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        return Exit.invalid
    for fault in faults:
        print(fault, file=sys.stderr)
    if faults:
        return Exit.invalid
    print(f'{arguments.file}: no faults')
    return Exit.ok


def run_daemon(arguments: argparse.Namespace) -> int:
    """Run an entry or a side until SIGTERM or SIGINT.

    Return the exit code.

    :param arguments: the parsed command line.
    """
    if check_role(arguments) != Exit.ok:
        return Exit.invalid
    load = partial(Settings.from_file, arguments.settings)
    settings = load()
    reactor = prepare_reactor(settings)
    return serve(_BUILDERS[settings.role](settings, reactor), reactor, load)


def check_role(arguments: argparse.Namespace) -> int:
    """Check that the settings are valid and of the command's role.

    Return the exit code; print the reason if they are not.

    :param arguments: the parsed command line.
    """
    try:
        settings = Settings.from_file(arguments.settings)
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        return Exit.invalid
    if settings.role != arguments.role:
        print(
            f'role: {settings.role!r} is not valid; allowed: {arguments.role}',
            file=sys.stderr,
        )
        return Exit.invalid
    return Exit.ok
