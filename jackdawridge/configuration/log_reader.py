"""The loop with which an entry follows the log."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from result import Err
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.task import deferLater

from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.configuration.freshness import EntryFreshness
    from jackdawridge.configuration.log_client import LogService
    from jackdawridge.configuration.replay import Page, Replay

logger = get_logger('configuration')

#: A read is late if it is not answered this long after its wait, in seconds.
LATE_READ_TIME = 0.3
#: Shortest and longest timeout of a read in addition to its wait, in seconds.
MIN_READ_TIMEOUT = 3.0
MAX_READ_TIMEOUT = 24.0
#: Shortest and longest backoff after a failed read, in seconds.
MIN_RETRY_DELAY = 0.1
MAX_RETRY_DELAY = 0.5


class LogReader:
    """Reads the log to its end in a loop; a component.

    :param log: the log stream to read.
    :param replay: applies the records that were read.
    :param freshness: records when the log was read to its end or failed.
    :param clock: the reactor.
    :param poll_time: how long a read waits for a new record, in seconds.
    :param on_page: called with the offset of the read and the page, after the
        page was applied.
    """

    def __init__(
        self,
        log: LogService,
        replay: Replay,
        freshness: EntryFreshness,
        clock: Any,
        poll_time: float,
        on_page: Callable[[int, Page], object],
    ) -> None:
        """Initialize without starting the loop."""
        self.log = log
        self.replay = replay
        self.freshness = freshness
        self.clock = clock
        self.poll_time = poll_time
        self.on_page = on_page
        #: Oldest offset in the log as of the last read.
        self.first_offset = 0
        self.timeout = MIN_READ_TIMEOUT
        self.running: Deferred[None] | None = None

    def start(self) -> None:
        """Start the loop."""
        self.running = ensureDeferred(self.run())
        self.running.addErrback(self.log_failure)

    def stop(self) -> None:
        """Cancel the loop."""
        if self.running is not None:
            self.running.cancel()

    def log_failure(self, failure: Any) -> None:
        """Log an exception that has ended the loop, unless it was cancelled.

        :param failure: Twisted's failure, which holds the exception.
        """
        if failure.check(CancelledError) is None:
            logger.error(
                f'log reader stopped by an error: {failure.getErrorMessage()}',
                step='read log',
            )

    async def run(self) -> None:
        """Read until cancelled, with a jittered backoff after errors."""
        delay = MIN_RETRY_DELAY
        while True:
            if await self.read_once():
                delay = MIN_RETRY_DELAY
                continue
            pause = random.uniform(delay / 2, delay)
            delay = min(delay * 2, MAX_RETRY_DELAY)
            await deferLater(self.clock, pause)

    async def read_once(self) -> bool:
        """Read once and return whether the log answered."""
        sent_at = self.clock.seconds()
        late_timer = self.clock.callLater(
            self.poll_time + LATE_READ_TIME, self.handle_late_read
        )
        reply = await self.log.read(
            self.replay.cursor, self.poll_time, self.poll_time + self.timeout
        )
        if late_timer.active():
            late_timer.cancel()
        if isinstance(reply, Err):
            self.handle_failed_read(reply.err_value)
            return False
        self.timeout = MIN_READ_TIMEOUT
        self.apply_page(reply.ok_value, sent_at)
        return True

    def handle_late_read(self) -> None:
        """Record that the log is late; its answer may still arrive."""
        self.freshness.read_failed()

    def handle_failed_read(self, reason: str) -> None:
        """Record a failed read, log the first of a series, double the timeout.

        :param reason: error text of the log client.
        """
        if not self.freshness.failing:
            logger.warning(
                f'log read failed, retrying: {reason}', step='read log'
            )
        self.freshness.read_failed()
        self.timeout = min(self.timeout * 2, MAX_READ_TIMEOUT)

    def apply_page(self, page: Page, sent_at: float) -> None:
        """Apply a page, unless the log ends before records that it once had.

        :param page: the answer of the log.
        :param sent_at: time at which the read was sent, in seconds.
        """
        if page.head < self.replay.cursor:
            logger.error(
                f'log ends at {page.head}, before {self.replay.cursor},'
                ' up to which it was already read; ignoring it, as records'
                ' must never be removed from its end',
                step='read log',
            )
            self.freshness.read_failed()
            return
        had_gap = self.replay.has_gap
        start = self.replay.cursor
        self.replay.apply_page(page)
        self.first_offset = page.first
        if self.replay.has_gap and not had_gap:
            logger.warning(
                f'records before offset {page.first} were trimmed before they'
                ' were read; waiting for a snapshot',
                step='read log',
            )
        self.freshness.read_answered()
        if self.replay.is_complete(page):
            self.freshness.read_complete(sent_at)
        self.on_page(start, page)
