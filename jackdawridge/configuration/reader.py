"""The loop by which an entry follows the log."""

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

#: A read that is not answered this long after its wait is late, in seconds.
LATE = 0.3
#: Shortest and longest time for the answer to a read, in seconds.
TIMEOUT_FLOOR = 3.0
TIMEOUT_CEILING = 24.0
#: Shortest and longest wait after a failed read, in seconds.
RETRY_FLOOR = 0.1
RETRY_CEILING = 0.5


class LogReader:
    """Reads the log to its end, over and over; a component.

    :param log: the stream.
    :param replay: takes what was read.
    :param freshness: takes note of each answer.
    :param clock: the reactor.
    :param poll: how long a read waits for a record, in seconds.
    :param on_read: called with the offset from which was read, and with the
        answer, once it was taken.
    """

    def __init__(
        self,
        log: LogService,
        replay: Replay,
        freshness: EntryFreshness,
        clock: Any,
        poll: float,
        on_read: Callable[[int, Page], object],
    ) -> None:
        """Keep the parts."""
        self.log = log
        self.replay = replay
        self.freshness = freshness
        self.clock = clock
        self.poll = poll
        self.on_read = on_read
        #: Oldest offset that the log kept at the last read.
        self.first = 0
        self.timeout = TIMEOUT_FLOOR
        self.running: Deferred[None] | None = None

    def start(self) -> None:
        """Begin to read."""
        self.running = ensureDeferred(self.run())
        self.running.addErrback(self.ended)

    def stop(self) -> None:
        """Stop reading."""
        if self.running is not None:
            self.running.cancel()

    def ended(self, failure: Any) -> None:
        """Take the end of the loop.

        :param failure: the reason.
        """
        if failure.check(CancelledError) is None:
            logger.error(
                f'reader ended: {failure.getErrorMessage()}', step='read log'
            )

    async def run(self) -> None:
        """Read until cancelled."""
        delay = RETRY_FLOOR
        while True:
            if await self.read_once():
                delay = RETRY_FLOOR
                continue
            pause = random.uniform(delay / 2, delay)
            delay = min(delay * 2, RETRY_CEILING)
            await deferLater(self.clock, pause)

    async def read_once(self) -> bool:
        """Read once and return whether the log answered."""
        sent_at = self.clock.seconds()
        late = self.clock.callLater(self.poll + LATE, self.note_late)
        answer = await self.log.read(
            self.replay.cursor, self.poll, self.poll + self.timeout
        )
        if late.active():
            late.cancel()
        if isinstance(answer, Err):
            self.note_failure(answer.err_value)
            return False
        self.timeout = TIMEOUT_FLOOR
        self.take(answer.ok_value, sent_at)
        return True

    def note_late(self) -> None:
        """Take note that the log is late; its answer may still come."""
        self.freshness.read_failed()

    def note_failure(self, reason: str) -> None:
        """Take note of a failed read.

        :param reason: for the log.
        """
        if not self.freshness.failing:
            logger.warning(f'log read failed: {reason}', step='read log')
        self.freshness.read_failed()
        self.timeout = min(self.timeout * 2, TIMEOUT_CEILING)

    def take(self, page: Page, sent_at: float) -> None:
        """Take what was read.

        :param page: the answer.
        :param sent_at: when the read was sent, in seconds.
        """
        if page.head < self.replay.cursor:
            logger.error(
                f'log ends at {page.head}, before {self.replay.cursor},'
                ' which was read from it; it must not be emptied',
                step='read log',
            )
            self.freshness.read_failed()
            return
        had_gap = self.replay.has_gap
        start = self.replay.cursor
        self.replay.take(page)
        self.first = page.first
        if self.replay.has_gap and not had_gap:
            logger.warning(
                f'records before {page.first} were trimmed unread;'
                ' waiting for a snapshot',
                step='read log',
            )
        self.freshness.read_answered()
        if self.replay.is_complete(page):
            self.freshness.read_complete(sent_at)
        self.on_read(start, page)
