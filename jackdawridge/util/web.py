"""What the handlers of web requests share."""

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
    """Return a document as the body of a response.

    :param request: of the caller.
    :param document: to be written.
    """
    request.setHeader('Content-Type', 'application/json')
    return msgspec.json.encode(document)


def write_later(
    logger: Logger,
    request: WebRequest,
    answered: Deferred[AnswerT],
    write: Callable[[AnswerT], bytes],
    fail: Callable[[], bytes],
) -> Deferred[bytes]:
    """Return the body of a response once there is an answer.

    The answer is cancelled when the caller goes; other errors get a line in
    the log.

    :param logger: of the resource.
    :param request: of the caller.
    :param answered: fires with the answer.
    :param write: writes the answer.
    :param fail: writes that an error kept the caller from it.
    """

    def failed(failure: Failure) -> bytes:  # noqa: WPS430
        if failure.check(CancelledError):
            return b''
        logger.error(failure.getTraceback(), step='answer')
        return fail()

    request.notifyFinish().addErrback(lambda _: answered.cancel())
    return answered.addCallbacks(write, failed)


class WebRequest(Protocol):
    """A request of HTTP, which the interfaces of Twisted leave untyped."""

    method: bytes
    path: bytes
    #: A file with the whole body.
    content: Any
    #: Texts of the query by name.
    args: dict[bytes, list[bytes]]

    def setHeader(self, name: str, value: str) -> None:
        """Set a header of the response."""

    def setResponseCode(self, code: int) -> None:
        """Set the status of the response."""

    def notifyFinish(self) -> Deferred[None]:
        """Return what fires at the end and fails if the caller goes."""
