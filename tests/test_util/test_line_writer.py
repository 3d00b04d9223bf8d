"""Tests of log lines written to a reader that may stall."""

from __future__ import annotations

import os
from collections.abc import Iterator

import pytest
from twisted.internet.task import Clock

from jackdawridge.util.line_writer import (
    MAX_BUFFER_BYTES,
    MAX_IMPORTANT_LINES_PER_SECOND,
    MAX_LINES_PER_SECOND,
    RETRY_DELAY,
    DroppedLines,
    LineWriter,
)

LINE = b'%s\n' % (b'x' * 999)
IMPORTANT = b'%s\n' % (b'y' * 999)
#: Number of lines that the pipe and the buffer together cannot hold.
TOO_MANY = 2 * MAX_BUFFER_BYTES // len(LINE)


def format_report(dropped: DroppedLines) -> bytes:
    return f'dropped {dropped.ordinary} {dropped.important}\n'.encode()


class Pipe:
    """A pipe whose write end has a line writer with a fake clock."""

    def __init__(self) -> None:
        reader, write_end = os.pipe()
        self.reader = reader
        self.write_end = write_end
        os.set_blocking(self.reader, False)
        self.clock = Clock()
        self.writer = LineWriter(self.write_end, format_report)
        self.writer.start_buffering(self.clock)

    def read(self) -> bytes:
        """Read until the pipe is empty, letting the writer retry meanwhile."""
        received = b''
        while True:
            try:
                part = os.read(self.reader, MAX_BUFFER_BYTES)
            except BlockingIOError:
                return received
            received += part
            self.clock.advance(RETRY_DELAY)

    def close(self) -> None:
        os.close(self.reader)
        os.close(self.write_end)


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

    def test_lines_are_written_immediately_without_a_reactor(
        self, pipe: Pipe
    ) -> None:
        pipe.writer.write(b'one\n', is_important=False)
        pipe.writer.stop_buffering()
        pipe.writer.write(b'two\n', is_important=False)
        assert pipe.read() == b'one\ntwo\n'

    def test_buffer_is_bounded_while_the_reader_stalls(
        self, pipe: Pipe
    ) -> None:
        for _ in range(TOO_MANY):
            pipe.writer.write(LINE, is_important=False)
            pipe.writer.write(IMPORTANT, is_important=True)
            pipe.clock.advance(RETRY_DELAY)
        assert pipe.writer.size <= MAX_BUFFER_BYTES

    def test_dropped_lines_are_reported(self, pipe: Pipe) -> None:
        for _ in range(TOO_MANY):
            pipe.writer.write(LINE, is_important=False)
            pipe.clock.advance(RETRY_DELAY)
        lines = pipe.read().splitlines(keepends=True)
        written = lines.count(LINE)
        assert lines.count(f'dropped {TOO_MANY - written} 0\n'.encode()) == 1
        assert len(lines) == written + 1

    def test_important_lines_are_dropped_last(self, pipe: Pipe) -> None:
        for _ in range(TOO_MANY):
            pipe.writer.write(LINE, is_important=False)
            pipe.clock.advance(RETRY_DELAY)
        for _ in range(100):
            pipe.writer.write(IMPORTANT, is_important=True)
        assert pipe.writer.dropped.important == 0
        assert pipe.read().count(IMPORTANT) == 100

    def test_rate_of_ordinary_lines_is_limited(self, pipe: Pipe) -> None:
        for _ in range(2 * MAX_LINES_PER_SECOND):
            pipe.writer.write(b'a\n', is_important=False)
        for _ in range(10):
            pipe.writer.write(b'b\n', is_important=True)
        pipe.clock.advance(0)
        text = pipe.read()
        assert text.count(b'a\n') == MAX_LINES_PER_SECOND
        assert text.count(b'b\n') == 10
        assert f'dropped {MAX_LINES_PER_SECOND} 0\n'.encode() in text

    def test_rate_of_important_lines_is_limited(self, pipe: Pipe) -> None:
        for _ in range(2 * MAX_IMPORTANT_LINES_PER_SECOND):
            pipe.writer.write(b'b\n', is_important=True)
        pipe.writer.write(b'a\n', is_important=False)
        pipe.clock.advance(0)
        text = pipe.read()
        assert text.count(b'b\n') == MAX_IMPORTANT_LINES_PER_SECOND
        assert text.count(b'a\n') == 1
        assert f'dropped 0 {MAX_IMPORTANT_LINES_PER_SECOND}\n'.encode() in text

    def test_lines_are_discarded_once_the_reader_has_closed(
        self, pipe: Pipe
    ) -> None:
        os.close(pipe.reader)
        pipe.writer.write(LINE, is_important=True)
        pipe.clock.advance(0)
        assert not pipe.writer.size
        pipe.reader = os.dup(pipe.write_end)
