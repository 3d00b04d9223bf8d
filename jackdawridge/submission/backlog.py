"""Input that has waited while the process was paused."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from jackdawridge.logs import get_logger
from jackdawridge.util.clock import make_loop

if TYPE_CHECKING:
    from jackdawridge.application import Application

logger = get_logger('backlog')

#: Interval at which the process notes that it runs, in seconds.
CHECK_INTERVAL = 0.1
#: Time without such a note after which the process counts as paused, in
#: seconds.
MAX_CHECK_GAP = 0.25
#: Highest number of iterations of the event loop in which the input of a pause
#: is read. A poll reports all sockets that can be read, but a listener accepts
#: a limited number of connections at a time.
MAX_READING_TURNS = 20


class Backlog(Protocol):
    """Tells whether input may still wait that arrived during a pause."""

    def is_pending(self) -> bool:
        """Return whether such input may not have been read yet."""


class NoBacklog:
    """The backlog of a process that doesn't watch for pauses."""

    def is_pending(self) -> bool:
        """Return False."""
        return False


class InputBacklog:
    """Watches for pauses and the input that arrived meanwhile; a component.

    A process that was frozen, or had no processor, reads a request long after
    it was sent, and only later that the caller has left. So nothing may be
    started before everything that had arrived was read, and a request that is
    read by then is as old as the pause, as far as is known.

    Emits `backlog_read` when the input of a pause has been read.

    :param application: the process.
    """

    def __init__(self, application: Application) -> None:
        """Initialise the watch; `start` begins it."""
        self.clock = application.clock
        self.events = application.events
        self.loop = make_loop(self.clock, self.check)
        self.checked_at = self.clock.seconds()
        #: Local time at which the pause began whose input is being read, None
        #: if there is none.
        self.paused_since: float | None = None
        #: Number of times that input of callers was read.
        self.reads = 0

    def start(self) -> None:
        """Begin to watch for pauses."""
        self.checked_at = self.clock.seconds()
        self.loop.start(CHECK_INTERVAL)

    def stop(self) -> None:
        """Stop watching for pauses."""
        self.loop.stop()

    def is_pending(self) -> bool:
        """Return whether input of a pause may not have been read yet."""
        return self.paused_since is not None or self.is_late()

    def is_late(self) -> bool:
        """Return whether the process was paused since the last check."""
        if not self.loop.running:
            return False
        return self.clock.seconds() - self.checked_at > MAX_CHECK_GAP

    def sent_after(self) -> float:
        """Return a time after which input was sent that is being read now.

        :returns: local time in seconds.
        """
        if self.paused_since is not None:
            return self.paused_since
        return self.checked_at if self.is_late() else self.clock.seconds()

    def input_read(self) -> None:
        """Note that input of a caller was read, or the end of a connection."""
        self.reads += 1

    def check(self) -> None:
        """Note that the process runs; begin to read the input of a pause."""
        if self.is_late() and self.paused_since is None:
            self.paused_since = self.checked_at
            logger.warning(
                'process was paused; its input is read before anything starts',
                step='resume',
                seconds=round(self.clock.seconds() - self.checked_at, 3),
            )
            self.clock.callLater(0, self.turn_ended, self.reads, 1)
        self.checked_at = self.clock.seconds()

    def turn_ended(self, reads: int, turn: int) -> None:
        """Go on reading unless the last iteration has read nothing.

        :param reads: number of reads before this iteration of the loop.
        :param turn: number of the iteration, from 1.
        """
        if self.reads != reads and turn < MAX_READING_TURNS:
            self.clock.callLater(0, self.turn_ended, self.reads, turn + 1)
            return
        logger.info('input of the pause was read', step='resume', turns=turn)
        self.paused_since = None
        self.events.emit('backlog_read')
