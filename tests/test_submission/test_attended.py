"""Tests of jobs whose callers wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.submission.attended import (
    DRAIN_ACCEPT_TIME,
    FINAL_ANSWER_TIME,
    ISOLATION_TIMEOUT,
    SIDE_STARTUP_TIME,
    Outcome,
    Verdict,
)
from tests.test_platform.leased_world import Caller, LeasedWorld

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

JOB = '00000000000000aa'


def begin() -> tuple[LeasedWorld, list[Outcome]]:
    """Return a world, and a list for the outcomes of its callers."""
    return LeasedWorld(), []


def submit(
    world: LeasedWorld, kept: list[Outcome], patience: float = 9
) -> Deferred[Outcome]:
    """Hand a job of two tasks in at the first entry."""
    spec = Caller(world, JOB, 2).spec
    waiting = world.entries[0].jobs.submit(JOB, spec, b'', patience)
    waiting.addCallbacks(kept.append, lambda _: None)
    return waiting


def end_all(world: LeasedWorld, outcome: str) -> None:
    for target in world.targets:
        for run in tuple(target.running):
            target.end(run, outcome)


def running(world: LeasedWorld) -> int:
    return sum(len(target.running) for target in world.targets)


class TestAnswers:
    def test_job_completes(self) -> None:
        world, kept = begin()
        submit(world, kept)
        world.run(0.2)
        end_all(world, 'succeeded')
        world.run(0.2)
        assert kept == [Outcome(Verdict.completed)]

    def test_job_sent_again_while_it_runs_is_the_same(self) -> None:
        world, kept = begin()
        submit(world, kept)
        submit(world, kept)
        world.run(0.2)
        assert running(world) == 2
        end_all(world, 'succeeded')
        world.run(0.2)
        completed = Outcome(Verdict.completed)
        assert kept == [completed, completed]

    def test_job_sent_again_after_its_end_does_not_run_again(self) -> None:
        world, kept = begin()
        submit(world, kept)
        world.run(0.2)
        end_all(world, 'succeeded')
        world.run(0.2)
        submit(world, kept)
        world.run(0.2)
        assert running(world) == 0
        assert kept[-1].verdict is Verdict.completed

    def test_task_that_always_fails_fails_the_job(self) -> None:
        world, kept = begin()
        submit(world, kept)
        for _ in range(3):
            world.run(0.3)
            assert not kept
            end_all(world, 'failed')
        world.run(0.3)
        assert [outcome.verdict for outcome in kept] == [Verdict.failed]

    def test_failed_task_runs_on_the_other_side(self) -> None:
        world, kept = begin()
        submit(world, kept)
        world.run(0.2)
        before = world.targets[0].running or world.targets[1].running
        run = next(iter(before))
        number = 0 if run in world.targets[0].running else 1
        world.targets[number].end(run, 'failed')
        world.run(0.3)
        names = {other.name for other in world.targets[1 - number].running}
        assert run.name in names


class TestEnds:
    def test_caller_who_leaves_ends_the_job(self) -> None:
        world, kept = begin()
        waiting = submit(world, kept)
        world.run(0.2)
        waiting.cancel()
        world.run(0.3)
        assert running(world) == 0
        assert not kept

    def test_job_ends_though_its_links_were_cut_with_its_caller(self) -> None:
        world, kept = begin()
        waiting = submit(world, kept)
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

    def test_job_ends_when_its_caller_stops_waiting(self) -> None:
        world, kept = begin()
        submit(world, kept, patience=1)
        world.run(0.5)
        assert running(world) == 2
        world.run(1)
        assert running(world) == 0
        assert [outcome.verdict for outcome in kept] == [Verdict.given_up]

    def test_leaving_entry_takes_jobs_for_a_while(self) -> None:
        world, kept = begin()
        world.entries[0].application.events.emit('draining')
        submit(world, kept)
        world.run(DRAIN_ACCEPT_TIME - 1)
        assert running(world) == 2
        end_all(world, 'succeeded')
        world.run(1.1)
        assert kept.pop().verdict is Verdict.completed
        world.entries[0].engine.answers.kept.clear()
        submit(world, kept)
        assert kept.pop().verdict is Verdict.refused

    def test_entry_with_nothing_to_do_does_not_leave_at_once(self) -> None:
        world, kept = begin()
        entry = world.entries[0]
        entry.application.events.emit('draining')
        stopped: list[None] = []
        entry.jobs.stop().addCallback(stopped.append)
        world.run(DRAIN_ACCEPT_TIME - 0.1)
        assert not stopped
        world.run(0.2)
        assert stopped
        submit(world, kept)
        assert [outcome.verdict for outcome in kept] == [Verdict.refused]

    def test_leaving_entry_answers_what_does_not_end_in_time(self) -> None:
        world, kept = begin()
        submit(world, kept, patience=60)
        world.run(0.2)
        world.entries[0].application.events.emit('draining')
        drain = world.entries[0].application.settings.number('drain')
        world.run(drain - FINAL_ANSWER_TIME - 0.2)
        assert not kept
        world.run(0.3)
        assert [outcome.verdict for outcome in kept] == [Verdict.given_up]
        world.run(0.3)
        assert running(world) == 0


class TestIsolation:
    def cut_off(self, world: LeasedWorld) -> None:
        for link in world.links:
            if world.entries[0] in link.processes.values():
                world.silent.add(link)

    def test_entry_without_sides_sends_its_callers_elsewhere(self) -> None:
        world, kept = begin()
        submit(world, kept)
        world.run(0.2)
        self.cut_off(world)
        world.run(0.9 + ISOLATION_TIMEOUT)
        assert [outcome.verdict for outcome in kept] == [Verdict.given_up]
        submit(world, kept)
        assert kept[-1].verdict is Verdict.isolated
        # Nothing of it runs any more once the caller sends the job again.
        world.run(0.3)
        assert running(world) == 0

    def test_job_that_has_not_begun_is_refused_as_not_run(self) -> None:
        world, kept = begin()
        self.cut_off(world)
        world.run(0.8)
        submit(world, kept)
        assert not kept
        world.run(0.3 + ISOLATION_TIMEOUT)
        assert [outcome.verdict for outcome in kept] == [Verdict.isolated]
        world.run(3)
        assert not any(target.history for target in world.targets)

    def test_entry_takes_jobs_once_a_side_is_back(self) -> None:
        world, kept = begin()
        self.cut_off(world)
        world.run(2)
        world.silent.clear()
        for link in world.links:
            link.close('silent')
        world.run(1)
        submit(world, kept)
        world.run(0.2)
        assert running(world) == 2

    def test_entry_that_has_just_started_waits_for_its_sides(self) -> None:
        world, kept = begin()
        world.kill(world.entries[0])
        world.entries[0] = world.make_entry(0)
        submit(world, kept)
        world.run(0.5)
        assert running(world) == 2

    def test_entry_that_finds_no_side_sends_its_callers_elsewhere(self) -> None:
        world, kept = begin()
        for side in world.sides:
            world.kill(side)
        world.kill(world.entries[0])
        world.entries[0] = world.make_entry(0)
        world.run(SIDE_STARTUP_TIME + 0.1)
        submit(world, kept)
        assert [outcome.verdict for outcome in kept] == [Verdict.isolated]
