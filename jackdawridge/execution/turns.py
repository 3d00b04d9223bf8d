"""The turns in which a side sends heartbeats to its entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

#: Moments in an interval at which heartbeats are sent.
TURNS = 5


class Turns:
    """Spreads the heartbeats to several entries over an interval.

    Each entry gets one in each interval, and the side hears some entry's
    word more often than that.

    :param interval: between two heartbeats to one entry, in seconds.
    """

    def __init__(self, interval: float) -> None:
        """Start without entries."""
        self.interval = interval
        #: When each entry is due, by incarnation.
        self.due: dict[str, float] = {}

    def join(self, incarnation: str, now: float) -> None:
        """Give an entry its turn within the next interval.

        :param incarnation: of an entry that was sent a heartbeat just now.
        :param now: the time in seconds.
        """
        position = len(self.due) % TURNS + 1
        self.due[incarnation] = now + self.interval * position / TURNS

    def take(self, linked: Collection[str], now: float) -> list[str]:
        """Return the entries that are due.

        :param linked: incarnations of the linked entries.
        :param now: the time in seconds.
        """
        self.due = {
            incarnation: self.due.get(incarnation, now)
            for incarnation in linked
        }
        # Half a turn of tolerance keeps late timers from missing a turn.
        horizon = now + self.interval / TURNS / 2
        due = [key for key, at in self.due.items() if at <= horizon]
        for key in due:
            following = self.due[key] + self.interval
            self.due[key] = max(following, now + self.interval / 2)
        return due
