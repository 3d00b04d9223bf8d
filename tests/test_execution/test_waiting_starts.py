"""Tests of starts that wait while what they were decided on changes."""

from __future__ import annotations

import pytest
from twisted.internet.defer import ensureDeferred

from jackdawridge.execution.leased_worker import MAX_CONCURRENT_STARTS
from jackdawridge.execution.worker import NotSentError
from tests.test_execution.leased_harness import Harness

#: Tasks of a batch, of which some wait until earlier ones are ordered.
BATCH = range(MAX_CONCURRENT_STARTS + 4)


class TestTakeOver:
    @pytest.mark.parametrize('silent_before', [0, 0.05, 0.1, 0.15, 0.2])
    @pytest.mark.parametrize('silent_after', [0.2, 0.3, 0.4, 0.5, 0.6, 0.7])
    def test_start_that_was_reported_lost_is_not_ordered(
        self, silent_before: float, silent_after: float
    ) -> None:
        """It was ordered after the take-over, while it ran elsewhere."""
        harness = Harness()
        harness.target.is_silent = True
        harness.advance(silent_before)
        tasks = harness.start_batch(BATCH)
        harness.advance(silent_after)
        harness.target.restart()
        harness.target.is_silent = False
        harness.advance(2)
        assert not harness.target.history
        refused = {
            answer.id for answer in harness.answers if not answer.started
        }
        assert refused.union(dict(harness.outcomes())) == set(tasks)

    def test_start_is_ordered_once_the_target_answers_again(self) -> None:
        """A target that was silent and has not restarted loses no start."""
        harness = Harness()
        harness.target.is_silent = True
        harness.start_batch(BATCH)
        harness.advance(0.1)
        harness.target.is_silent = False
        harness.advance(1)
        assert len(harness.target.running) == len(BATCH)
        assert not harness.listener.ended

    def test_fenced_start_does_not_raise_the_token_of_the_take_over(
        self,
    ) -> None:
        """The target refused the token before; it accepts the present one."""
        harness = Harness()
        harness.target.faults.append('delayed')
        harness.start()
        ensureDeferred(harness.keeper.take_over())
        token = harness.keeper.table.token
        harness.advance(1)
        assert [answer.started for answer in harness.answers] == [False]
        assert harness.keeper.table.token == token

    @pytest.mark.parametrize('delay', [0, 0.04, 0.08, 0.12])
    def test_start_is_not_lost_while_its_order_is_open(
        self, delay: float
    ) -> None:
        """The target restarted and carried out what was reported as lost."""
        harness = Harness()
        harness.advance(delay)
        harness.target.faults.append('delayed')
        task = harness.start()
        harness.keeper.call_failed(NotSentError('refused', step='hold'))
        harness.target.restart()
        harness.advance_until_outcome()
        assert [ended for ended, _ in harness.outcomes()] == [task]
        assert not harness.target.running
        starts = len(harness.target.history)
        harness.advance(1)
        assert len(harness.target.history) == starts

    def test_start_that_was_not_answered_is_lost_with_its_target(self) -> None:
        harness = Harness()
        harness.target.faults.append('lost')
        task = harness.start()
        harness.target.is_up = False
        harness.advance(0.3)
        assert harness.outcomes() == [(task, 'lost')]


class TestStops:
    def test_stop_is_not_repeated_at_the_next_incarnation(self) -> None:
        """It names a higher run number than those of the next incarnation.

        The target would refuse to start the task again.
        """
        harness = Harness()
        task = harness.start()
        harness.advance(0.1)
        harness.target.is_silent = True
        harness.stop(task)
        harness.advance(0.1)
        assert harness.target.stops
        harness.target.restart()
        harness.keeper.target_joined(*harness.target.incarnation_and_clock())
        harness.target.stops.clear()
        harness.advance(1)
        assert not harness.target.stops


class TestWithdrawnStarts:
    def test_start_that_is_refused_while_it_waits_is_not_ordered(self) -> None:
        """It was started and then stopped, after its caller had left."""
        harness = Harness()
        harness.target.is_silent = True
        tasks = harness.start_batch(BATCH)
        harness.advance(0.1)
        harness.listener.refusals = dict.fromkeys(tasks, 'cancelled')
        harness.target.is_silent = False
        harness.advance(1)
        assert not harness.target.history
        assert {answer.reason for answer in harness.answers} == {'cancelled'}

    def test_start_that_is_refused_after_a_lost_order_is_not_repeated(
        self,
    ) -> None:
        harness = Harness()
        harness.target.faults.append('vanished')
        task = harness.start()
        harness.advance(0.02)
        harness.listener.refusals[task] = 'cancelled'
        harness.advance(1)
        assert not harness.target.history
        assert [answer.reason for answer in harness.answers] == ['cancelled']

    def test_start_is_confirmed_before_the_others_of_its_batch(self) -> None:
        """Its stop waited until the last start of the batch was answered."""
        harness = Harness()
        harness.target.faults.append('vanished')
        _, other = harness.start_batch(range(2))
        harness.advance(0.02)
        assert harness.listener.started == [other]
        assert not harness.answers
