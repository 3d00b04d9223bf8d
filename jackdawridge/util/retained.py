"""Answers that are kept for resubmissions, the oldest forgotten first."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, NamedTuple, Protocol, TypeVar


class Retainable(Protocol):
    """An answer with the time up to which it is kept."""

    @property
    def body(self) -> bytes:
        """Return what takes the memory."""

    @property
    def until(self) -> float:
        """Return the local time at which it is forgotten, in seconds."""


AnswerT = TypeVar('AnswerT', bound=Retainable)


class RetentionBounds(NamedTuple):
    """How much is kept; the oldest answer is forgotten beyond it."""

    answers: int
    #: In seconds.
    retention: float
    #: Of all bodies together, in bytes.
    size: int


class RetainedAnswers(Generic[AnswerT]):
    """Answers by their ticket.

    :param bounds: of what is kept.
    """

    def __init__(self, bounds: RetentionBounds) -> None:
        """Start without answers."""
        self.bounds = bounds
        #: Bytes of all bodies together.
        self.size = 0
        #: By ticket, the oldest first.
        self.kept: OrderedDict[str, AnswerT] = OrderedDict()

    def add(self, ticket: str, answer: AnswerT, now: float) -> None:
        """Keep an answer, and forget others for it if need be.

        :param ticket: under which it was given.
        :param answer: to be kept.
        :param now: local time in seconds.
        """
        older = self.kept.pop(ticket, None)
        if older is not None:
            self.size -= len(older.body)
        self.kept[ticket] = answer
        self.size += len(answer.body)
        self.expire(now)

    def find(self, ticket: str, now: float) -> AnswerT | None:
        """Return an answer that is kept.

        :param ticket: under which it was given.
        :param now: local time in seconds.
        """
        self.expire(now)
        return self.kept.get(ticket)

    def expire(self, now: float) -> None:
        """Forget answers that are too old or too many.

        :param now: local time in seconds.
        """
        while self.kept and self.is_over(now):
            forgotten = self.kept.popitem(last=False)[1]
            self.size -= len(forgotten.body)

    def is_over(self, now: float) -> bool:
        """Return whether the oldest answer has to go.

        :param now: local time in seconds.
        """
        oldest = next(iter(self.kept.values()))
        return (
            oldest.until <= now
            or len(self.kept) > self.bounds.answers
            or self.size > self.bounds.size
        )
