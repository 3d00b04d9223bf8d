"""Answers of jobs that have ended, kept for resubmissions."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.submission.documents import write_answer
from jackdawridge.util.retained import RetainedAnswers

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
    reason: str = ''
    #: Whether the job has failed because a task of it can never succeed.
    is_final: bool = False


class AnswerStore(RetainedAnswers[KeptAnswer]):
    """The answers of jobs, as callers get them."""

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
            answer.reason,
            answer.is_final,
        )
        self.add(answer.ticket, kept, now)
        return kept
