"""Tests of jobs whose callers wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jackdawridge.submission.attended import (
    DRAIN_ACCEPT_TIME,
    FINAL_ANSWER_TIME,
    ISOLATION_TIMEOUT,
    MAX_COUNT_AGE,
    SIDE_STARTUP_TIME,
    Outcome,
    Verdict,
)
from tests.test_platform.leased_world import Caller, LeasedWorld

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

JOB = '00000000000000aa'


def make_world() -> tuple[LeasedWorld, list[Outcome]]:
    """Return a world, and a list to collect the outcomes of its callers."""
    return LeasedWorld(), []


def submit(
    world: LeasedWorld, outcomes: list[Outcome], patience: float = 9
) -> Deferred[Outcome]:
    """Submit a job of two tasks to the first entry."""
    spec = Caller(world, JOB, 2).spec
    waiting = world.entries[0].jobs.submit(JOB, spec, b'', patience)
    waiting.addCallbacks(outcomes.append, lambda _: None)
    return waiting


def end_all(world: LeasedWorld, outcome: str) -> None:
    for target in world.targets:
        for run in tuple(target.running):
            target.end(run, outcome)


def running(world: LeasedWorld) -> int:
    return sum(len(target.running) for target in world.targets)


class TestAnswers:
    def test_job_completes(self) -> None:
        world, outcomes = make_world()
        submit(world, outcomes)
        world.run(0.2)
        end_all(world, 'succeeded')
        world.run(0.2)
        assert outcomes == [Outcome(Verdict.completed)]

    def test_open_job_is_joined_when_sent_again(self) -> None:
        world, outcomes = make_world()
        submit(world, outcomes)
        submit(world, outcomes)
        world.run(0.2)
        assert running(world) == 2
        end_all(world, 'succeeded')
        world.run(0.2)
        completed = Outcome(Verdict.completed)
        assert outcomes == [completed, completed]

    def test_completed_job_is_not_run_again(self) -> None:
        world, outcomes = make_world()
        submit(world, outcomes)
        world.run(0.2)
        end_all(world, 'succeeded')
        world.run(0.2)
        submit(world, outcomes)
        world.run(0.2)
        assert running(world) == 0
        assert outcomes[-1].verdict is Verdict.completed

    def test_task_that_always_fails_fails_the_job(self) -> None:
        world, outcomes = make_world()
        submit(world, outcomes)
        for _ in range(3):
            world.run(0.3)
            assert not outcomes
            end_all(world, 'failed')
        world.run(0.3)
        assert [outcome.verdict for outcome in outcomes] == [Verdict.failed]

    def test_failed_task_runs_on_the_other_side(self) -> None:
        world, outcomes = make_world()
        submit(world, outcomes)
        world.run(0.2)
        before = world.targets[0].running or world.targets[1].running
        run = next(iter(before))
        number = 0 if run in world.targets[0].running else 1
        world.targets[number].end(run, 'failed')
        world.run(0.3)
        names = {other.name for other in world.targets[1 - number].running}
        assert run.name in names


class TestWaitingJobs:
    def test_they_are_counted_once_for_many_questions(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        world, outcomes = make_world()
        jobs = world.entries[0].jobs
        examined: list[str] = []
        monkeypatch.setattr(jobs, 'has_begun', examined.append)
        submit(world, outcomes)
        kind = jobs.open_jobs[JOB].spec.tasks[0].kind
        assert {jobs.count_waiting(kind) for _ in range(1000)} == {1}
        assert len(examined) == 1

    def test_number_is_renewed(self) -> None:
        world, outcomes = make_world()
        jobs = world.entries[0].jobs
        submit(world, outcomes)
        kind = jobs.open_jobs[JOB].spec.tasks[0].kind
        assert jobs.count_waiting(kind) == 1
        world.run(2 * MAX_COUNT_AGE)
        assert jobs.count_waiting(kind) == 0
        assert jobs.count_waiting('another') == 0


class TestEndOfJobs:
    def test_disconnect_of_the_caller_ends_the_job(self) -> None:
        world, outcomes = make_world()
        waiting = submit(world, outcomes)
        world.run(0.2)
        waiting.cancel()
        world.run(0.3)
        assert running(world) == 0
        assert not outcomes

    def test_job_ends_if_links_and_caller_are_cut_together(self) -> None:
        world, outcomes = make_world()
        waiting = submit(world, outcomes)
        world.run(0.2)
        for side in world.sides:
            side.execution.ready = False
        for link in world.links:
            link.cut(0)
        waiting.cancel()
        world.run(0.1)
        for side in world.sides:
            side.execution.ready = True
        world.run(0.3)
        assert running(world) == 0

    def test_job_ends_after_the_time_its_caller_waits(self) -> None:
        world, outcomes = make_world()
        submit(world, outcomes, patience=1)
        world.run(0.5)
        assert running(world) == 2
        world.run(1)
        assert running(world) == 0
        assert [outcome.verdict for outcome in outcomes] == [Verdict.given_up]

    def test_draining_entry_accepts_jobs_for_a_limited_time(self) -> None:
        world, outcomes = make_world()
        world.entries[0].application.events.emit('draining')
        submit(world, outcomes)
        world.run(DRAIN_ACCEPT_TIME - 1)
        assert running(world) == 2
        end_all(world, 'succeeded')
        world.run(1.1)
        assert outcomes.pop().verdict is Verdict.completed
        world.entries[0].engine.answers.kept.clear()
        submit(world, outcomes)
        assert outcomes.pop().verdict is Verdict.refused

    def test_idle_entry_does_not_stop_at_once(self) -> None:
        world, outcomes = make_world()
        entry = world.entries[0]
        entry.application.events.emit('draining')
        stopped: list[None] = []
        entry.jobs.stop().addCallback(stopped.append)
        world.run(DRAIN_ACCEPT_TIME - 0.1)
        assert not stopped
        world.run(0.2)
        assert stopped
        submit(world, outcomes)
        assert [outcome.verdict for outcome in outcomes] == [Verdict.refused]

    def test_draining_entry_answers_unfinished_jobs(self) -> None:
        world, outcomes = make_world()
        submit(world, outcomes, patience=60)
        world.run(0.2)
        world.entries[0].application.events.emit('draining')
        drain = world.entries[0].application.settings.number('drain')
        world.run(drain - FINAL_ANSWER_TIME - 0.2)
        assert not outcomes
        world.run(0.3)
        assert [outcome.verdict for outcome in outcomes] == [Verdict.given_up]
        world.run(0.3)
        assert running(world) == 0


class TestIsolation:
    def cut_off(self, world: LeasedWorld) -> None:
        for link in world.links:
            if world.entries[0] in link.processes.values():
                world.silent.add(link)

    def test_isolated_entry_answers_its_callers(self) -> None:
        world, outcomes = make_world()
        submit(world, outcomes)
        world.run(0.2)
        self.cut_off(world)
        world.run(0.9 + ISOLATION_TIMEOUT)
        assert [outcome.verdict for outcome in outcomes] == [Verdict.given_up]
        submit(world, outcomes)
        assert outcomes[-1].verdict is Verdict.isolated
        # The tasks have stopped before the caller sends the job again.
        world.run(0.3)
        assert running(world) == 0

    def test_job_without_starts_is_answered_as_isolated(self) -> None:
        world, outcomes = make_world()
        self.cut_off(world)
        world.run(0.8)
        submit(world, outcomes)
        assert not outcomes
        world.run(0.3 + ISOLATION_TIMEOUT)
        assert [outcome.verdict for outcome in outcomes] == [Verdict.isolated]
        world.run(3)
        assert not any(target.history for target in world.targets)

    def test_entry_accepts_jobs_after_a_side_has_returned(self) -> None:
        world, outcomes = make_world()
        self.cut_off(world)
        world.run(2)
        world.silent.clear()
        for link in world.links:
            link.close('silent')
        world.run(1)
        submit(world, outcomes)
        world.run(0.2)
        assert running(world) == 2

    def test_new_entry_waits_for_its_sides(self) -> None:
        world, outcomes = make_world()
        world.kill(world.entries[0])
        world.entries[0] = world.make_entry(0)
        submit(world, outcomes)
        world.run(0.5)
        assert running(world) == 2

    def test_new_entry_without_sides_is_isolated(self) -> None:
        world, outcomes = make_world()
        for side in world.sides:
            world.kill(side)
        world.kill(world.entries[0])
        world.entries[0] = world.make_entry(0)
        world.run(SIDE_STARTUP_TIME + 0.1)
        submit(world, outcomes)
        assert [outcome.verdict for outcome in outcomes] == [Verdict.isolated]
