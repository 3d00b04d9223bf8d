"""The wait before a process dials an address again."""

from __future__ import annotations

#: Shortest and longest wait before dialling again, in seconds.
REDIAL_FLOOR = 0.1
REDIAL_CEILING = 3.0


class Backoff:
    """Doubles the wait with each attempt that was of no use.

    Attempts without a link and links that end soon are counted apart: once a
    link was opened, the time for which the peer could not be reached before
    says nothing about how soon to come back.
    """

    def __init__(self) -> None:
        """Start with the shortest wait."""
        self.delay = REDIAL_FLOOR
        #: Wait after the next link that ends soon, in seconds.
        self.after_link = REDIAL_FLOOR
        #: When the handshake of the link was complete; None without a link.
        self.opened: float | None = None

    def link_opened(self, now: float) -> None:
        """Take note of a complete handshake.

        :param now: in seconds.
        """
        self.opened = now

    def next_wait(self, now: float) -> float:
        """Return the longest wait before the next attempt, in seconds.

        :param now: time at which the attempt has failed or the link ended.
        """
        opened = self.opened
        self.opened = None
        if opened is None:
            wait = self.delay
        else:
            has_lasted = now - opened >= REDIAL_CEILING
            wait = REDIAL_FLOOR if has_lasted else self.after_link
            self.after_link = min(wait * 2, REDIAL_CEILING)
        self.delay = min(wait * 2, REDIAL_CEILING)
        return wait
