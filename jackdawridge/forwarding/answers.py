"""HTTP answers to callers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgspec

from jackdawridge.forwarding.messages import BODY_WINDOW_BYTES

if TYPE_CHECKING:
    from jackdawridge.forwarding.entry_effects import GiveUp
    from jackdawridge.forwarding.messages import Response
    from jackdawridge.forwarding.ticket_answers import FinalAnswer

#: Header that tells the caller whether an unanswered request may have run.
OUTCOME_HEADER = 'X-Jackdawridge-Outcome'
#: Statuses whose responses have no body.
BODILESS_STATUSES = frozenset((204, 304))


def write_refusal(
    request: Any, status: int, outcome: str, message: str, retry_after: float
) -> None:
    """Answer a request with an error and finish it.

    :param request: Twisted request.
    :param status: HTTP status code.
    :param outcome: whether the minion ran the request: `not-run` or
        `unknown`.
    :param message: reason for the error.
    :param retry_after: delay in seconds after which the caller may retry,
        or 0 to send no `Retry-After` header.
    """
    body = msgspec.json.encode({'error': message, 'outcome': outcome})
    request.setResponseCode(status)
    request.setHeader('Content-Type', 'application/json')
    request.setHeader('Content-Length', str(len(body)))
    request.setHeader(OUTCOME_HEADER, outcome)
    if retry_after:
        request.setHeader('Retry-After', str(max(math.ceil(retry_after), 1)))
    request.write(body)
    request.finish()


def write_answer(request: Any, final: FinalAnswer) -> None:
    """Write the answer to a ticketed request and finish it.

    :param request: Twisted request.
    :param final: complete answer.
    """
    request.setResponseCode(final.status)
    for name, value in final.headers:
        request.responseHeaders.addRawHeader(
            name.encode('latin-1'), value.encode('latin-1')
        )
    if final.outcome:
        request.setHeader('Content-Type', 'application/json')
        request.setHeader(OUTCOME_HEADER, final.outcome)
    if final.retry_after:
        seconds = max(math.ceil(final.retry_after), 1)
        request.setHeader('Retry-After', str(seconds))
    if final.status not in BODILESS_STATUSES:
        request.setHeader('Content-Length', str(len(final.body)))
        request.write(final.body)
    request.finish()


class CallerAnswer:
    """Writes the answer to one caller with flow control.

    The side is granted credit for more of the body only while the caller
    reads.

    :param request: Twisted request.
    :param request_id: id of the request, sent to the caller in
        `X-Request-Id`.
    """

    def __init__(self, request: Any, request_id: str) -> None:
        """Initialise without a response."""
        self.request = request
        self.request_id = request_id
        self.disconnected = False
        #: Number of bytes of the body that were received from the side.
        self.received = 0
        #: Offset of the body up to which the side may send.
        self.credit = BODY_WINDOW_BYTES
        self.paused = False
        self.grant: Any = None

    def respond(self, response: Response, grant: Any) -> None:
        """Write the head and the first part of the body.

        :param response: response of the minion with the first part of the
            body.
        :param grant: function that grants credit up to an offset of the body.
        """
        if self.disconnected:
            return
        self.request.setResponseCode(response.status)
        for name, value in response.headers:
            self.request.responseHeaders.addRawHeader(
                name.encode('latin-1'), value.encode('latin-1')
            )
        self.request.setHeader('X-Request-Id', self.request_id)
        if response.last:
            self.set_length(response)
        else:
            self.grant = grant
            self.request.registerProducer(self, True)
        self.write_body(response.body, response.last)

    def set_length(self, response: Response) -> None:
        """Set the `Content-Length` header for a response in one part.

        :param response: response with its whole body.
        """
        has_body = response.status not in BODILESS_STATUSES
        if has_body and self.request.method != b'HEAD':
            self.request.setHeader('Content-Length', str(len(response.body)))

    def write_body(self, body: bytes, last: bool) -> None:
        """Write a part of the body.

        :param body: part of the body.
        :param last: whether it is the last part.
        """
        if self.disconnected:
            return
        self.received += len(body)
        if body:
            self.request.write(body)
        if last:
            if self.grant is not None:
                self.request.unregisterProducer()
            self.request.finish()
        else:
            self.extend_credit()

    def extend_credit(self) -> None:
        """Grant the side more credit once half of the window is used up."""
        left = self.credit - self.received
        if self.paused or self.disconnected or left > BODY_WINDOW_BYTES / 2:
            return
        self.credit = self.received + BODY_WINDOW_BYTES
        self.grant(self.credit)

    def pauseProducing(self) -> None:
        """Grant no more credit while the caller does not read."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Grant credit again once the caller reads."""
        self.paused = False
        self.extend_credit()

    def stopProducing(self) -> None:
        """Ignore the disconnect, which `notifyFinish` reports as well."""

    def give_up(self, effect: GiveUp) -> None:
        """Answer with an error in place of a response.

        :param effect: error and whether the request may have run.
        """
        if not self.disconnected:
            error_reply = effect.error_reply
            self.request.setHeader('X-Request-Id', self.request_id)
            write_refusal(
                self.request,
                error_reply.status,
                effect.outcome.value,
                error_reply.reason,
                error_reply.retry_after,
            )

    def abort(self) -> None:
        """Abort the connection, so that the caller sees a truncated answer."""
        if not self.disconnected:
            self.request.transport.abortConnection()
