"""Runs an application until a signal."""

from __future__ import annotations

import gc
import signal
import sys
import time
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import ensureDeferred

from jackdawridge.cmd.exits import Exit
from jackdawridge.logs import get_logger, install
from jackdawridge.util.reactor import install_prompt_reactor

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.config import Settings

logger = get_logger('daemon')

#: Allocations between two passes of the garbage collector.
GC_THRESHOLD = 50000


def prepare(settings: Settings) -> Any:
    """Set up the logs and return the reactor.

    :param settings: of the process.
    """
    handler = install(
        settings.text('log_level'),
        settings.integer('decision_sampling'),
        settings.text('node'),
        sys.stdout.fileno(),
    )
    install_prompt_reactor()
    from twisted.internet import reactor  # noqa: WPS433

    gc.set_threshold(GC_THRESHOLD)
    clock = count_suspension(reactor)
    clock.callWhenRunning(handler.writer.start_buffering, clock)
    clock.addSystemEventTrigger(
        'after', 'shutdown', handler.writer.stop_buffering
    )
    return clock


def count_suspension(reactor: Any) -> Any:
    """Let the reactor's clock go on while the VM is suspended.

    The monotonic clock stands still then. A process that does not know how
    long it was away would take leases and send windows for valid that others
    have seen lapse.

    :param reactor: Twisted's reactor.
    """
    reactor.seconds = partial(time.clock_gettime, time.CLOCK_BOOTTIME)
    return reactor


class Runner:
    """Runs an application until a signal, then lets it drain.

    :param application: an entry or a side.
    :param reactor: Twisted's reactor.
    """

    def __init__(self, application: Application, reactor: Any) -> None:
        """Keep both."""
        self.application = application
        self.reactor = reactor
        self.is_leaving = False
        self.has_failed = False

    def begin(self) -> None:
        """Start the application; one that cannot start as a whole ends."""
        try:
            self.application.start()
        except Exception as error:
            # It might be linked, and be given work, without all its listeners.
            self.has_failed = True
            logger.error(str(error), step='start')
            self.reactor.stop()
        else:
            logger.notice('ready', step='start')

    def leave(self, *_: object) -> None:
        """Drain at the first signal; the others change nothing."""
        if not self.is_leaving:
            self.is_leaving = True
            self.reactor.callFromThread(self.drain)

    def drain(self) -> None:
        """End the process once the application has drained."""
        logger.notice('leaving', step='stop')
        left = ensureDeferred(self.application.stop())
        left.addBoth(lambda _: self.reactor.stop())

    def listen_to_signals(self) -> None:
        """Leave at the signals that ask for it."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.leave)
        # Settings are read at the start only; the signal must not end us.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def serve(application: Application, reactor: Any) -> Exit:
    """Run an application until a signal and return the exit code.

    :param application: an entry or a side.
    :param reactor: Twisted's reactor.
    """
    runner = Runner(application, reactor)
    spare_collector()
    runner.listen_to_signals()
    application.events.connect('superseded', runner.leave)
    reactor.callWhenRunning(runner.begin)
    reactor.run(installSignalHandlers=False)
    return Exit.failed if runner.has_failed else Exit.ok


def spare_collector() -> None:
    """Leave what lasts as long as the process out of later collections."""
    gc.collect()
    gc.freeze()
