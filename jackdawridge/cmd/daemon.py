"""The commands `entry`, `side` and `check-settings`."""

from __future__ import annotations

import gc
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import ensureDeferred

from jackdawridge.cmd.exits import Exit
from jackdawridge.config import Settings, find_faults, load_document
from jackdawridge.entry import build_entry
from jackdawridge.errors import SettingsError
from jackdawridge.logs import get_logger, install
from jackdawridge.side import build_side

if TYPE_CHECKING:
    import argparse

    from jackdawridge.application import Application

logger = get_logger('daemon')

_BUILDERS = {'entry': build_entry, 'side': build_side}  # noqa: WPS407

#: Allocations between two passes of the garbage collector.
GC_THRESHOLD = 50000


def add_parsers(subparsers: Any) -> None:
    """Add the commands of the daemons.

    :param subparsers: of the main parser.
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
    parser.set_defaults(run=run_check)


def run_check(arguments: argparse.Namespace) -> int:
    """Print every fault of a settings file.

    :param arguments: of the command line.
    """
    try:
        document = load_document(arguments.file)
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        return Exit.invalid
    faults = find_faults(document)
    for fault in faults:
        print(fault, file=sys.stderr)
    if faults:
        return Exit.invalid
    print(f'{arguments.file}: no faults')
    return Exit.ok


def run_daemon(arguments: argparse.Namespace) -> int:
    """Run an entry or a side until SIGTERM or SIGINT.

    :param arguments: of the command line.
    """
    if run_check_quietly(arguments) != Exit.ok:
        return Exit.invalid
    settings = Settings.from_file(arguments.settings)
    install(
        settings.text('log_level'),
        settings.integer('decision_sampling'),
        settings.text('node'),
    )
    from twisted.internet import reactor  # noqa: WPS433

    gc.set_threshold(GC_THRESHOLD)
    application = _BUILDERS[settings.role](settings, reactor)
    # Passes of the collector leave out what lasts as long as the process.
    gc.collect()
    gc.freeze()
    return serve(application, reactor)


def run_check_quietly(arguments: argparse.Namespace) -> int:
    """Return whether the settings are those of the command's role.

    :param arguments: of the command line.
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


def serve(application: Application, reactor: Any) -> Exit:
    """Start an application and drain it at the first signal.

    A process that cannot start as a whole ends.

    :param application: an entry or a side.
    :param reactor: Twisted's reactor.
    """
    stopping: list[int] = []
    failures: list[str] = []

    def begin() -> None:  # noqa: WPS430
        try:
            application.start()
        except Exception as error:
            # It might be linked, and be given work, without all its listeners.
            failures.append(str(error))
            logger.error(str(error), step='start')
            reactor.stop()
        else:
            logger.notice('ready', step='start')

    def leave(number: int, _: object) -> None:  # noqa: WPS430
        if not stopping:
            stopping.append(number)
            reactor.callFromThread(drain)

    def drain() -> None:  # noqa: WPS430
        logger.notice('leaving', step='stop')
        left = ensureDeferred(application.stop())
        left.addBoth(lambda _: reactor.stop())

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, leave)
    application.events.connect(
        'superseded', lambda: leave(signal.SIGTERM, None)
    )
    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    return Exit.failed if failures else Exit.ok
