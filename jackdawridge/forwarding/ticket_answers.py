"""Answers of requests under tickets: joined while open, kept for a while."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from jackdawridge.forwarding.messages import BODY_WINDOW_BYTES
from jackdawridge.util.retained import RetainedAnswers

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.forwarding.entry_effects import GiveUp
    from jackdawridge.forwarding.messages import Header, Response

#: Longest answer under a ticket, in bytes.
MAX_ANSWER_BYTES = 1048576

_BAD_GATEWAY = 502


class FinalAnswer(NamedTuple):
    """A whole answer."""

    status: int
    headers: tuple[Header, ...]
    body: bytes
    #: `not-run` or `unknown`; empty for an answer of the minion.
    outcome: str = ''
    #: Time after which it is worth asking again, in seconds; 0 if never.
    retry_after: float = 0


def error_answer(
    status: int, outcome: str, reason: str, retry_after: float = 0
) -> FinalAnswer:
    """Return an answer without a minion's response.

    :param status: of HTTP.
    :param outcome: `not-run` or `unknown`.
    :param reason: for the caller.
    :param retry_after: when to come back, in seconds; 0 if never.
    """
    body = msgspec.json.encode({'error': reason, 'outcome': outcome})
    return FinalAnswer(status, (), body, outcome, retry_after)


class AnswerCollector:
    """Gathers an answer until it is whole.

    :param finished: called once with the answer.
    """

    def __init__(self, finished: Callable[[FinalAnswer], None]) -> None:
        """Start without an answer."""
        self.finished = finished
        self.response: Response | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.grant: Callable[[int], None] | None = None

    def respond(self, response: Response, grant: Callable[[int], None]) -> None:
        """Begin the answer.

        :param response: with the first part of the body.
        :param grant: called with an offset to have more of the body sent.
        """
        self.response = response
        self.grant = grant
        self.write_body(response.body, response.last)

    def write_body(self, body: bytes, last: bool) -> None:
        """Take a part of the body.

        :param body: the part.
        :param last: whether it is the last one.
        """
        self.size += len(body)
        if self.size <= MAX_ANSWER_BYTES:
            self.parts.append(body)
        if last:
            self.finish()
        elif self.grant is not None:
            self.grant(self.size + BODY_WINDOW_BYTES)

    def finish(self) -> None:
        """Hand over the answer."""
        response = self.response
        if response is None:
            return
        if self.size > MAX_ANSWER_BYTES:
            reason = f'answer of {self.size} bytes is over {MAX_ANSWER_BYTES}'
            self.finished(error_answer(_BAD_GATEWAY, 'unknown', reason))
            return
        headers = tuple(
            header
            for header in response.headers
            if header.name.lower() != 'content-length'
        )
        self.finished(
            FinalAnswer(response.status, headers, b''.join(self.parts))
        )

    def give_up(self, effect: GiveUp) -> None:
        """Hand over that there is no answer.

        :param effect: says why.
        """
        error_reply = effect.error_reply
        self.finished(
            error_answer(
                error_reply.status,
                effect.outcome.value,
                error_reply.reason,
                error_reply.retry_after,
            )
        )

    def abort(self) -> None:
        """Hand over that the answer broke off."""
        reason = 'the answer broke off'
        self.finished(error_answer(_BAD_GATEWAY, 'unknown', reason))


class KeptAnswer(NamedTuple):
    """An answer with what it answers."""

    digest: bytes
    final: FinalAnswer
    #: When it is forgotten, in seconds.
    until: float

    @property
    def body(self) -> bytes:
        """Return the body of the answer."""
        return self.final.body


class KeptAnswers(RetainedAnswers[KeptAnswer]):
    """The answers of requests under tickets."""

    def keep(
        self, ticket: str, digest: bytes, final: FinalAnswer, now: float
    ) -> None:
        """Keep an answer.

        :param ticket: under which it was given.
        :param digest: of the request.
        :param final: the answer.
        :param now: in seconds.
        """
        self.add(
            ticket, KeptAnswer(digest, final, now + self.bounds.retention), now
        )
