"""Answers retained for resubmissions, evicted oldest first."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, NamedTuple, Protocol, TypeVar


class Retainable(Protocol):
    """An answer with an expiry time."""

    @property
    def body(self) -> bytes:
        """Return the body, whose size counts towards the limit."""

    @property
    def until(self) -> float:
        """Return the local time at which the answer expires, in seconds."""


AnswerT = TypeVar('AnswerT', bound=Retainable)


class RetentionBounds(NamedTuple):
    """Limits beyond which the oldest answers are evicted."""

    #: Maximum number of answers.
    max_answers: int
    #: Time for which an answer is retained, in seconds.
    retention: float
    #: Maximum total size of the bodies, in bytes.
    max_bytes: int


class RetainedAnswers(Generic[AnswerT]):
    """Retained answers by ticket.

    :param bounds: limits on what is retained.
    """

    def __init__(self, bounds: RetentionBounds) -> None:
        """Create an empty set of answers."""
        self.bounds = bounds
        #: Total size of the bodies, in bytes.
        self.size = 0
        #: Answers by ticket, oldest first.
        self.kept: OrderedDict[str, AnswerT] = OrderedDict()

    def add(self, ticket: str, answer: AnswerT, now: float) -> None:
        """Retain an answer and evict others beyond the limits.

        :param ticket: ticket of the job or request that was answered.
        :param answer: answer to retain, which replaces an earlier one.
        :param now: local time in seconds.
        """
        replaced = self.kept.pop(ticket, None)
        if replaced is not None:
            self.size -= len(replaced.body)
        self.kept[ticket] = answer
        self.size += len(answer.body)
        self.expire(now)

    def find(self, ticket: str, now: float) -> AnswerT | None:
        """Return the answer of a ticket, or None if it is not retained.

        :param ticket: ticket of the job or request.
        :param now: local time in seconds.
        """
        self.expire(now)
        return self.kept.get(ticket)

    def expire(self, now: float) -> None:
        """Evict expired answers and those beyond the limits.

        :param now: local time in seconds.
        """
        while self.kept and self.must_evict_oldest(now):
            evicted = self.kept.popitem(last=False)[1]
            self.size -= len(evicted.body)

    def must_evict_oldest(self, now: float) -> bool:
        """Return whether the oldest answer is expired or beyond a limit.

        :param now: local time in seconds.
        """
        oldest = next(iter(self.kept.values()))
        return (
            oldest.until <= now
            or len(self.kept) > self.bounds.max_answers
            or self.size > self.bounds.max_bytes
        )
