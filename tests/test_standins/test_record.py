"""Tests of the queries over the records of the stand-ins."""

from __future__ import annotations

import pytest

from jackdawridge.standins.messages import Record
from jackdawridge.standins.record import (
    count_starts,
    find_double_starts,
    find_late_starts,
    find_started_tasks,
)


def make_record(
    node: str, failure_domain: str, starts: dict[str, float]
) -> Record:
    return {
        'node': node,
        'failure_domain': failure_domain,
        'starts': [{'id': name, 'time': time} for name, time in starts.items()],
        'ends': [],
    }


RECORDS = [
    make_record('a', 'Soweto', {'t|0|1': 1, 't|1|2': 2}),
    make_record('b', 'Tembisa', {'t|0|3': 3, 'u|0|4': 4}),
]


class TestDoubleStarts:
    def test_found_across_workers_and_leases(self) -> None:
        double_starts = find_double_starts(RECORDS)
        assert len(double_starts) == 1
        double_start = double_starts[0]
        assert double_start.name == ('t', 0)
        assert [start.node for start in double_start.starts] == ['a', 'b']

    def test_found_within_one_lease(self) -> None:
        record = make_record('a', 'Soweto', {'t|0|1': 1})
        record['starts'] *= 2
        assert len(find_double_starts([record])) == 1

    def test_none_for_distinct_tasks(self) -> None:
        assert not find_double_starts(RECORDS[:1])

    def test_malformed_id_is_an_error(self) -> None:
        with pytest.raises(ValueError, match='unpack'):
            find_double_starts([make_record('a', '', {'t': 1})])


class TestLateStarts:
    def test_found_in_the_failure_domain_after_a_time(self) -> None:
        late = find_late_starts(RECORDS, 'Soweto', after=1)
        assert [start.name for start in late] == [('t', 1)]

    def test_starts_after_the_return_to_service_are_excluded(self) -> None:
        assert not find_late_starts(RECORDS, 'Soweto', after=1, before=2)


class TestCounts:
    def test_starts_are_counted(self) -> None:
        assert count_starts(RECORDS) == 4

    def test_started_tasks_are_found_by_ticket(self) -> None:
        assert find_started_tasks(RECORDS, 't') == {0, 1}
        assert find_started_tasks(RECORDS, 'v') == set()
