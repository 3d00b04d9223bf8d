"""Tests of a side that opens and closes by its target's heartbeats."""

from __future__ import annotations

from jackdawridge.execution.leased_target import OtherIncarnationError
from jackdawridge.execution.messages import Room
from jackdawridge.execution.run_table import TOKEN_STEP
from tests.test_platform.leased_world import LeasedWorld


class TestTargetMonitor:
    def test_side_opens_once_its_target_is_taken_over(self) -> None:
        world = LeasedWorld()
        assert [side.execution.state.closed_reason for side in world.sides] == [
            '',
            '',
        ]

    def test_draining_target_gets_no_task_from_now_on(self) -> None:
        world = LeasedWorld()
        target = world.targets[0]
        world.sides[0].monitor.heartbeat_received(
            target.heartbeat(draining=True)
        )
        world.submit(0, 4)
        world.run(0.5)
        assert not target.history
        assert len(world.targets[1].history) == 4

    def test_late_heartbeat_does_not_open_a_draining_target(self) -> None:
        world = LeasedWorld()
        target = world.targets[0]
        earlier = target.heartbeat()
        world.sides[0].monitor.heartbeat_received(
            target.heartbeat(draining=True)
        )
        world.sides[0].monitor.heartbeat_received(earlier)
        assert (
            world.sides[0].execution.state.closed_reason == 'target is leaving'
        )

    def test_target_that_has_left_gets_no_task(self) -> None:
        world = LeasedWorld()
        world.sides[0].monitor.target_left('target')
        world.submit(0, 4)
        world.run(0.5)
        assert not world.targets[0].history

    def test_heartbeat_restores_a_target_that_seemed_replaced(self) -> None:
        world = LeasedWorld()
        side = world.sides[0]
        side.keeper.call_failed(OtherIncarnationError('other'))
        assert side.execution.state.closed_reason
        side.monitor.heartbeat_received(world.targets[0].heartbeat())
        world.run(0.5)
        assert side.execution.state.closed_reason == ''

    def test_incarnation_that_a_report_has_shown_is_not_joined_again(
        self,
    ) -> None:
        """The first heartbeat after a restart stopped all tasks there."""
        world = LeasedWorld()
        target = world.targets[0]
        side = world.sides[0]
        target.restart()
        world.run(0.5)
        assert side.keeper.table.incarnation == target.incarnation
        world.sides[1].monitor.target_left('target')
        world.submit(0, 2)
        world.run(0.1)
        running = dict(target.running)
        assert running
        side.monitor.heartbeat_received(target.heartbeat())
        world.run(0.1)
        assert target.running == running
        assert side.execution.state.closed_reason == ''

    def test_heartbeat_of_another_writer_changes_nothing(self) -> None:
        """Its side reported living runs as lost, and used no target again."""
        world = LeasedWorld()
        target = world.targets[0]
        side = world.sides[0]
        world.sides[1].monitor.target_left('target')
        world.submit(0, 2)
        world.run(0.1)
        running = dict(target.running)
        assert running
        own = target.heartbeat()
        side.monitor.heartbeat_received(
            own._replace(
                id='foreign', service='unknown', incarnation=own.incarnation + 5
            )
        )
        world.run(0.1)
        assert target.running == running
        world.run(1)
        assert len(target.history) == 2
        side.monitor.heartbeat_received(target.heartbeat(draining=True))
        assert side.execution.state.closed_reason == 'target is leaving'

    def test_heartbeat_with_a_foreign_service_changes_nothing(self) -> None:
        """A side announced whatever service a heartbeat of its target named."""
        world = LeasedWorld()
        target = world.targets[0]
        side = world.sides[0]
        service = side.peers.introduction.service
        side.monitor.heartbeat_received(
            target.heartbeat()._replace(
                service='unknown', room=Room(1, 1, 0, 0)
            )
        )
        assert side.peers.introduction.service == service
        assert side.execution.state.room.free.cores > 1

    def test_late_heartbeat_of_an_earlier_incarnation_changes_nothing(
        self,
    ) -> None:
        """It stopped all tasks of the incarnation that a report had shown."""
        world = LeasedWorld()
        target = world.targets[0]
        side = world.sides[0]
        late = target.heartbeat()
        target.restart()
        world.run(0.5)
        world.sides[1].monitor.target_left('target')
        world.submit(0, 2)
        world.run(0.1)
        running = dict(target.running)
        assert running
        side.monitor.heartbeat_received(late)
        world.run(0.1)
        assert target.running == running
        assert side.keeper.table.incarnation == target.incarnation

    def test_answer_of_an_earlier_incarnation_changes_nothing(self) -> None:
        """A check that began before a join made the side stop all tasks."""
        world = LeasedWorld()
        target = world.targets[0]
        side = world.sides[0]
        target.restart()
        target.faults.append('overtaken')
        side.monitor.heartbeat_received(target.heartbeat())
        target.restart()
        world.sides[1].monitor.target_left('target')
        world.run(0.2)
        world.submit(0, 2)
        world.run(0.04)
        running = dict(target.running)
        assert running
        world.run(0.3)
        assert running.items() <= target.running.items()
        assert side.keeper.table.incarnation == target.incarnation

    def test_target_with_a_new_id_is_used_after_a_lost_answer(self) -> None:
        world = LeasedWorld()
        target = world.targets[0]
        side = world.sides[0]
        target.restart()
        target.id = 'replacement'
        target.faults.extend(('silent', 'silent'))
        side.monitor.heartbeat_received(target.heartbeat())
        world.run(1)
        assert side.keeper.is_joined('replacement', target.incarnation)
        assert side.execution.state.closed_reason == ''

    def test_target_that_has_seen_higher_fencing_tokens_is_joined(
        self,
    ) -> None:
        """A side that starts anew doesn't know the tokens of those before."""
        world = LeasedWorld()
        world.kill(world.sides[0])
        target = world.targets[0]
        target.token += 40 * TOKEN_STEP
        world.sides[0] = world.make_side(0)
        for _ in range(3):
            world.run(0.5)
            world.sides[0].monitor.heartbeat_received(target.heartbeat())
        world.run(2)
        assert world.sides[0].execution.state.closed_reason == ''

    def test_size_of_a_new_incarnation_is_applied(self) -> None:
        world = LeasedWorld()
        target = world.targets[0]
        target.restart()
        news = target.heartbeat()._replace(room=Room(2, 4096, 0, 0))
        side = world.sides[0]
        side.monitor.heartbeat_received(news)
        world.run(0.5)
        assert side.execution.state.closed_reason == ''
        assert side.execution.state.room.free.cores == 2
        assert side.peers.introduction.cores == 2

    def test_kind_of_the_worker_is_announced(self) -> None:
        world = LeasedWorld()
        news = world.targets[0].heartbeat()._replace(worker_kind='b')
        side = world.sides[0]
        side.monitor.heartbeat_received(news)
        world.run(0.5)
        assert side.peers.introduction.worker_kind == 'b'
