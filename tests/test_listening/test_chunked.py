"""Tests of the decoder of chunked bodies."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.web import http

from jackdawridge.listening.chunked import CHUNKS_PER_TURN, ChunkedDecoder

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

PIECES = (
    b'1\r\nx\r\n',
    b'00B\r\nhello world\r\n',
    b'2;a=b\r\nxy\r\n',
    b'0\r\n\r\n',
    b'0\r\nT: 1\r\n\r\n',
    b'0x1\r\ny\r\n',
    b'+1\r\ny\r\n',
    b'1_0\r\ny\r\n',
    b'5\r\n\r\n\r\nz\r\n',
    b'fffffff\r\n',
    b'1\r\nxy\r\n',
    b'\r\n',
    b'GET / HTTP/1.1',
)


class Outcome:
    """What a decoder made of a message that came in parts."""

    def __init__(
        self, make_decoder: Callable[..., http._ChunkedTransferDecoder]
    ) -> None:
        self.body: list[bytes] = []
        self.rest: list[bytes] = []
        self.is_malformed = False
        self.decoder = make_decoder(self.body.append, self.rest.append)

    def receive(self, parts: Sequence[bytes]) -> None:
        for part in parts:
            if self.rest or self.is_malformed:
                return
            self.decode(part)

    def decode(self, part: bytes) -> None:
        try:
            self.decoder.dataReceived(part)
        except http._MalformedChunkedDataError:
            self.is_malformed = True
            return
        while getattr(self.decoder, 'is_interrupted', False):
            self.decode(b'')

    def summary(self) -> tuple[bytes, list[bytes], bool]:
        return (b''.join(self.body), self.rest, self.is_malformed)


class TestChunkedDecoder:
    @given(
        st.lists(st.sampled_from(PIECES), max_size=12),
        st.integers(min_value=1, max_value=80),
    )
    def test_it_decodes_as_twisted_does(
        self, pieces: list[bytes], size: int
    ) -> None:
        message = b''.join(pieces)
        parts = [
            message[start : start + size]
            for start in range(0, len(message), size)
        ]
        ours, expected = (
            Outcome(ChunkedDecoder),
            Outcome(http._ChunkedTransferDecoder),
        )
        ours.receive(parts)
        expected.receive(parts)
        assert ours.summary() == expected.summary()

    @pytest.mark.parametrize('chunk', [b'1\r\nx\r\n', b'1;a\r\nx\r\n'])
    def test_number_of_chunks_at_a_time_is_limited(self, chunk: bytes) -> None:
        body: list[bytes] = []
        decoder = ChunkedDecoder(body.append, body.append)
        decoder.dataReceived(chunk * 3 * CHUNKS_PER_TURN)
        for turn in range(1, 4):
            assert len(b''.join(body)) == turn * CHUNKS_PER_TURN
            decoder.dataReceived(b'')
        assert not decoder.is_interrupted
