"""Property tests of jobs that callers resend while processes fail."""

from __future__ import annotations

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from jackdawridge.submission.attended import Verdict
from tests.test_platform.leased_world import (
    RESEND_TIME,
    LeasedSide,
    LeasedWorld,
)

INDICES = st.integers(0, 1)


class Ownership(RuleBasedStateMachine):
    """Kills, pauses and disconnects processes while callers resend their jobs.

    `LeasedWorld.check` asserts after each time step that no task runs twice at
    the same time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = LeasedWorld()

    @rule(entry=INDICES, tasks=st.integers(1, 6))
    def submit(self, entry: int, tasks: int) -> None:
        if not self.world.entries[entry].killed:
            self.world.submit(entry, tasks)

    @rule(seconds=st.sampled_from([0.04, 0.3, 0.7, 1.4, 3]))
    def run(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(process=st.integers(0, 3))
    def pause(self, process: int) -> None:
        self.world.processes()[process].paused = True

    @rule(process=st.integers(0, 3))
    def resume(self, process: int) -> None:
        found = self.world.processes()[process]
        if not found.killed:
            found.resume()

    @rule(entry=INDICES)
    def replace_entry(self, entry: int) -> None:
        self.world.kill(self.world.entries[entry])
        self.world.entries[entry] = self.world.make_entry(entry)

    @rule(side=INDICES)
    def replace_side(self, side: int) -> None:
        self.world.kill(self.world.sides[side])
        self.world.sides[side] = self.world.make_side(side)

    @rule(link=st.integers(0, 3))
    def silence_link(self, link: int) -> None:
        if link < len(self.world.links):
            self.world.silent.add(self.world.links[link])

    @rule()
    def restore_links(self) -> None:
        self.world.silent.clear()

    @rule(link=st.integers(0, 3), arriving=st.integers(0, 3))
    def cut_link(self, link: int, arriving: int) -> None:
        if link < len(self.world.links):
            self.world.links[link].cut(arriving)

    @rule(
        worker=INDICES,
        fault=st.sampled_from(
            ['refused', 'lost', 'late', 'vanished', 'unseen', 'silent']
        ),
    )
    def inject_fault(self, worker: int, fault: str) -> None:
        self.world.targets[worker].faults.append(fault)

    @rule(worker=INDICES, ignores_stops=st.booleans())
    def ignore_stops(self, worker: int, ignores_stops: bool) -> None:
        self.world.targets[worker].ignores_stops = ignores_stops

    @rule(worker=INDICES, is_silent=st.booleans())
    def silence_target(self, worker: int, is_silent: bool) -> None:
        self.world.targets[worker].is_silent = is_silent

    @rule(worker=INDICES)
    def restart_target(self, worker: int) -> None:
        self.world.targets[worker].restart()

    @rule(
        worker=INDICES,
        entry=INDICES,
        seconds=st.sampled_from([0.1, 0.3, 0.5, 0.8]),
    )
    def crash_target(self, worker: int, entry: int, seconds: float) -> None:
        """Restart a target that was silent while it was sent tasks."""
        target = self.world.targets[worker]
        target.is_silent = True
        self.submit(entry, 8)
        self.world.run(seconds)
        target.restart()
        target.is_silent = False
        self.send_heartbeat(worker)

    @rule(worker=INDICES)
    def send_heartbeat(self, worker: int) -> None:
        heartbeat = self.world.targets[worker].heartbeat()
        side = self.world.sides[worker]
        side.when_running(lambda: side.monitor.heartbeat_received(heartbeat))

    @rule(
        worker=INDICES,
        outcome=st.sampled_from(['succeeded', 'succeeded', 'failed']),
    )
    def end_task(self, worker: int, outcome: str) -> None:
        target = self.world.targets[worker]
        for run in tuple(target.running)[:2]:
            target.end(run, outcome)

    def teardown(self) -> None:
        """Clear all faults and check that every caller gets a final answer."""
        world = self.world
        world.silent.clear()
        for target in world.targets:
            target.faults.clear()
            target.is_silent = False
            target.ignores_stops = False
        for process in world.processes():
            if not process.killed:
                process.resume()
        for side, target in zip(world.sides, world.targets, strict=True):
            side.monitor.heartbeat_received(target.heartbeat())
        for _ in range(60):
            world.run(0.2)
            for target in world.targets:
                for run in tuple(target.running):
                    target.end(run, 'succeeded')
        for caller in world.callers:
            assert caller.is_done(), caller.job_id
        self.check_refused_jobs()

    def check_refused_jobs(self) -> None:
        """Check that jobs that were only ever refused had no task started."""
        names = {
            started.run.name.partition('.')[0]
            for target in self.world.targets
            for started in target.history
        }
        for caller in self.world.callers:
            refusals = sum(
                outcome.verdict is Verdict.refused
                for outcome in caller.outcomes
            )
            if refusals == caller.attempts:
                assert caller.job_id not in names


# Failures are not shrunk, which would take many minutes for runs this long.
PHASES = (Phase.explicit, Phase.reuse, Phase.generate)
Ownership.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, phases=PHASES
)
TestOwnership = Ownership.TestCase


def make_busy_world() -> LeasedWorld:
    """Return a world in which the four tasks of a job run."""
    world = LeasedWorld()
    world.submit(0, 4)
    world.run(0.5)
    return world


class TestTargets:
    @pytest.mark.parametrize('silent_before', [0, 0.1, 0.2, 0.3])
    @pytest.mark.parametrize('silent_after', [0.1, 0.26, 0.42, 0.58, 0.74])
    def test_start_that_waited_for_a_restart_runs_once(
        self, silent_before: float, silent_after: float
    ) -> None:
        """It was ordered although its task had been started elsewhere."""
        world = LeasedWorld()
        target = world.targets[0]
        target.is_silent = True
        world.run(silent_before)
        world.submit(0, 8)
        world.run(silent_after)
        target.restart()
        target.is_silent = False
        world.sides[0].monitor.heartbeat_received(target.heartbeat())
        world.run(2)
        assert world.targets[1].history


class TestSides:
    def test_side_stops_tasks_of_a_lost_entry_before_the_caller_resends(
        self,
    ) -> None:
        world = make_busy_world()
        assert sum(len(target.running) for target in world.targets) == 4
        world.kill(world.entries[0])
        world.run(1.2)
        assert not any(target.running for target in world.targets)

    def test_runs_of_a_lost_entry_end_although_stops_are_ignored(
        self,
    ) -> None:
        """The lease was renewed for runs whose stops had no effect."""
        world = make_busy_world()
        for target in world.targets:
            target.ignores_stops = True
        world.kill(world.entries[0])
        world.run(RESEND_TIME)
        assert not any(target.running for target in world.targets)

    def test_runs_of_a_gone_caller_end_although_stops_are_ignored(
        self,
    ) -> None:
        """The caller may send the job again to another entry."""
        world = make_busy_world()
        for target in world.targets:
            target.ignores_stops = True
        world.callers[0].disconnect(world.entries[0])
        world.run(RESEND_TIME)
        assert not any(target.running for target in world.targets)

    def test_starts_of_a_gone_caller_end_beside_an_unanswered_one(self) -> None:
        """One was still ordered, the others ran until that one was settled."""
        world = LeasedWorld()
        world.sides[1].monitor.target_left('target')
        world.run(0.2)
        target = world.targets[0]
        target.faults.extend(('vanished', 'silent', 'silent', 'silent'))
        world.submit(0, 8)
        world.run(0.06)
        started = len(target.history)
        assert target.running
        world.callers[0].disconnect(world.entries[0])
        world.run(0.1)
        assert not target.running
        world.run(0.5)
        assert len(target.history) == started

    def test_stops_that_are_carried_out_end_no_other_run(self) -> None:
        """The lease is common to all runs of a target."""
        world = LeasedWorld()
        world.submit(0, 2)
        world.submit(1, 4)
        world.run(0.5)
        world.kill(world.entries[0])
        world.run(RESEND_TIME)
        names = [run.name for target in world.targets for run in target.running]
        assert len(names) == 4
        assert {name.partition('.')[0] for name in names} == {
            world.callers[1].job_id
        }
        starts = [run for target in world.targets for run in target.history]
        assert len(starts) == 6

    def test_task_of_a_dead_side_runs_elsewhere_after_its_lease(
        self,
    ) -> None:
        world = make_busy_world()
        for side in world.sides:
            if self.is_busy(world, side):
                world.kill(side)
                break
        world.run(2.2)
        assert sum(len(target.running) for target in world.targets) == 4

    def is_busy(self, world: LeasedWorld, side: LeasedSide) -> bool:
        return bool(world.targets[world.sides.index(side)].running)
