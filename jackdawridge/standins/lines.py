"""Requests whose body is taken line by line as it arrives."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.protocols.basic import LineOnlyReceiver
from twisted.web.server import Request

#: Type of a body whose lines are taken as they arrive.
LINES_TYPE = 'application/x-ndjson'
#: Longest line of such a body, in bytes.
MAX_LINE_BYTES = 16777216


class LineTaker(Protocol):
    """Takes the lines of requests."""

    @property
    def is_dead(self) -> bool:
        """Whether it answers nobody."""

    def take_line(self, line: bytes) -> None:
        """Act on a line."""


class LinesRequest(Request):
    """Hands on the lines of a body of JSON lines as they arrive."""

    def __init__(self, *args: Any, **names: Any) -> None:
        """Begin as a request of one document.

        :param args: of Twisted.
        :param names: of Twisted.
        """
        super().__init__(*args, **names)
        self.receiver: LinesReceiver | None = None

    def gotLength(self, length: int | None) -> None:
        """Choose how the body is taken.

        :param length: of the body, None if it is not known.
        """
        super().gotLength(length)
        kinds = self.requestHeaders.getRawHeaders('content-type', [''])
        if kinds[0] != LINES_TYPE:
            return
        channel: Any = self.channel
        stand_in = channel.site.stand_in
        if stand_in.is_dead:
            channel.abortConnection()
            return
        self.receiver = LinesReceiver(stand_in)
        self.receiver.makeConnection(channel.transport)

    def handleContentChunk(self, data: bytes) -> None:
        """Take a part of the body.

        :param data: as it has arrived.
        """
        if self.receiver is None:
            super().handleContentChunk(data)
        else:
            self.receiver.dataReceived(data)


class LinesReceiver(LineOnlyReceiver):
    """Splits a body into lines.

    :param stand_in: takes the lines.
    """

    delimiter = b'\n'

    def __init__(self, stand_in: LineTaker) -> None:
        """Keep the stand-in."""
        self.MAX_LENGTH = MAX_LINE_BYTES  # noqa: WPS601
        self.stand_in = stand_in

    def lineReceived(self, line: bytes) -> None:
        """Pass a line on.

        :param line: without its end.
        """
        self.stand_in.take_line(line)
