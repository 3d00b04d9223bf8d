"""How recently a process knew that no newer configuration exists.

No clock is shared. Each process measures from the moment at which it sent
the question that was answered, which is earlier than the moment at which the
answer was true.
"""

from __future__ import annotations

import math
from typing import NamedTuple

#: Sent questions and heartbeats that are remembered.
SENT_LIMIT = 64


class Answer(NamedTuple):
    """What another entry says about the log."""

    #: Its position.
    position: int
    #: Time since its last read that reached the end of the log, in seconds.
    log_age: float
    #: Whether the log did not answer its last read in time.
    failing: bool
    #: Whether it has ever known a current configuration.
    ready: bool


class Round:
    """One question to all other entries.

    :param number: identifies the round.
    :param sent_at: when the question was sent, in seconds.
    """

    def __init__(self, number: int, sent_at: float) -> None:
        """Start without answers."""
        self.number = number
        self.sent_at = sent_at
        #: Answers by the name of the entry.
        self.answers: dict[str, Answer] = {}

    def relayed_at(self, position: int) -> float:
        """Return the newest time at which the log had nothing newer.

        :param position: up to which this process knows the configuration.
        """
        times = [
            self.sent_at - answer.log_age
            for answer in self.answers.values()
            if answer.position <= position
        ]
        return max(times, default=-math.inf)

    def knows_state(self, position: int) -> bool:
        """Return whether the state of this process is that of a ready entry.

        :param position: up to which this process knows the configuration.
        """
        return any(
            answer.ready and answer.position <= position
            for answer in self.answers.values()
        )

    def agrees(self, position: int, known: frozenset[str]) -> bool:
        """Return whether the log is down for a majority that sees each other.

        :param position: up to which this process knows the configuration.
        :param known: names of the other entries that are known.
        """
        for answer in self.answers.values():
            if not answer.failing or answer.position > position:
                return False
        heard = len(known & set(self.answers)) + 1
        return heard * 2 > len(known) + 1


class EntryFreshness:
    """What an entry knows about the freshness of its configuration."""

    def __init__(self) -> None:
        """Start as not fresh."""
        #: When the last read that reached the end of the log was sent.
        self.confirmed_at = -math.inf
        #: The same, heard from other entries while the log does not answer.
        self.agreed_at = -math.inf
        #: Whether the log did not answer the last read in time.
        self.failing = False
        #: Whether the state was ever known to be current. A newcomer must
        #: not take its empty state for the last one in an outage.
        self.is_ready = False
        self.round = Round(0, -math.inf)

    def read_complete(self, sent_at: float) -> None:
        """Take note of a read after which nothing was left unread.

        :param sent_at: when it was sent, in seconds.
        """
        self.confirmed_at = max(self.confirmed_at, sent_at)
        self.is_ready = True

    def read_answered(self) -> None:
        """Take note that the log answers."""
        self.failing = False

    def read_failed(self) -> None:
        """Take note that the log refused a read or is late with it."""
        self.failing = True

    def begin_round(self, now: float) -> Round:
        """Return a new round of questions, which replaces the last one.

        :param now: in seconds.
        """
        self.round = Round(self.round.number + 1, now)
        return self.round

    def take_answer(self, number: int, name: str, answer: Answer) -> None:
        """Take an answer; one to an older round is dropped.

        :param number: of the round.
        :param name: of the entry that answers.
        :param answer: what it says.
        """
        if number == self.round.number:
            self.round.answers[name] = answer

    def conclude(self, position: int, known: frozenset[str]) -> None:
        """Draw what follows from the answers so far.

        :param position: up to which this entry knows the configuration.
        :param known: names of the other entries that are known.
        """
        current = self.round
        if current.knows_state(position):
            self.is_ready = True
        if not self.is_ready:
            return
        self.agreed_at = max(self.agreed_at, current.relayed_at(position))
        if self.failing and current.agrees(position, known):
            self.agreed_at = max(self.agreed_at, current.sent_at)

    def age(self, now: float) -> float:
        """Return for how long something newer may have existed.

        :param now: in seconds.
        """
        return now - max(self.confirmed_at, self.agreed_at)

    def log_age(self, now: float) -> float:
        """Return the time since the end of the log was reached.

        :param now: in seconds.
        """
        return now - self.confirmed_at


class SentHeartbeat(NamedTuple):
    """A heartbeat that may be answered yet."""

    sent_at: float
    #: Position of the side when it was sent.
    position: int


class SideFreshness:
    """What a side knows about the freshness of its configuration.

    :param bound: longest age at which the side still starts tasks.
    """

    def __init__(self, bound: float) -> None:
        """Start as not fresh."""
        self.bound = bound
        self.confirmed_at = -math.inf
        #: Heartbeats by their window number, the newest last.
        self.sent: dict[int, SentHeartbeat] = {}

    def heartbeat_sent(self, window: int, position: int, now: float) -> None:
        """Remember a heartbeat.

        :param window: its number.
        :param position: up to which this side knows the configuration.
        :param now: in seconds.
        """
        self.sent.setdefault(window, SentHeartbeat(now, position))
        while len(self.sent) > SENT_LIMIT:
            self.sent.pop(next(iter(self.sent)))

    def heartbeat_answered(
        self, window: int, entry_position: int, age: float, position: int
    ) -> None:
        """Take an entry's word; one that lags behind this side has none.

        :param window: of the heartbeat that is answered.
        :param entry_position: up to which the entry knows the configuration.
        :param age: for how long something newer may have existed.
        :param position: up to which this side knows the configuration.
        """
        heartbeat = self.sent.get(window)
        if heartbeat is None or math.isnan(age):
            return
        if heartbeat.position <= entry_position <= position:
            confirmed_at = heartbeat.sent_at - max(age, 0)
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def age(self, now: float) -> float:
        """Return for how long something newer may have existed.

        :param now: in seconds.
        """
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the side may start tasks.

        :param now: in seconds.
        """
        return self.age(now) <= self.bound
