"""Property tests of jobs that are sent again while processes fail."""

from __future__ import annotations

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from jackdawridge.submission.attended import Verdict
from tests.test_platform.leased_world import LeasedSide, LeasedWorld

PAIRS = st.integers(0, 1)


class Ownership(RuleBasedStateMachine):
    """Kills, pauses and cuts off what works on jobs that are sent again.

    `LeasedWorld.check` runs after each step of time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = LeasedWorld()

    @rule(entry=PAIRS, tasks=st.integers(1, 6))
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

    @rule(entry=PAIRS)
    def replace_entry(self, entry: int) -> None:
        self.world.kill(self.world.entries[entry])
        self.world.entries[entry] = self.world.make_entry(entry)

    @rule(side=PAIRS)
    def replace_side(self, side: int) -> None:
        self.world.kill(self.world.sides[side])
        self.world.sides[side] = self.world.make_side(side)

    @rule(link=st.integers(0, 3))
    def silence(self, link: int) -> None:
        if link < len(self.world.links):
            self.world.silent.add(self.world.links[link])

    @rule()
    def hear_again(self) -> None:
        self.world.silent.clear()

    @rule(link=st.integers(0, 3), arriving=st.integers(0, 3))
    def cut(self, link: int, arriving: int) -> None:
        if link < len(self.world.links):
            self.world.links[link].cut(arriving)

    @rule(
        worker=PAIRS,
        mood=st.sampled_from(
            ['refused', 'lost', 'late', 'vanished', 'unseen', 'silent']
        ),
    )
    def disturb(self, worker: int, mood: str) -> None:
        self.world.targets[worker].faults.append(mood)

    @rule(worker=PAIRS)
    def restart_target(self, worker: int) -> None:
        self.world.targets[worker].restart()

    @rule(
        worker=PAIRS,
        outcome=st.sampled_from(['succeeded', 'succeeded', 'failed']),
    )
    def end_task(self, worker: int, outcome: str) -> None:
        fake = self.world.targets[worker]
        for run in tuple(fake.running)[:2]:
            fake.end(run, outcome)

    def teardown(self) -> None:
        """Heal everything: every caller gets a final answer."""
        world = self.world
        world.silent.clear()
        for target in world.targets:
            target.faults.clear()
        for process in world.processes():
            if not process.killed:
                process.resume()
        for _ in range(60):
            world.run(0.2)
            for target in world.targets:
                for run in tuple(target.running):
                    target.end(run, 'succeeded')
        for caller in world.callers:
            assert caller.is_done(), caller.job_id
        self.refusals_are_true()

    def refusals_are_true(self) -> None:
        """Whoever was only refused has had nothing started."""
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


# Shrinking a failure of so long a run takes many minutes.
PHASES = (Phase.explicit, Phase.reuse, Phase.generate)
Ownership.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, phases=PHASES
)
TestOwnership = Ownership.TestCase


class TestSides:
    def test_side_that_lost_its_entry_stops_before_the_caller_sends_again(
        self,
    ) -> None:
        world = LeasedWorld()
        world.submit(0, 4)
        world.run(0.5)
        assert sum(len(target.running) for target in world.targets) == 4
        world.kill(world.entries[0])
        world.run(1.2)
        assert not any(target.running for target in world.targets)

    def test_task_of_a_dead_side_runs_elsewhere_once_its_lease_is_over(
        self,
    ) -> None:
        world = LeasedWorld()
        world.submit(0, 4)
        world.run(0.5)
        for side in world.sides:
            if self.is_busy(world, side):
                world.kill(side)
                break
        world.run(2.2)
        assert sum(len(target.running) for target in world.targets) == 4

    def is_busy(self, world: LeasedWorld, side: LeasedSide) -> bool:
        return bool(world.targets[world.sides.index(side)].running)
