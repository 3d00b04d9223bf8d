"""Tests of the model of the log service."""

from __future__ import annotations

from jackdawridge.standins.log_state import LogState


def make_state(appends: int) -> LogState:
    state = LogState(0)
    for number in range(appends):
        state.append('s', b'%d' % number, number)
    return state


class TestStream:
    def test_read_from_an_offset(self) -> None:
        stream = make_state(5).streams['s']
        assert [record.body for record in stream.read(3, 9)] == [b'3', b'4']
        assert len(stream.read(0, 2)) == 2
        assert not stream.read(7, 9)

    def test_read_begins_at_the_oldest_retained_record(self) -> None:
        stream = make_state(5).streams['s']
        stream.trim(3)
        assert stream.first == 3
        assert [record.offset for record in stream.read(0, 9)] == [3, 4]

    def test_trimming_all_records_keeps_the_next_offset(self) -> None:
        stream = make_state(5).streams['s']
        stream.trim(9)
        assert (stream.first, stream.next) == (5, 5)


class TestRetention:
    def test_records_over_the_number_are_dropped(self) -> None:
        state = make_state(5)
        state.retention_records = 2
        state.expire(5)
        assert state.streams['s'].first == 3

    def test_records_over_the_age_are_dropped(self) -> None:
        state = make_state(5)
        state.retention_seconds = 2.5
        state.expire(5)
        assert state.streams['s'].first == 3


class TestRate:
    def test_appends_over_the_rate_are_refused(self) -> None:
        state = LogState(0)
        offsets = [state.append('s', b'0', 0) for _ in range(500)]
        assert offsets.count(None) == 100
        assert state.append('s', b'0', 1) == 400
