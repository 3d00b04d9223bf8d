"""HTTP connections that count what they refuse."""

from __future__ import annotations

from typing import Any

from twisted.web.http import HTTPChannel

from jackdawridge.listening.refusals import Refusal

#: First lines of the answers with which requests are refused.
TOO_LARGE = b'HTTP/1.1 413 Content Too Large\r\n'
TIMED_OUT = b'HTTP/1.1 408 Request Timeout\r\n'
NO_MEMORY = b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n'

_CLOSING_HEADERS = (
    b'X-Jackdawridge-Outcome: not-run\r\n'
    b'Content-Length: 0\r\n'
    b'Connection: close\r\n'
    b'\r\n'
)


class RefusingChannel(HTTPChannel):
    """A connection whose refusals are counted by its listener."""

    def reject(self, kind: Refusal, status: bytes) -> None:
        """Answer with an error and close the connection.

        :param kind: why the connection is closed.
        :param status: the first lines of the answer, from the status line on.
        """
        self.count_refusal(kind)
        transport: Any = self.transport
        if transport is not None:
            transport.write(status + _CLOSING_HEADERS)
            self.loseConnection()

    def count_refusal(self, kind: Refusal) -> None:
        """Count a refusal of a request on this connection.

        :param kind: why it is refused.
        """
        self.factory.count_refusal(kind, str(self.getPeer()))

    def lineLengthExceeded(self, line: bytes) -> None:
        """Count a line that is too long, and close the connection.

        :param line: what has been received of it.
        """
        self.count_refusal(Refusal.malformed)
        self.loseConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:
        """Count a malformed request, which Twisted answers with 400."""
        self.count_refusal(Refusal.malformed)
        super()._respondToBadRequestAndDisconnect()
