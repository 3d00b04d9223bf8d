"""Tests of log lines to a reader that may stop reading."""

from __future__ import annotations

import os
from collections.abc import Iterator

import pytest
from twisted.internet.task import Clock

from jackdawridge.util.line_writer import (
    BUFFER_BYTES,
    LINE_RATE,
    RETRY_TIME,
    LeftOut,
    LineWriter,
)

LINE = b'%s\n' % (b'x' * 999)
IMPORTANT = b'%s\n' % (b'y' * 999)
#: More lines than pipe and buffer hold.
MANY = 2 * BUFFER_BYTES // len(LINE)


def summarize(left_out: LeftOut) -> bytes:
    return f'left out {left_out.ordinary} {left_out.important}\n'.encode()


class Pipe:
    """A pipe with a writer at one end."""

    def __init__(self) -> None:
        reader, end = os.pipe()
        self.reader = reader
        self.end = end
        os.set_blocking(self.reader, False)
        self.clock = Clock()
        self.writer = LineWriter(self.end, summarize)
        self.writer.follow(self.clock)

    def read(self) -> bytes:
        """Read all that is there, with the turns in which it is written."""
        found = b''
        while True:
            try:
                part = os.read(self.reader, BUFFER_BYTES)
            except BlockingIOError:
                return found
            found += part
            self.clock.advance(RETRY_TIME)

    def close(self) -> None:
        os.close(self.reader)
        os.close(self.end)


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    opened = Pipe()
    yield opened
    opened.close()


class TestLineWriter:
    def test_lines_of_a_turn_are_written_in_order(self, pipe: Pipe) -> None:
        pipe.writer.write(b'one\n', is_important=False)
        pipe.writer.write(b'two\n', is_important=True)
        assert not pipe.read()
        pipe.clock.advance(0)
        assert pipe.read() == b'one\ntwo\n'

    def test_lines_outside_the_loop_are_written_at_once(
        self, pipe: Pipe
    ) -> None:
        pipe.writer.write(b'one\n', is_important=False)
        pipe.writer.finish()
        pipe.writer.write(b'two\n', is_important=False)
        assert pipe.read() == b'one\ntwo\n'

    def test_reader_that_stops_costs_bounded_memory(self, pipe: Pipe) -> None:
        for _ in range(MANY):
            pipe.writer.write(LINE, is_important=False)
            pipe.writer.write(IMPORTANT, is_important=True)
            pipe.clock.advance(RETRY_TIME)
        assert pipe.writer.size <= BUFFER_BYTES

    def test_what_was_left_out_is_said(self, pipe: Pipe) -> None:
        for _ in range(MANY):
            pipe.writer.write(LINE, is_important=False)
            pipe.clock.advance(RETRY_TIME)
        lines = pipe.read().splitlines(keepends=True)
        kept = lines.count(LINE)
        assert lines.count(f'left out {MANY - kept} 0\n'.encode()) == 1
        assert len(lines) == kept + 1

    def test_important_lines_are_left_out_last(self, pipe: Pipe) -> None:
        for _ in range(MANY):
            pipe.writer.write(LINE, is_important=False)
            pipe.clock.advance(RETRY_TIME)
        for _ in range(100):
            pipe.writer.write(IMPORTANT, is_important=True)
        assert pipe.writer.left_out.important == 0
        assert pipe.read().count(IMPORTANT) == 100

    def test_rate_of_ordinary_lines_is_bounded(self, pipe: Pipe) -> None:
        for _ in range(2 * LINE_RATE):
            pipe.writer.write(b'a\n', is_important=False)
        for _ in range(10):
            pipe.writer.write(b'b\n', is_important=True)
        pipe.clock.advance(0)
        text = pipe.read()
        assert text.count(b'a\n') == LINE_RATE
        assert text.count(b'b\n') == 10
        assert f'left out {LINE_RATE} 0\n'.encode() in text

    def test_reader_that_has_gone_changes_nothing(self, pipe: Pipe) -> None:
        os.close(pipe.reader)
        pipe.writer.write(LINE, is_important=True)
        pipe.clock.advance(0)
        assert not pipe.writer.size
        pipe.reader = os.dup(pipe.end)
