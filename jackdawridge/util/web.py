"""What the handlers of web requests share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.defer import CancelledError

if TYPE_CHECKING:
    from logbook import Logger
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure


def has_left(logger: Logger, failure: Failure) -> bool:
    """Return whether a caller has gone; other failures get a line in the log.

    :param logger: of the resource.
    :param failure: that kept the caller from its answer.
    """
    if failure.check(CancelledError):
        return True
    logger.error(failure.getTraceback(), step='answer')
    return False


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
