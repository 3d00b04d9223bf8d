"""Tests of tasks under leases at a target whose orders go astray."""

from __future__ import annotations

from itertools import repeat
from typing import TYPE_CHECKING

from twisted.internet.defer import ensureDeferred

from jackdawridge.execution.lease_keeper import LeaseKeeper
from jackdawridge.execution.leased_worker import LeasedWorker
from jackdawridge.execution.messages import TaskKey
from jackdawridge.execution.run_table import LeaseTiming
from jackdawridge.execution.starter import write_id
from jackdawridge.execution.worker import NotSentError, WorkerTask
from tests.test_execution.fake_target import FakeTarget

if TYPE_CHECKING:
    from jackdawridge.execution.worker import (
        StartAnswer,
        TaskStatus,
        TaskUsage,
    )

TIMING = LeaseTiming(lease=0.7, renewal=0.15, drift=0.02, stop=0.05)


class Listener:
    """Keeps what it hears."""

    def __init__(self) -> None:
        self.ended: list[TaskStatus] = []

    def task_ended(self, status: TaskStatus) -> None:
        self.ended.append(status)

    def usage_reported(self, usage: tuple[TaskUsage, ...]) -> None:
        """Do nothing."""

    def events_interrupted(self) -> None:
        """Do nothing."""


class Bed:
    """A worker beside a target, on one clock."""

    def __init__(self) -> None:
        self.target = FakeTarget()
        self.clock = self.target.clock
        self.advance(1)
        self.reasons: list[str] = []
        self.keeper = LeaseKeeper(self.clock, self.target, TIMING)
        self.keeper.availability_changed = self.reasons.append
        self.worker = LeasedWorker(self.keeper)
        self.listener = Listener()
        self.answers: list[StartAnswer] = []
        self.keeper.target_joined(*self.target.introduce())
        self.worker.follow(0, self.listener)
        self.advance(0.3)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)

    def start(self, task: int = 0, lease: int = 1) -> str:
        """Order a start and return the id of the task."""
        task_id = write_id(TaskKey('a~b~~0123456789abcdef', task, lease))
        order = WorkerTask(task_id, 'kind', b'spec', 1, 1, 0, 0)
        started = ensureDeferred(self.worker.start((order,)))
        started.addCallback(self.answers.extend)
        return task_id

    def outcomes(self) -> list[tuple[str, str]]:
        return [(status.id, status.state) for status in self.listener.ended]


class TestStarts:
    def test_end_is_reported_once(self) -> None:
        bed = Bed()
        task = bed.start()
        bed.advance(0.1)
        assert [answer.started for answer in bed.answers] == [True]
        bed.target.end(next(iter(bed.target.running)), 'succeeded')
        bed.advance(1)
        assert bed.outcomes() == [(task, 'succeeded')]
        assert not bed.target.ends

    def test_lease_is_renewed(self) -> None:
        bed = Bed()
        bed.start()
        bed.advance(5)
        assert len(bed.target.running) == 1

    def test_lost_answer_of_a_start_that_runs_is_no_refusal(self) -> None:
        bed = Bed()
        bed.target.moods.append('lost')
        bed.start()
        bed.advance(1)
        assert [answer.started for answer in bed.answers] == [True]
        assert len(bed.target.running) == 1

    def test_lost_order_is_repeated_at_once(self) -> None:
        bed = Bed()
        bed.target.moods.append('late')
        bed.start()
        bed.advance(0.1)
        assert [answer.started for answer in bed.answers] == [True]
        bed.advance(5)
        assert len(bed.target.history) == 1

    def test_run_that_was_stopped_is_never_called_refused(self) -> None:
        bed = Bed()
        bed.target.moods.append('unseen')
        task = bed.start()
        bed.advance(1)
        assert len(bed.target.history) == 1
        assert [answer.started for answer in bed.answers] == [True]
        assert bed.outcomes() == [(task, 'stopped')]
        assert not bed.target.running

    def test_run_that_ends_before_it_is_stopped_is_reported(self) -> None:
        bed = Bed()
        bed.target.moods.append('lost')
        task = bed.start()
        bed.advance(0.02)
        bed.target.end(next(iter(bed.target.running)), 'succeeded')
        bed.advance(1)
        assert [answer.started for answer in bed.answers] == [True]
        assert bed.outcomes() == [(task, 'succeeded')]
        assert not bed.target.running

    def test_start_is_not_ordered_again_after_a_pause(self) -> None:
        bed = Bed()
        bed.target.moods.append('vanished')
        bed.start()
        bed.clock.advance(2)
        bed.advance(1)
        assert [answer.started for answer in bed.answers] == [False]
        assert not bed.target.history

    def test_refusal_after_lost_orders_is_true(self) -> None:
        bed = Bed()
        bed.target.moods.extend(('late', 'vanished', 'late'))
        bed.start()
        bed.advance(1)
        assert [answer.started for answer in bed.answers] == [False]
        bed.advance(5)
        assert not bed.target.history

    def test_second_run_of_a_task_beside_the_first_is_refused(self) -> None:
        bed = Bed()
        bed.start(lease=1)
        bed.start(lease=2)
        bed.advance(0.5)
        assert sorted(answer.started for answer in bed.answers) == [False, True]
        assert len(bed.target.running) == 1

    def test_nothing_starts_while_the_target_is_away(self) -> None:
        bed = Bed()
        bed.target.is_up = False
        bed.advance(0.5)
        failed: list[object] = []
        connected = ensureDeferred(bed.worker.connect())
        connected.addErrback(lambda why: failed.append(why.check(NotSentError)))
        assert failed == [NotSentError]
        assert bed.reasons[-1].startswith('target is away')

    def test_stop_ends_a_run(self) -> None:
        bed = Bed()
        task = bed.start()
        bed.advance(0.1)
        ensureDeferred(bed.worker.stop((task,)))
        bed.advance(0.5)
        assert bed.outcomes() == [(task, 'stopped')]

    def test_stop_is_repeated_until_it_is_answered(self) -> None:
        bed = Bed()
        task = bed.start()
        bed.advance(0.1)
        bed.target.moods.extend(repeat('silent', 3))
        ensureDeferred(bed.worker.stop((task,)))
        bed.advance(2)
        assert not bed.target.running


