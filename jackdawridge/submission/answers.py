"""Answers of jobs that have ended, kept for resubmissions."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.submission.documents import write_answer

if TYPE_CHECKING:
    from jackdawridge.submission.jobs import JobAnswer, Started


class KeptAnswer(NamedTuple):
    """An answer that a resubmission gets instead of a second run."""

    #: `complete` or `failed`.
    state: str
    started: Started
    #: The answer as JSON.
    body: bytes
    #: Of the body of the submission.
    digest: bytes
    #: Local time at which it is forgotten, in seconds.
    until: float


class AnswerBounds(NamedTuple):
    """How much is kept; the oldest answer is forgotten beyond it."""

    answers: int
    #: In seconds.
    retention: float
    #: Of all bodies together.
    size: int


class AnswerStore:
    """The answers that are kept, as callers get them.

    :param bounds: of what is kept.
    """

    def __init__(self, bounds: AnswerBounds) -> None:
        """Start empty."""
        self.bounds = bounds
        #: Bytes of all bodies together.
        self.size = 0
        #: By ticket, the oldest first.
        self.kept: OrderedDict[str, KeptAnswer] = OrderedDict()

    def keep(self, answer: JobAnswer, digest: bytes, now: float) -> KeptAnswer:
        """Keep an answer and return it.

        :param answer: of a job.
        :param digest: of the body of the submission.
        :param now: local time in seconds.
        """
        kept = KeptAnswer(
            answer.state,
            answer.started,
            write_answer(answer),
            digest,
            now + self.bounds.retention,
        )
        self.kept[answer.ticket] = kept
        self.size += len(kept.body)
        self.expire(now)
        return kept

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
            oldest.until < now
            or len(self.kept) > self.bounds.answers
            or self.size > self.bounds.size
        )
