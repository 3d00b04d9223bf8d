"""Periodic snapshots, written well before the log trims the changes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall

from jackdawridge.configuration.snapshot import snapshot_document
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from jackdawridge.configuration.freshness import EntryFreshness
    from jackdawridge.configuration.log_client import LogService
    from jackdawridge.configuration.log_reader import LogReader

logger = get_logger('configuration')

#: No snapshot is written if the log was last read to its end longer ago than
#: this, in seconds.
MAX_LOG_AGE = 2.0
#: Timeout of the append of a snapshot, in seconds.
APPEND_TIMEOUT = 10.0
#: Time between checks as a fraction of the interval between snapshots.
CHECK_INTERVAL_FRACTION = 0.02
#: Longest time between checks before random jitter is added, in seconds.
MAX_CHECK_INTERVAL = 5.0


class SnapshotWriter:
    """Appends a snapshot whenever one is due; a component.

    A snapshot is due if none was seen for the interval, or if the position of
    the newest one is in the older half of the offsets that the log keeps.
    Entries check at random times, so that usually one of them writes the
    snapshot and the others see it before they write their own.

    :param log: the log stream.
    :param reader: provides the state and the oldest offset in the log.
    :param freshness: provides the age of the state.
    :param clock: the reactor.
    :param interval: longest time between two snapshots, in seconds.
    """

    def __init__(
        self,
        log: LogService,
        reader: LogReader,
        freshness: EntryFreshness,
        clock: Any,
        interval: float,
    ) -> None:
        """Initialize without starting the checks."""
        self.log = log
        self.reader = reader
        self.freshness = freshness
        self.clock = clock
        self.interval = interval
        self.newest_as_of = -1
        #: Time at which the newest snapshot was seen. Starts at a random time
        #: within the last interval, because processes that are replaced often
        #: would otherwise never write a snapshot.
        self.newest_seen_at = clock.seconds() - interval * random.random()
        self.loop = LoopingCall(self.check)
        self.loop.clock = clock
        self.writing = False

    def start(self) -> None:
        """Start the periodic checks."""
        period = min(
            self.interval * CHECK_INTERVAL_FRACTION, MAX_CHECK_INTERVAL
        )
        self.loop.start(period * (1 + random.random()), now=False)

    def stop(self) -> None:
        """Stop the periodic checks."""
        if self.loop.running:
            self.loop.stop()

    def is_due(self, now: float) -> bool:
        """Return whether a snapshot should be written.

        :param now: current time in seconds.
        """
        replay = self.reader.replay
        if replay.snapshot_as_of > self.newest_as_of:
            self.newest_as_of = replay.snapshot_as_of
            self.newest_seen_at = now
        if (
            self.freshness.log_age(now) > MAX_LOG_AGE
            or not replay.state.verdicts
        ):
            return False
        middle_offset = (self.reader.first_offset + replay.state.position) / 2
        if self.reader.first_offset > 0 and self.newest_as_of < middle_offset:
            return True
        return bool(now - self.newest_seen_at > self.interval)

    def check(self) -> None:
        """Start writing a snapshot if one is due and none is in flight."""
        if self.writing or not self.is_due(self.clock.seconds()):
            return
        self.writing = True
        ensureDeferred(self.write()).addErrback(_log_failure)

    async def write(self) -> None:
        """Append a snapshot; it takes effect once it is read back."""
        state = self.reader.replay.state
        reply = await self.log.append(snapshot_document(state), APPEND_TIMEOUT)
        self.writing = False
        if reply.is_err():
            logger.warning(
                f'snapshot as of offset {state.position} was not written,'
                f' retrying when due: {reply.unwrap_err()}',
                step='snapshot',
            )


def _log_failure(failure: Any) -> None:
    """Log an exception that has ended the writing of a snapshot."""
    logger.error(failure.getErrorMessage(), step='snapshot')