class TestTargets:
    def test_runs_of_a_crashed_target_are_lost(self) -> None:
        bed = Bed()
        task = bed.start()
        bed.advance(0.1)
        bed.target.restart()
        bed.advance(1)
        assert bed.outcomes() == [(task, 'lost')]
        assert bed.reasons[-1] == ''

    def test_runs_of_a_silent_target_are_lost_once_they_are_over(self) -> None:
        bed = Bed()
        task = bed.start()
        bed.advance(0.1)
        bed.target.moods.extend(repeat('silent', 20))
        while bed.target.running:
            assert not bed.listener.ended
            bed.advance(0.05)
        bed.advance(1)
        assert bed.outcomes() == [(task, 'lost')]

    def test_two_renewals_that_are_lost_end_no_run(self) -> None:
        for moment in (0.03, 0.07, 0.11, 0.15):
            bed = Bed()
            bed.start()
            bed.advance(moment)
            bed.target.moods.extend(repeat('silent', 2))
            bed.advance(2)
            assert len(bed.target.running) == 1
            assert not bed.listener.ended

    def test_target_is_used_again_after_silence(self) -> None:
        bed = Bed()
        bed.target.moods.extend(repeat('silent', 6))
        bed.advance(5)
        assert 'target does not answer' in bed.reasons
        assert bed.reasons[-1] == ''
        bed.start()
        bed.advance(0.1)
        assert bed.answers[-1].started

    def test_new_side_stops_what_the_one_before_left(self) -> None:
        bed = Bed()
        bed.start()
        bed.advance(0.1)
        bed.worker.close()
        bed.advance(0.3)
        keeper = LeaseKeeper(bed.clock, bed.target, TIMING)
        keeper.target_joined(*bed.target.introduce())
        keeper.follow(Listener())
        bed.advance(0.3)
        assert keeper.is_taken_over
        assert not bed.target.running
        assert keeper.table.token > 0

    def test_order_for_an_earlier_incarnation_is_not_carried_out(self) -> None:
        bed = Bed()
        bed.advance(20)
        bed.target.moods.append('late')
        bed.start()
        bed.advance(0.04)
        bed.target.restart()
        bed.advance(5)
        assert not bed.target.late
        assert not bed.target.history

    def test_late_report_of_an_earlier_incarnation_is_passed_over(self) -> None:
        bed = Bed()
        later = bed.target.incarnation + 5000
        bed.keeper.target_joined(later, 0)
        bed.advance(1)
        assert bed.keeper.table.incarnation == later
        assert bed.keeper.unavailable_reason
        bed.target.incarnation = later
        bed.advance(1)
        assert not bed.keeper.unavailable_reason

    def test_take_over_keeps_orders_of_before_out(self) -> None:
        bed = Bed()
        bed.target.moods.append('late')
        bed.start()
        bed.advance(0.02)
        late = bed.target.late.pop()
        bed.target.late.append(late._replace(at=bed.clock.seconds() + 0.4))
        ensureDeferred(bed.keeper.take_over())
        bed.advance(5)
        assert not bed.target.history

    def test_stray_run_is_stopped(self) -> None:
        bed = Bed()
        bed.start()
        bed.advance(0.1)
        bed.keeper.table.runs.clear()
        bed.advance(0.5)
        assert not bed.target.running

    def test_higher_token_is_overtaken(self) -> None:
        bed = Bed()
        bed.target.token += 10**7
        bed.advance(3)
        bed.start()
        bed.advance(0.1)
        assert bed.answers[-1].started
