"""The writer of snapshots, well before the log forgets."""

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
    from jackdawridge.configuration.reader import LogReader

logger = get_logger('configuration')

#: Longest age of the log's word under which a snapshot is written, in seconds.
FRESH = 2.0
#: Time for the answer to the append of a snapshot, in seconds.
APPEND_TIMEOUT = 10.0
#: Part of the interval between two looks at whether a snapshot is due.
CHECK_FRACTION = 0.02
#: Longest time between two such looks, in seconds.
CHECK_CEILING = 5.0


class SnapshotWriter:
    """Appends a snapshot whenever one is due; a component.

    Due is a snapshot when none was seen for the interval, or when the as-of
    offset of the newest one is in the older half of what the log keeps. All
    entries look at random times, and the first one to write spares the
    others the work.

    :param log: the stream.
    :param reader: has the state, and what the log keeps.
    :param freshness: says whether the state is current.
    :param clock: the reactor.
    :param interval: between two snapshots, in seconds.
    """

    def __init__(
        self,
        log: LogService,
        reader: LogReader,
        freshness: EntryFreshness,
        clock: Any,
        interval: float,
    ) -> None:
        """Keep the parts."""
        self.log = log
        self.reader = reader
        self.freshness = freshness
        self.clock = clock
        self.interval = interval
        self.seen_as_of = -1
        #: When the newest snapshot was seen. Processes that are replaced
        #: often would never write if they began to count from zero.
        self.seen_at = clock.seconds() - interval * random.random()
        self.loop = LoopingCall(self.check)
        self.loop.clock = clock
        self.writing = False

    def start(self) -> None:
        """Begin to look."""
        period = min(self.interval * CHECK_FRACTION, CHECK_CEILING)
        self.loop.start(period * (1 + random.random()), now=False)

    def stop(self) -> None:
        """Write no more."""
        if self.loop.running:
            self.loop.stop()

    def is_due(self, now: float) -> bool:
        """Return whether a snapshot should be written.

        :param now: in seconds.
        """
        replay = self.reader.replay
        if replay.snapshot_as_of > self.seen_as_of:
            self.seen_as_of = replay.snapshot_as_of
            self.seen_at = now
        if self.freshness.log_age(now) > FRESH or not replay.state.verdicts:
            return False
        middle = (self.reader.first + replay.state.position) / 2
        if self.reader.first > 0 and self.seen_as_of < middle:
            return True
        return bool(now - self.seen_at > self.interval)

    def check(self) -> None:
        """Write a snapshot if one is due."""
        if self.writing or not self.is_due(self.clock.seconds()):
            return
        self.writing = True
        ensureDeferred(self.write()).addErrback(_log_failure)

    async def write(self) -> None:
        """Append a snapshot; it counts once it has been read back."""
        state = self.reader.replay.state
        answer = await self.log.append(snapshot_document(state), APPEND_TIMEOUT)
        self.writing = False
        if answer.is_err():
            logger.warning(
                f'snapshot as of {state.position} not written:'
                f' {answer.unwrap_err()}',
                step='snapshot',
            )


def _log_failure(failure: Any) -> None:
    """Log an error of the writer."""
    logger.error(failure.getErrorMessage(), step='snapshot')
