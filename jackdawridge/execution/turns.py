"""The turns in which a side sends heartbeats to its entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

#: Even parts of an interval that entries get their turns in.
MAX_STAGGER_SLOTS = 5
#: Moments in an interval at which an entry takes heartbeats. Sides keep to
#: them, so that the entry wakes up once for several heartbeats.
COALESCING_POINTS = 20
#: Shortest time between two turns, in seconds. A side that beats more often
#: sends to several entries at a time: it wakes up for each turn and for the
#: answers, and there are far more sides than entries.
MIN_STAGGER_TIME = 0.1
#: Shortest time between two moments, in seconds: below it an entry would
#: hardly ever get two heartbeats at once.
MIN_COALESCING_TIME = 0.05


def moment_phase(interval: float, now: float) -> float:
    """Return the time since the last moment for heartbeats, in seconds.

    :param interval: between two heartbeats to one entry, in seconds.
    :param now: the time of the entry in seconds.
    """
    return now % (interval / COALESCING_POINTS)


class Turns:
    """Spreads the heartbeats to several entries over an interval.

    Each entry gets one in each interval, and the side hears some entry's
    word more often than that. Turns of a long interval move to the moments of
    each entry; those of a short one stay together.

    :param interval: between two heartbeats to one entry, in seconds.
    """

    def __init__(self, interval: float) -> None:
        """Start without entries."""
        self.interval = interval
        self.slots = min(
            MAX_STAGGER_SLOTS, max(int(interval / MIN_STAGGER_TIME), 1)
        )
        #: Time between two turns, in seconds.
        self.stagger_time = interval / self.slots
        self.coalescing_time = interval / COALESCING_POINTS
        self.coalesces = self.coalescing_time >= MIN_COALESCING_TIME
        #: When each entry is due, by incarnation.
        self.due: dict[str, float] = {}
        #: Window of the last heartbeat in turn, by incarnation.
        self.windows: dict[str, int] = {}

    def join(self, incarnation: str, now: float) -> None:
        """Give an entry its turn within the next interval.

        :param incarnation: of an entry that was sent a heartbeat just now.
        :param now: the time in seconds.
        """
        slot = len(self.due) % self.slots + 1
        start = now if self.coalesces else now - now % self.stagger_time
        self.due[incarnation] = start + self.stagger_time * slot

    def take(self, linked: Collection[str], now: float) -> list[str]:
        """Return the entries that are due.

        :param linked: incarnations of the linked entries.
        :param now: the time in seconds.
        """
        self.due = {
            incarnation: self.due.get(incarnation, now)
            for incarnation in linked
        }
        due = [key for key, at in self.due.items() if at <= now]
        for key in due:
            next_due = self.due[key] + self.interval
            self.due[key] = max(next_due, now + self.interval / 2)
        return due

    def wait(self, now: float) -> float:
        """Return the time until an entry may be due, at most an interval.

        :param now: the time in seconds.
        """
        next_due = min(self.due.values(), default=now + self.stagger_time)
        return min(max(next_due - now, 0), self.interval)

    def sent(self, incarnations: Collection[str], window: int) -> None:
        """Note the window of heartbeats that were sent in turn.

        :param incarnations: of the entries.
        :param window: number of the heartbeats.
        """
        kept = {
            key: number
            for key, number in self.windows.items()
            if key in self.due
        }
        self.windows = {**kept, **dict.fromkeys(incarnations, window)}

    def answered(self, incarnation: str, window: int, phase: float) -> None:
        """Move the turn of an entry to the nearest moment of the entry.

        :param incarnation: of the entry.
        :param window: of the heartbeat that is answered.
        :param phase: time from a moment to the heartbeat, in seconds.
        """
        if not self.coalesces or self.windows.get(incarnation) != window:
            return
        if not 0 <= phase < self.coalescing_time:
            return
        self.windows.pop(incarnation)
        is_early = phase > self.coalescing_time / 2
        self.due[incarnation] += (
            self.coalescing_time - phase if is_early else -phase
        )
