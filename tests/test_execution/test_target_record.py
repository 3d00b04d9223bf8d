"""Tests of the order of a target's heartbeats."""

from __future__ import annotations

from jackdawridge.execution.messages import Room
from jackdawridge.execution.target_record import TargetHeartbeat, TargetRecord

ROOM = Room(64, 1000, 0, 0)


def make_heartbeat(
    incarnation: int, sequence: int, *, draining: bool = False
) -> TargetHeartbeat:
    return TargetHeartbeat(
        'i-1', incarnation, 0, sequence, 'ledger', draining, ROOM
    )


class TestTargetRecord:
    def test_late_heartbeat_of_the_same_incarnation_is_ignored(
        self,
    ) -> None:
        record = TargetRecord()
        assert record.update(make_heartbeat(1, 5, draining=True))
        assert not record.update(make_heartbeat(1, 4))
        assert record.current is not None
        assert record.current.draining

    def test_heartbeat_of_an_earlier_incarnation_is_ignored(self) -> None:
        record = TargetRecord()
        record.update(make_heartbeat(2, 1))
        assert not record.update(make_heartbeat(1, 90))

    def test_sequence_restarts_with_an_incarnation(self) -> None:
        record = TargetRecord()
        record.update(make_heartbeat(1, 90))
        assert record.update(make_heartbeat(2, 1))

    def test_late_heartbeat_does_not_revive_a_left_target(self) -> None:
        record = TargetRecord()
        record.update(make_heartbeat(1, 1))
        assert record.mark_left('i-1')
        assert not record.update(make_heartbeat(1, 2))
        assert record.update(make_heartbeat(2, 1))

    def test_only_the_current_target_leaves(self) -> None:
        record = TargetRecord()
        record.update(make_heartbeat(1, 1))
        assert not record.mark_left('i-2')
        assert record.current is not None
