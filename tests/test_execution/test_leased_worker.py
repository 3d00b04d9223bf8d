"""Tests of starts and leases at a target whose calls fail."""

from __future__ import annotations

from itertools import repeat

import pytest
from twisted.internet.defer import ensureDeferred

from jackdawridge.execution.lease_keeper import LeaseKeeper
from jackdawridge.execution.leased_target import Run, TargetReport
from jackdawridge.execution.worker import NotSentError
from tests.test_execution.fake_target import TIMING
from tests.test_execution.leased_harness import Harness, Listener

#: Time in seconds within which an end is reported although a report is lost.
#: A job of short tasks can wait for about 0.13 s.
MAX_REPORT_DELAY = 0.1


class TestUnknownRuns:
    def test_unknown_run_ends_although_its_stops_are_ignored(self) -> None:
        """The lease of the other runs also prolonged a run left by others."""
        harness = Harness()
        harness.start()
        harness.advance(0.1)
        harness.target.ignores_stops = True
        unknown = Run('left', 1)
        harness.target.running[unknown] = harness.clock.seconds()
        harness.advance(1)
        assert unknown not in harness.target.running

    def test_unknown_run_that_is_stopped_ends_no_other_run(self) -> None:
        harness = Harness()
        task = harness.start()
        harness.advance(0.1)
        unknown = Run('left', 1)
        harness.target.running[unknown] = harness.clock.seconds()
        harness.advance(3)
        assert [run.name for run in harness.target.running] != ['left']
        assert len(harness.target.running) == 1
        assert task not in dict(harness.outcomes())

    def test_report_that_was_overtaken_makes_no_run_unknown(self) -> None:
        """A run that has ended was stopped as if this side had not begun it."""
        harness = Harness()
        harness.start()
        harness.advance(0.1)
        run = next(iter(harness.target.running))
        table = harness.keeper.table
        harness.target.end(run, 'succeeded')
        harness.advance(0.5)
        late = TargetReport(
            harness.target.incarnation,
            harness.target.now(),
            frozenset((run,)),
            (),
        )
        now = harness.clock.seconds()
        assert not table.apply_report(late, now, now).unknown_runs


class TestDeadlines:
    def test_lease_is_withheld_once_runs_must_end(self) -> None:
        harness = Harness()
        harness.start()
        harness.advance(0.1)
        limit = harness.clock.seconds() + 1.2
        harness.keeper.table.leases.find_deadline = lambda _: limit
        harness.advance(1.2)
        assert not harness.target.running

    def test_start_is_refused_if_it_would_outlast_a_deadline(self) -> None:
        """The lease of earlier runs may reach beyond the new run's end."""
        harness = Harness()
        harness.start()
        harness.advance(0.1)
        limit = harness.clock.seconds() + 0.5
        harness.keeper.table.leases.find_deadline = lambda _: limit
        harness.start(task=1)
        harness.advance(0.1)
        assert [answer.started for answer in harness.answers] == [True, False]
        assert len(harness.target.history) == 1


