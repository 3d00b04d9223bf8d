"""Answers of finished jobs, retained for resubmissions."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.submission.documents import write_answer
from jackdawridge.util.retained import RetainedAnswers

if TYPE_CHECKING:
    from jackdawridge.submission.jobs import JobAnswer, Started


class KeptAnswer(NamedTuple):
    """A retained answer, which a resubmission gets instead of a second run."""

    #: `complete` or `failed`.
    state: str
    started: Started
    #: The answer as JSON.
    body: bytes
    #: Digest of the body of the submission.
    digest: bytes
    #: Local time at which the answer expires, in seconds.
    until: float
    reason: str = ''
    #: Whether the job failed because one of its tasks can never succeed.
    is_final: bool = False


class AnswerStore(RetainedAnswers[KeptAnswer]):
    """Answers of jobs, encoded as callers receive them."""

    def keep(self, answer: JobAnswer, digest: bytes, now: float) -> KeptAnswer:
        """Store an answer and return it as it is retained.

        :param answer: answer of a job.
        :param digest: digest of the body of the submission.
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
