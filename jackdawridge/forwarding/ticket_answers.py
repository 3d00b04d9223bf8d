"""Answers to ticketed requests: buffered while open, then retained."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from jackdawridge.forwarding.messages import BODY_WINDOW_BYTES
from jackdawridge.util.retained import RetainedAnswers

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.forwarding.entry_effects import GiveUp
    from jackdawridge.forwarding.messages import Header, Response

#: Longest answer to a ticketed request, in bytes.
MAX_ANSWER_BYTES = 1048576

_BAD_GATEWAY = 502


class FinalAnswer(NamedTuple):
    """Complete answer."""

    #: HTTP status code.
    status: int
    headers: tuple[Header, ...]
    body: bytes
    #: `not-run` or `unknown`; empty for a response of the minion.
    outcome: str = ''
    #: Delay after which the caller may retry, in seconds; 0 to state none.
    retry_after: float = 0


def error_answer(
    status: int, outcome: str, reason: str, retry_after: float = 0
) -> FinalAnswer:
    """Return an answer that reports an error.

    :param status: HTTP status code.
    :param outcome: whether the minion ran the request: `not-run` or
        `unknown`.
    :param reason: reason told to the caller.
    :param retry_after: delay in seconds after which the caller may retry,
        or 0 to send no `Retry-After` header.
    """
    body = msgspec.json.encode({'error': reason, 'outcome': outcome})
    return FinalAnswer(status, (), body, outcome, retry_after)


class AnswerCollector:
    """Buffers an answer until it is complete.

    :param finished: function called once with the complete answer.
    """

    def __init__(self, finished: Callable[[FinalAnswer], None]) -> None:
        """Initialise without a response."""
        self.finished = finished
        self.response: Response | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.grant: Callable[[int], None] | None = None

    def respond(self, response: Response, grant: Callable[[int], None]) -> None:
        """Handle the head of a response.

        :param response: response with the first part of the body.
        :param grant: function that grants credit up to an offset of the body.
        """
        self.response = response
        self.grant = grant
        self.write_body(response.body, response.last)

    def write_body(self, body: bytes, last: bool) -> None:
        """Buffer a part of the body.

        :param body: part of the body.
        :param last: whether it is the last part.
        """
        self.size += len(body)
        if self.size <= MAX_ANSWER_BYTES:
            self.parts.append(body)
        if last:
            self.finish()
        elif self.grant is not None:
            self.grant(self.size + BODY_WINDOW_BYTES)

    def finish(self) -> None:
        """Pass on the complete answer, or an error if it is too long."""
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
        """Pass on an error in place of a response.

        :param effect: error and whether the request may have run.
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
        """Pass on an error for a truncated response."""
        reason = 'response was cut off before its end'
        self.finished(error_answer(_BAD_GATEWAY, 'unknown', reason))


class KeptAnswer(NamedTuple):
    """Retained answer with the digest of its request."""

    digest: bytes
    final: FinalAnswer
    #: Local time at which it expires, in seconds.
    until: float

    @property
    def body(self) -> bytes:
        """Body of the answer."""
        return self.final.body


class KeptAnswers(RetainedAnswers[KeptAnswer]):
    """Answers to ticketed requests, retained for repeated requests."""

    def keep(
        self, ticket: str, digest: bytes, final: FinalAnswer, now: float
    ) -> None:
        """Retain an answer.

        :param ticket: ticket of the request.
        :param digest: digest of the request.
        :param final: complete answer.
        :param now: local time in seconds.
        """
        self.add(
            ticket, KeptAnswer(digest, final, now + self.bounds.retention), now
        )
