"""Helpers for handlers of HTTP requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol, TypeVar

import msgspec
from twisted.internet.defer import CancelledError

if TYPE_CHECKING:
    from collections.abc import Callable

    from logbook import Logger
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

AnswerT = TypeVar('AnswerT')


def write_json(request: WebRequest, document: object) -> bytes:
    """Set the content type of a response and return its body as JSON.

    :param request: request to respond to.
    :param document: value to encode as JSON.
    """
    request.setHeader('Content-Type', 'application/json')
    return msgspec.json.encode(document)


def write_deferred(
    logger: Logger,
    request: WebRequest,
    pending: Deferred[AnswerT],
    write_answer: Callable[[AnswerT], bytes],
    write_error: Callable[[], bytes],
) -> Deferred[bytes]:
    """Return a `Deferred` that fires with the body of a response.

    The answer is cancelled when the caller disconnects. Any other error is
    logged.

    :param logger: logger for errors.
    :param request: request to respond to.
    :param pending: fires with the answer.
    :param write_answer: returns the body of the response to an answer.
    :param write_error: returns the body of the response to an error.
    """

    def handle_failure(failure: Failure) -> bytes:  # noqa: WPS430
        if failure.check(CancelledError):
            return b''
        logger.error(failure.getTraceback(), step='answer')
        return write_error()

    request.notifyFinish().addErrback(lambda _: pending.cancel())
    return pending.addCallbacks(write_answer, handle_failure)


class WebRequest(Protocol):
    """An HTTP request, which Twisted's interfaces leave untyped."""

    method: bytes
    path: bytes
    #: File that holds the whole body.
    content: Any
    #: Values of the query parameters by name.
    args: dict[bytes, list[bytes]]

    def setHeader(self, name: str, value: str) -> None:
        """Set a header of the response."""

    def setResponseCode(self, code: int) -> None:
        """Set the status code of the response."""

    def notifyFinish(self) -> Deferred[None]:
        """Return a `Deferred` that fires when the response has been sent.

        It fails if the caller disconnects before.
        """
