"""Exponential backoff between attempts to dial an address."""

from __future__ import annotations

#: Shortest and longest delay before an address is dialled again, in seconds.
MIN_REDIAL_DELAY = 0.1
MAX_REDIAL_DELAY = 3.0
#: Time in seconds from the first failed attempt in which the delay stays short:
#: the peer may be starting, and after a loss of power all processes are.
QUICK_REDIAL_TIME = 3.0
#: Longest delay in that time, in seconds.
QUICK_REDIAL_DELAY = 0.2
#: Longest time in which a connection is awaited then, in seconds. A packet that
#: reaches a VM without power is lost, and TCP repeats it only after a second.
QUICK_CONNECT_TIMEOUT = 0.3
#: The same later.
CONNECT_TIMEOUT = 3.0


class Backoff:
    """Doubles the delay after each failed attempt, up to a limit.

    The limit is low within `QUICK_REDIAL_TIME` of the first failure.
    Failed attempts and links that end soon after their handshake are backed
    off separately: once a link has opened, the time for which the peer was
    unreachable before says nothing about how soon to dial again.
    """

    def __init__(self) -> None:
        """Start at the shortest delay."""
        #: Delay after the next failed attempt, in seconds.
        self.failure_delay = MIN_REDIAL_DELAY
        #: Time of the first failed attempt since the last link; None without
        #: one.
        self.failing_since: float | None = None
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
            if self.failing_since is None:
                self.failing_since = now
        else:
            self.failing_since = now
            has_lasted = now - opened_at >= MAX_REDIAL_DELAY
            delay = MIN_REDIAL_DELAY if has_lasted else self.short_link_delay
            self.short_link_delay = min(delay * 2, MAX_REDIAL_DELAY)
        limit = QUICK_REDIAL_DELAY if self.is_quick(now) else MAX_REDIAL_DELAY
        self.failure_delay = min(delay * 2, limit)
        return delay

    def connect_timeout(self, now: float) -> float:
        """Return the time for which to await a connection, in seconds.

        :param now: current time in seconds.
        """
        return QUICK_CONNECT_TIMEOUT if self.is_quick(now) else CONNECT_TIMEOUT

    def is_quick(self, now: float) -> bool:
        """Return whether the peer may be starting just now.

        :param now: current time in seconds.
        """
        return (
            self.failing_since is None
            or now - self.failing_since < QUICK_REDIAL_TIME
        )
