"""Exponential backoff between attempts to dial an address."""

from __future__ import annotations

#: Shortest and longest delay before an address is dialled again, in seconds.
MIN_REDIAL_DELAY = 0.1
MAX_REDIAL_DELAY = 3.0


class Backoff:
    """Doubles the delay after each failed attempt, up to a limit.

    Failed attempts and links that end soon after their handshake are backed
    off separately: once a link has opened, the time for which the peer was
    unreachable before says nothing about how soon to dial again.
    """

    def __init__(self) -> None:
        """Start at the shortest delay."""
        #: Delay after the next failed attempt, in seconds.
        self.failure_delay = MIN_REDIAL_DELAY
        #: Delay after the next link that ends soon, in seconds.
        self.short_link_delay = MIN_REDIAL_DELAY
        #: Time at which the handshake completed; None without a link.
        self.opened_at: float | None = None

    def link_opened(self, now: float) -> None:
        """Record that a handshake has completed.

        :param now: current time in seconds.
        """
        self.opened_at = now

    def next_delay(self, now: float) -> float:
        """Return the maximum delay before the next attempt, in seconds.

        :param now: time in seconds at which the attempt failed or the link
            ended.
        """
        opened_at = self.opened_at
        self.opened_at = None
        if opened_at is None:
            delay = self.failure_delay
        else:
            has_lasted = now - opened_at >= MAX_REDIAL_DELAY
            delay = MIN_REDIAL_DELAY if has_lasted else self.short_link_delay
            self.short_link_delay = min(delay * 2, MAX_REDIAL_DELAY)
        self.failure_delay = min(delay * 2, MAX_REDIAL_DELAY)
        return delay
