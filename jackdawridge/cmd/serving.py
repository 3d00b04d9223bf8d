"""Running of an application until a signal."""

from __future__ import annotations

import gc
import signal
import sys
import time
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import ensureDeferred

from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.settings_reload import SettingsReloader
from jackdawridge.logs import get_logger, install
from jackdawridge.util.reactor import install_prompt_reactor

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.application import Application
    from jackdawridge.config import Settings

logger = get_logger('daemon')

#: Allocations, less deallocations, that trigger a garbage collection.
GC_THRESHOLD = 50000


def prepare_reactor(settings: Settings) -> Any:
    """Set up the logs and the garbage collector and return the reactor.

    :param settings: the settings of the process.
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
    clock = use_boottime_clock(reactor)
    clock.callWhenRunning(handler.writer.start_buffering, clock)
    clock.addSystemEventTrigger(
        'after', 'shutdown', handler.writer.stop_buffering
    )
    return clock


def use_boottime_clock(reactor: Any) -> Any:
    """Make the reactor's clock include the time that the VM is suspended.

    The monotonic clock stops during a suspension. A process that does not
    measure this time would treat leases and send windows as valid that have
    already expired for its peers.

    :param reactor: the Twisted reactor.
    """
    reactor.seconds = partial(time.clock_gettime, time.CLOCK_BOOTTIME)
    return reactor


class ApplicationRunner:
    """Runs an application until a signal, then drains it.

    :param application: the entry or side to run.
    :param reactor: the Twisted reactor.
    :param reloader: reads the settings again.
    """

    def __init__(
        self,
        application: Application,
        reactor: Any,
        reloader: SettingsReloader,
    ) -> None:
        """Create the runner without starting the application."""
        self.application = application
        self.reactor = reactor
        self.reloader = reloader
        self.is_stopping = False
        self.has_failed = False

    def start(self) -> None:
        """Start the application and stop the reactor if the start fails."""
        try:
            self.application.start()
        except Exception as error:
            # A partly started process could be linked, and work placed at it,
            # although some of its listeners are missing.
            self.has_failed = True
            logger.error(str(error), step='start')
            self.reactor.stop()
        else:
            logger.notice('ready', step='start')

    def request_stop(self, *_: object) -> None:
        """Drain at the first signal or event and ignore later ones."""
        if not self.is_stopping:
            self.is_stopping = True
            self.reactor.callFromThread(self.drain)

    def drain(self) -> None:
        """Drain the application, then stop the reactor."""
        logger.notice('leaving', step='stop')
        stopped = ensureDeferred(self.application.stop())
        stopped.addBoth(lambda _: self.reactor.stop())

    def install_signal_handlers(self) -> None:
        """Stop at SIGTERM and SIGINT; reload the settings at SIGHUP."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.request_stop)
        signal.signal(signal.SIGHUP, self.request_reload)

    def request_reload(self, *_: object) -> None:
        """Reload the settings in the next turn of the reactor."""
        self.reactor.callFromThread(self.reloader.reload)


def serve(
    application: Application, reactor: Any, load: Callable[[], Settings]
) -> Exit:
    """Run an application until a signal and return the exit code.

    :param application: the entry or side to run.
    :param reactor: the Twisted reactor.
    :param load: reads and validates the settings of the process.
    """
    reloader = SettingsReloader(application, load)
    runner = ApplicationRunner(application, reactor, reloader)
    freeze_allocated_objects()
    runner.install_signal_handlers()
    application.events.connect('superseded', runner.request_stop)
    reactor.callWhenRunning(runner.start)
    reactor.run(installSignalHandlers=False)
    return Exit.failed if runner.has_failed else Exit.ok


def freeze_allocated_objects() -> None:
    """Exempt the objects allocated so far from garbage collection.

    They last as long as the process.
    """
    gc.collect()
    gc.freeze()
