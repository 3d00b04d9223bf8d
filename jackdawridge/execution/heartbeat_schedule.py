"""Schedule of the heartbeats that a side sends to its entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

#: Largest number of slots into which an interval is divided; entries are
#: spread over the slots.
MAX_STAGGER_SLOTS = 5
#: Instants per interval at which an entry expects heartbeats. Sides align
#: their heartbeats to them, so that the entry wakes up once for several.
COALESCING_POINTS = 20
#: Shortest time between two slots, in seconds. With a shorter interval, a side
#: sends to several entries in one slot: it wakes up for each slot and for the
#: replies, and there are far more sides than entries.
MIN_STAGGER_TIME = 0.1
#: Shortest time between two coalescing instants, in seconds; with a shorter
#: one, an entry would rarely receive two heartbeats at one instant.
MIN_COALESCING_TIME = 0.05


def coalescing_phase(interval: float, now: float) -> float:
    """Return the time since the last coalescing instant, in seconds.

    :param interval: interval between heartbeats to one entry, in seconds.
    :param now: local time of the entry in seconds.
    """
    return now % (interval / COALESCING_POINTS)


class HeartbeatSchedule:
    """Spreads the heartbeats to several entries over an interval.

    Each entry gets one heartbeat per interval, so the side receives a reply
    from some entry more often than once per interval. With a long interval,
    heartbeats are aligned to the coalescing instants of each entry; with a
    short one, the slots are common to all entries.

    :param interval: interval between heartbeats to one entry, in seconds.
    """

    def __init__(self, interval: float) -> None:
        """Initialise the schedule without entries."""
        self.interval = interval
        self.slots = min(
            MAX_STAGGER_SLOTS, max(int(interval / MIN_STAGGER_TIME), 1)
        )
        #: Time between two slots, in seconds.
        self.stagger_time = interval / self.slots
        self.coalescing_time = interval / COALESCING_POINTS
        self.coalesces = self.coalescing_time >= MIN_COALESCING_TIME
        #: Time at which the next heartbeat of each entry is due, by
        #: incarnation.
        self.due: dict[str, float] = {}
        #: Send window of the last scheduled heartbeat, by incarnation; only
        #: the reply to that heartbeat moves the schedule.
        self.windows: dict[str, int] = {}

    def add_entry(self, incarnation: str, now: float) -> None:
        """Schedule the first heartbeat of an entry within the next interval.

        :param incarnation: incarnation of an entry that was just sent a
            heartbeat out of schedule.
        :param now: local time in seconds.
        """
        slot = len(self.due) % self.slots + 1
        start = now if self.coalesces else now - now % self.stagger_time
        self.due[incarnation] = start + self.stagger_time * slot

    def collect_due(self, linked: Collection[str], now: float) -> list[str]:
        """Return the entries that are due and schedule their next heartbeats.

        :param linked: incarnations of all linked entries; others are dropped
            from the schedule.
        :param now: local time in seconds.
        """
        self.due = {
            incarnation: self.due.get(incarnation, now)
            for incarnation in linked
        }
        due = [key for key, due_at in self.due.items() if due_at <= now]
        for key in due:
            next_due = self.due[key] + self.interval
            self.due[key] = max(next_due, now + self.interval / 2)
        return due

    def wait(self, now: float) -> float:
        """Return the time until an entry may be due, at most one interval.

        :param now: local time in seconds.
        """
        next_due = min(self.due.values(), default=now + self.stagger_time)
        return min(max(next_due - now, 0), self.interval)

    def record_sent(self, incarnations: Collection[str], window: int) -> None:
        """Record the send window of scheduled heartbeats.

        :param incarnations: incarnations of the entries they were sent to.
        :param window: send window that the heartbeats opened.
        """
        remaining = {
            key: number
            for key, number in self.windows.items()
            if key in self.due
        }
        self.windows = {**remaining, **dict.fromkeys(incarnations, window)}

    def align(self, incarnation: str, window: int, phase: float) -> None:
        """Align the schedule of an entry to its nearest coalescing instant.

        Replies to other than the last scheduled heartbeat, and phases out of
        range, are ignored.

        :param incarnation: incarnation of the entry.
        :param window: send window of the heartbeat that was answered.
        :param phase: time between the last coalescing instant and the arrival
            of the heartbeat, in seconds.
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
