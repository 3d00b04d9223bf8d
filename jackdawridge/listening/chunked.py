"""Decoder of chunked bodies that limits their cost."""

from __future__ import annotations

import string
from typing import TYPE_CHECKING

from twisted.web.http import _ChunkedTransferDecoder  # noqa: WPS450

if TYPE_CHECKING:
    from collections.abc import Callable

#: Number of chunks that are decoded at a time.
CHUNKS_PER_TURN = 256
#: Number of digits of the length of a chunk that are decoded here.
_MAX_LENGTH_DIGITS = 6
_HEXADECIMAL = 16
_DIGITS = string.hexdigits.encode()

_LINE_END = b'\r\n'
_LAST_LINE_END = b'\r\n\r\n'


class ChunkedDecoder(_ChunkedTransferDecoder):
    """Decodes some chunks at a time; drops trailers up to Twisted's limit.

    Twisted decodes all that it gets in one turn of the event loop, however
    small the chunks are. It keeps each trailer as an object of its own, which
    takes many times the size of a short one.

    :param on_data: called with each part of the body.
    :param on_end: called at the end with the bytes behind the body.
    """

    def __init__(
        self, on_data: Callable[[bytes], None], on_end: Callable[[bytes], None]
    ) -> None:
        """Start in front of the first chunk."""
        super().__init__(on_data, on_end)
        # Read by Twisted's parent class, too.
        self._start = 0
        #: Whether received chunks wait for another call of `dataReceived`.
        self.is_interrupted = False

    @property
    def buffered(self) -> int:
        """Number of received bytes that are not decoded yet."""
        return len(self._buffer)

    def dataReceived(self, data: bytes) -> None:
        """Decode up to `CHUNKS_PER_TURN` of the chunks received so far.

        :param data: what was received since, which may be empty.
        """
        self._buffer += data
        chunks = 0
        self.is_interrupted = False
        while self._buffer and not self.is_interrupted:
            if self.state == 'CHUNK_LENGTH':
                chunks += 1 + self.decode_whole_chunks(CHUNKS_PER_TURN - chunks)
                self.is_interrupted = chunks > CHUNKS_PER_TURN
            if not self.is_interrupted and not self.decode_next():
                return

    def decode_next(self) -> bool:
        """Decode the next part; return whether another may be there."""
        if not self._buffer:
            return False
        go_on: bool = getattr(self, f'_dataReceived_{self.state}')()
        return go_on

    def decode_whole_chunks(self, limit: int) -> int:
        """Decode chunks that are plain and complete; return their number.

        Twisted takes several times as long. It decodes what is left: the last
        chunk, chunks with extensions, and those of which only a part is there.

        :param limit: highest number of chunks.
        """
        received = self._buffer
        parts: list[bytearray] = []
        position = 0
        while len(parts) < limit:
            start, end = find_chunk(received, position)
            if start == end:
                break
            parts.append(received[start:end])
            position = end + len(_LINE_END)
        if parts:
            del self._buffer[:position]  # noqa: WPS420
            self._start = 0
            self.dataCallback(b''.join(parts))
        return len(parts)

    def _dataReceived_TRAILER(self) -> bool:  # noqa: N802
        """Drop complete trailers, then let Twisted look for the end."""
        if not self._buffer.startswith(_LINE_END):
            end = self._buffer.find(_LAST_LINE_END)
            if end < 0:
                end = self._buffer.rfind(_LINE_END)
            if end >= 0:
                dropped = end + len(_LINE_END)
                self._receivedTrailerHeadersSize += dropped
                del self._buffer[:dropped]  # noqa: WPS420
        return super()._dataReceived_TRAILER()


def find_chunk(received: bytearray, position: int) -> tuple[int, int]:
    """Return where the data of a chunk begin and end.

    Both are equal unless the chunk is complete, has data and no extension.

    :param received: a part of a body.
    :param position: start of the line with the length of the chunk.
    """
    line_end = received.find(
        _LINE_END, position, position + _MAX_LENGTH_DIGITS + len(_LINE_END)
    )
    digits = received[position : max(line_end, position)]
    # `int` would accept signs, spaces, underscores and a prefix, too.
    if not digits or digits.translate(None, _DIGITS):
        return (position, position)
    start = line_end + len(_LINE_END)
    end = start + int(digits, _HEXADECIMAL)
    is_complete = received.startswith(_LINE_END, end)
    return (start, end if is_complete else start)
