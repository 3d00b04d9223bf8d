"""Bounds on the age of the configuration known to a process.

The age is the time for which a newer configuration may have existed. Clocks
are not shared between processes. Each process therefore measures from the
time at which it sent the request, which is earlier than the time at which the
content of the reply was true.
"""

from __future__ import annotations

import math
from typing import NamedTuple

#: Maximum number of sent heartbeats that are kept for their replies.
MAX_SENT_HEARTBEATS = 64


class LogReport(NamedTuple):
    """What another entry reports about its access to the log."""

    #: Offset up to which the entry knows the configuration.
    position: int
    #: Time since its last read that reached the end of the log, in seconds.
    log_age: float
    #: Whether its last read failed or is late.
    failing: bool
    #: Whether its configuration was ever known to be current.
    ready: bool


class PollRound:
    """One request to all other entries, with their reports.

    :param number: identifies the round.
    :param sent_at: time at which the request was sent, in seconds.
    """

    def __init__(self, number: int, sent_at: float) -> None:
        """Initialize without reports."""
        self.number = number
        self.sent_at = sent_at
        #: Reports by the name of the entry.
        self.reports: dict[str, LogReport] = {}

    def latest_confirmed_at(self, position: int) -> float:
        """Return the latest time at which an entry had read the log to its end.

        Only entries that know nothing newer than this process count. The result
        is minus infinity if there are none.

        :param position: offset up to which this process knows the state.
        """
        times = [
            self.sent_at - report.log_age
            for report in self.reports.values()
            if report.position <= position
        ]
        return max(times, default=-math.inf)

    def includes_ready_state(self, position: int) -> bool:
        """Return whether this process has all that some ready entry knows.

        :param position: offset up to which this process knows the state.
        """
        return any(
            report.ready and report.position <= position
            for report in self.reports.values()
        )

    def majority_reports_outage(
        self, position: int, known: frozenset[str]
    ) -> bool:
        """Return whether the log fails for a majority that is connected.

        An entry whose log does not fail, or that knows a newer state, rules out
        the outage.

        :param position: offset up to which this process knows the state.
        :param known: names of the known other entries.
        """
        for report in self.reports.values():
            if not report.failing or report.position > position:
                return False
        reporting = len(known & set(self.reports)) + 1
        return reporting * 2 > len(known) + 1


class EntryFreshness:
    """Tracks how current the configuration of an entry is."""

    def __init__(self) -> None:
        """Initialize as never confirmed."""
        #: Time at which the last read that reached the end of the log was
        #: sent.
        self.confirmed_at = -math.inf
        #: Time as of which the reports of other entries confirm the
        #: configuration while the log does not answer.
        self.peer_confirmed_at = -math.inf
        #: Whether the last read failed or is late.
        self.failing = False
        #: Whether the state was ever known to be current. In an outage, a
        #: newly started entry must not treat its empty state as current.
        self.is_ready = False
        self.round = PollRound(0, -math.inf)

    def read_complete(self, sent_at: float) -> None:
        """Record a read that reached the end of the log.

        :param sent_at: time at which the read was sent, in seconds.
        """
        self.confirmed_at = max(self.confirmed_at, sent_at)
        self.is_ready = True

    def read_answered(self) -> None:
        """Record that the log answered a read."""
        self.failing = False

    def read_failed(self) -> None:
        """Record that a read failed or that its answer is late."""
        self.failing = True

    def start_round(self, now: float) -> PollRound:
        """Return a new polling round, which replaces the previous one.

        :param now: current time in seconds.
        """
        self.round = PollRound(self.round.number + 1, now)
        return self.round

    def add_report(self, number: int, name: str, report: LogReport) -> None:
        """Add a report to the current round; one for an older round is dropped.

        :param number: the round that the report belongs to.
        :param name: name of the reporting entry.
        :param report: its content.
        """
        if number == self.round.number:
            self.round.reports[name] = report

    def evaluate_round(self, position: int, known: frozenset[str]) -> None:
        """Update the freshness from the reports received so far.

        :param position: offset up to which this entry knows the configuration.
        :param known: names of the known other entries.
        """
        current = self.round
        if current.includes_ready_state(position):
            self.is_ready = True
        if not self.is_ready:
            return
        self.peer_confirmed_at = max(
            self.peer_confirmed_at, current.latest_confirmed_at(position)
        )
        if self.failing and current.majority_reports_outage(position, known):
            self.peer_confirmed_at = max(
                self.peer_confirmed_at, current.sent_at
            )

    def age(self, now: float) -> float:
        """Return for how many seconds a newer state may have existed.

        :param now: current time in seconds.
        """
        return now - max(self.confirmed_at, self.peer_confirmed_at)

    def log_age(self, now: float) -> float:
        """Return the seconds since the log was last read to its end.

        :param now: current time in seconds.
        """
        return now - self.confirmed_at


class SentHeartbeat(NamedTuple):
    """A heartbeat to which replies may still arrive."""

    sent_at: float
    #: Position of the side when the heartbeat was sent.
    position: int


class SideFreshness:
    """Tracks how current the configuration of a side is.

    :param max_age: highest age at which tasks may start, in seconds.
    """

    def __init__(self, max_age: float) -> None:
        """Initialize as never confirmed."""
        self.max_age = max_age
        self.confirmed_at = -math.inf
        #: Sent heartbeats by their window number, the newest last.
        self.heartbeats: dict[int, SentHeartbeat] = {}

    def heartbeat_sent(self, window: int, position: int, now: float) -> None:
        """Record a heartbeat that is about to be sent.

        :param window: window number of the heartbeat.
        :param position: offset up to which this side knows the configuration.
        :param now: current time in seconds.
        """
        self.heartbeats.setdefault(window, SentHeartbeat(now, position))
        while len(self.heartbeats) > MAX_SENT_HEARTBEATS:
            self.heartbeats.pop(next(iter(self.heartbeats)))

    def heartbeat_answered(
        self, window: int, entry_position: int, age: float, position: int
    ) -> None:
        """Apply the age that an entry reports in reply to a heartbeat.

        The reply is ignored if the entry knows less than this side did when it
        sent the heartbeat, or more than this side knows now.

        :param window: window number of the heartbeat.
        :param entry_position: offset up to which the entry knows the state.
        :param age: age of the entry's configuration in seconds.
        :param position: offset up to which this side knows the state.
        """
        heartbeat = self.heartbeats.get(window)
        if heartbeat is None or math.isnan(age):
            return
        if heartbeat.position <= entry_position <= position:
            confirmed_at = heartbeat.sent_at - max(age, 0)
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def age(self, now: float) -> float:
        """Return for how many seconds a newer state may have existed.

        :param now: current time in seconds.
        """
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the configuration is current enough to start tasks.

        :param now: current time in seconds.
        """
        return self.age(now) <= self.max_age
