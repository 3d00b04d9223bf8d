"""Runs an application until a signal."""

from __future__ import annotations

import gc
import signal
from typing import TYPE_CHECKING, Any, TextIO

from twisted.internet.defer import ensureDeferred

from jackdawridge.cmd.exits import Exit
from jackdawridge.logs import get_logger, install

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.application import Application
    from jackdawridge.config import Settings

logger = get_logger('daemon')

#: Allocations between two passes of the garbage collector.
GC_THRESHOLD = 50000


def prepare(settings: Settings, stream: TextIO) -> Any:
    """Set up the logs and return the reactor.

    :param settings: of the process.
    :param stream: that the log lines go to.
    """
    install(
        settings.text('log_level'),
        settings.integer('decision_sampling'),
        settings.text('node'),
        stream,
    )
    from twisted.internet import reactor  # noqa: WPS433

    gc.set_threshold(GC_THRESHOLD)
    return reactor


def serve(application: Application, reactor: Any) -> Exit:
    """Start an application and drain it at the first signal.

    A process that cannot start as a whole ends.

    :param application: an entry or a side.
    :param reactor: Twisted's reactor.
    """
    spare_collector()
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

    listen_to_signals(leave)
    application.events.connect(
        'superseded', lambda: leave(signal.SIGTERM, None)
    )
    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    return Exit.failed if failures else Exit.ok


def listen_to_signals(leave: Callable[[int, object], None]) -> None:
    """Call a function at the signals that ask for the end.

    :param leave: called with the number of the signal.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, leave)
    # Settings are read at the start only; the signal must not end a process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def spare_collector() -> None:
    """Leave what lasts as long as the process out of later collections."""
    gc.collect()
    gc.freeze()
