"""Tests of what a target says of itself."""

from __future__ import annotations

from jackdawridge.execution.messages import Room
from jackdawridge.execution.target import TargetNews, TargetRecord

ROOM = Room(64, 1000, 0, 0)


def news(
    incarnation: int, sequence: int, *, draining: bool = False
) -> TargetNews:
    return TargetNews('i-1', incarnation, 0, sequence, 'ledger', draining, ROOM)


class TestTargetRecord:
    def test_late_heartbeat_of_the_same_incarnation_is_passed_over(
        self,
    ) -> None:
        record = TargetRecord()
        assert record.take(news(1, 5, draining=True))
        assert not record.take(news(1, 4))
        assert record.current is not None
        assert record.current.draining

    def test_heartbeat_of_an_earlier_incarnation_is_passed_over(self) -> None:
        record = TargetRecord()
        record.take(news(2, 1))
        assert not record.take(news(1, 90))

    def test_counts_start_anew_with_an_incarnation(self) -> None:
        record = TargetRecord()
        record.take(news(1, 90))
        assert record.take(news(2, 1))

    def test_target_that_has_left_does_not_come_back(self) -> None:
        record = TargetRecord()
        record.take(news(1, 1))
        assert record.leave('i-1')
        assert not record.take(news(1, 2))
        assert record.take(news(2, 1))

    def test_only_the_current_target_leaves(self) -> None:
        record = TargetRecord()
        record.take(news(1, 1))
        assert not record.leave('i-2')
        assert record.current is not None
