"""Requests whose body is handled line by line as it arrives."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.protocols.basic import LineOnlyReceiver
from twisted.web.server import Request

#: Content type of a body whose lines are handled as they arrive.
LINES_CONTENT_TYPE = 'application/x-ndjson'
#: Longest line of such a body, in bytes.
MAX_LINE_BYTES = 16777216


class LineHandler(Protocol):
    """Handles the lines of a request body."""

    @property
    def is_dead(self) -> bool:
        """Whether no request is answered."""

    def handle_line(self, line: bytes) -> None:
        """Handle a line."""


class LinesRequest(Request):
    """Passes the lines of a JSON-lines body on as they arrive."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Initialise as an ordinary request, whose body is buffered.

        :param args: the positional arguments of Twisted's `Request`.
        :param kwargs: the keyword arguments of Twisted's `Request`.
        """
        super().__init__(*args, **kwargs)
        self.receiver: LinesReceiver | None = None

    def gotLength(self, length: int | None) -> None:
        """Choose by content type whether to split the body into lines.

        :param length: the length of the body in bytes, None if unknown.
        """
        super().gotLength(length)
        content_types = self.requestHeaders.getRawHeaders('content-type', [''])
        if content_types[0] != LINES_CONTENT_TYPE:
            return
        channel: Any = self.channel
        stand_in = channel.site.stand_in
        if stand_in.is_dead:
            channel.abortConnection()
            return
        self.receiver = LinesReceiver(stand_in)
        self.receiver.makeConnection(channel.transport)

    def handleContentChunk(self, data: bytes) -> None:
        """Buffer a chunk of the body or pass it to the line receiver.

        :param data: the received chunk.
        """
        if self.receiver is None:
            super().handleContentChunk(data)
        else:
            self.receiver.dataReceived(data)


class LinesReceiver(LineOnlyReceiver):
    """Splits a body into lines.

    :param stand_in: the stand-in that handles the lines.
    """

    delimiter = b'\n'

    def __init__(self, stand_in: LineHandler) -> None:
        """Initialise with the limit of the line length."""
        self.MAX_LENGTH = MAX_LINE_BYTES  # noqa: WPS601
        self.stand_in = stand_in

    def lineReceived(self, line: bytes) -> None:
        """Pass a line to the stand-in.

        :param line: the line without its line end.
        """
        self.stand_in.handle_line(line)