class TestStarts:
    def test_end_is_reported_once(self) -> None:
        harness = Harness()
        task = harness.start()
        harness.advance(0.1)
        assert [answer.started for answer in harness.answers] == [True]
        harness.target.end(next(iter(harness.target.running)), 'succeeded')
        harness.advance(1)
        assert harness.outcomes() == [(task, 'succeeded')]
        assert not harness.target.ends

    def test_lease_is_renewed(self) -> None:
        harness = Harness()
        harness.start()
        harness.advance(5)
        assert len(harness.target.running) == 1

    def test_start_with_a_lost_answer_is_not_refused(self) -> None:
        harness = Harness()
        harness.target.faults.append('lost')
        harness.start()
        harness.advance(1)
        assert [answer.started for answer in harness.answers] == [True]
        assert len(harness.target.running) == 1

    def test_lost_start_order_is_repeated_at_once(self) -> None:
        harness = Harness()
        harness.target.faults.append('late')
        harness.start()
        harness.advance(0.1)
        assert [answer.started for answer in harness.answers] == [True]
        harness.advance(5)
        assert len(harness.target.history) == 1

    def test_stopped_run_is_not_reported_as_refused(self) -> None:
        harness = Harness()
        harness.target.faults.append('unseen')
        task = harness.start()
        harness.advance(1)
        assert len(harness.target.history) == 1
        assert [answer.started for answer in harness.answers] == [True]
        assert harness.outcomes() == [(task, 'stopped')]
        assert not harness.target.running

    def test_run_that_ends_before_its_stop_is_reported(self) -> None:
        harness = Harness()
        harness.target.faults.append('lost')
        task = harness.start()
        harness.advance(0.02)
        harness.target.end(next(iter(harness.target.running)), 'succeeded')
        harness.advance(1)
        assert [answer.started for answer in harness.answers] == [True]
        assert harness.outcomes() == [(task, 'succeeded')]
        assert not harness.target.running

    def test_outdated_start_is_not_ordered_after_a_pause(self) -> None:
        harness = Harness()
        harness.target.faults.append('vanished')
        harness.start()
        harness.clock.advance(2)
        harness.advance(1)
        assert [answer.started for answer in harness.answers] == [False]
        assert not harness.target.history

    def test_refused_start_never_runs_after_lost_orders(self) -> None:
        harness = Harness()
        harness.target.faults.extend(('late', 'vanished', 'late'))
        harness.start()
        harness.advance(1)
        assert [answer.started for answer in harness.answers] == [False]
        harness.advance(5)
        assert not harness.target.history

    def test_concurrent_run_of_the_same_task_is_refused(self) -> None:
        harness = Harness()
        harness.start(lease=1)
        harness.start(lease=2)
        harness.advance(0.5)
        assert sorted(answer.started for answer in harness.answers) == [
            False,
            True,
        ]
        assert len(harness.target.running) == 1

    def test_connect_fails_while_the_target_is_away(self) -> None:
        harness = Harness()
        harness.target.is_up = False
        harness.advance(0.5)
        failed: list[object] = []
        connected = ensureDeferred(harness.worker.connect())
        connected.addErrback(lambda why: failed.append(why.check(NotSentError)))
        assert failed == [NotSentError]
        assert harness.reasons[-1].startswith('target is away')

    def test_stop_ends_a_run(self) -> None:
        harness = Harness()
        task = harness.start()
        harness.advance(0.1)
        harness.stop(task)
        harness.advance(0.5)
        assert harness.outcomes() == [(task, 'stopped')]

    def test_stop_is_repeated_until_it_is_answered(self) -> None:
        harness = Harness()
        task = harness.start()
        harness.advance(0.1)
        harness.target.faults.extend(repeat('silent', 3))
        harness.stop(task)
        harness.advance(2)
        assert not harness.target.running


