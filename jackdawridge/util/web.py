"""The part of a Twisted web request that handlers use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred


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