class TestTargetFailures:
    def test_runs_of_a_crashed_target_are_reported_lost(self) -> None:
        harness = Harness()
        task = harness.start()
        harness.advance(0.1)
        harness.target.restart()
        harness.advance(1)
        assert harness.outcomes() == [(task, 'lost')]
        assert harness.reasons[-1] == ''

    def test_silent_target_loses_runs_only_after_the_lease(self) -> None:
        harness = Harness()
        task = harness.start()
        harness.advance(0.1)
        harness.target.faults.extend(repeat('silent', 20))
        while harness.target.running:
            assert not harness.listener.ended
            harness.advance(0.05)
        harness.advance(1)
        assert harness.outcomes() == [(task, 'lost')]

    def test_two_lost_renewals_end_no_run(self) -> None:
        for delay in (0.03, 0.07, 0.11, 0.15):
            harness = Harness()
            harness.start()
            harness.advance(delay)
            harness.target.faults.extend(repeat('silent', 2))
            harness.advance(2)
            assert len(harness.target.running) == 1
            assert not harness.listener.ended

    def test_end_is_reported_soon_despite_a_lost_report(self) -> None:
        """The whole job of the task waits for this end."""
        harness = Harness()
        task = harness.start()
        harness.advance(0.1)
        harness.target.faults.append('silent')
        while harness.target.faults:
            harness.advance(0.01)
        harness.target.end(next(iter(harness.target.running)), 'succeeded')
        harness.advance(MAX_REPORT_DELAY)
        assert harness.outcomes() == [(task, 'succeeded')]

    def test_target_is_used_again_after_silence(self) -> None:
        harness = Harness()
        harness.target.faults.extend(repeat('silent', 6))
        harness.advance(5)
        assert 'target does not answer' in harness.reasons
        assert harness.reasons[-1] == ''
        harness.start()
        harness.advance(0.1)
        assert harness.answers[-1].started

    def test_new_side_stops_the_runs_of_the_earlier_one(self) -> None:
        harness = Harness()
        harness.start()
        harness.advance(0.1)
        harness.worker.close()
        harness.advance(0.3)
        keeper = LeaseKeeper(harness.clock, harness.target, TIMING)
        keeper.target_joined(*harness.target.incarnation_and_clock())
        keeper.follow(Listener())
        harness.advance(0.3)
        assert keeper.is_taken_over
        assert not harness.target.running
        assert keeper.table.token > 0

    def test_runs_at_a_target_joined_again_are_not_lost_early(self) -> None:
        """Living runs were reported as lost, and run again elsewhere."""
        harness = Harness()
        task = harness.start()
        harness.advance(0.1)
        harness.target.ignores_stops = True
        harness.keeper.target_joined(*harness.target.incarnation_and_clock())
        assert harness.target.running
        harness.advance_until_outcome()
        assert [ended for ended, _ in harness.outcomes()] == [task]
        assert not harness.target.running

    @pytest.mark.parametrize('delay', [0, 0.04, 0.08, 0.12])
    def test_start_before_a_restart_is_not_refused(self, delay: float) -> None:
        """It was said not to have run by a report of the next incarnation."""
        harness = Harness()
        harness.advance(delay)
        harness.target.faults.append('lost')
        task = harness.start()
        assert harness.target.history
        harness.target.restart()
        harness.advance(3)
        assert [answer.started for answer in harness.answers] == [True]
        assert harness.outcomes() == [(task, 'lost')]

    def test_run_at_a_restarted_target_is_not_lost_early(self) -> None:
        """A start that reached the new incarnation was reported as lost."""
        harness = Harness()
        harness.advance(5)
        harness.target.restart()
        harness.target.ignores_stops = True
        task = harness.start()
        assert harness.target.running
        harness.advance_until_outcome()
        assert [ended for ended, _ in harness.outcomes()] == [task]
        assert not harness.target.running

    def test_start_for_an_earlier_incarnation_is_refused(self) -> None:
        harness = Harness()
        harness.advance(20)
        harness.target.faults.append('late')
        harness.start()
        harness.advance(0.04)
        harness.target.restart()
        harness.advance(5)
        assert not harness.target.late_starts
        assert not harness.target.history

    def test_late_report_of_an_earlier_incarnation_is_ignored(self) -> None:
        harness = Harness()
        later_incarnation = harness.target.incarnation + 5000
        harness.keeper.target_joined(later_incarnation, 0)
        harness.advance(1)
        assert harness.keeper.table.incarnation == later_incarnation
        assert harness.keeper.unavailable_reason
        harness.target.incarnation = later_incarnation
        harness.advance(1)
        assert not harness.keeper.unavailable_reason

    def test_late_answer_of_an_earlier_target_is_ignored(self) -> None:
        """It was taken for a sign that the present target had gone."""
        harness = Harness()
        harness.target.faults.append('replaced')
        while harness.target.faults:
            harness.advance(0.01)
        harness.target.restart()
        harness.keeper.target_joined(*harness.target.incarnation_and_clock())
        harness.advance(0.5)
        assert not harness.keeper.unavailable_reason

    def test_take_over_fences_earlier_orders(self) -> None:
        harness = Harness()
        harness.target.faults.append('late')
        harness.start()
        harness.advance(0.02)
        late_start = harness.target.late_starts.pop()
        harness.target.late_starts.append(
            late_start._replace(due_at=harness.clock.seconds() + 0.4)
        )
        ensureDeferred(harness.keeper.take_over())
        harness.advance(5)
        assert not harness.target.history

    def test_unknown_run_is_stopped(self) -> None:
        harness = Harness()
        harness.start()
        harness.advance(0.1)
        harness.keeper.table.runs.clear()
        harness.advance(0.5)
        assert not harness.target.running

    def test_refused_token_is_raised(self) -> None:
        harness = Harness()
        harness.target.token += 10**7
        harness.advance(3)
        harness.start()
        harness.advance(0.1)
        assert harness.answers[-1].started
