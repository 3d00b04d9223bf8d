"""Property tests of jobs with entries, sides and workers that fail."""

from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jackdawridge.submission.jobs import JobSpec, Started, TaskSpec
from tests.test_submission.world import World

PAIRS = st.integers(0, 1)
#: Index of a link: four between entries and sides, and one between the entries
#: in some worlds.
LINKS = st.integers(0, 4)
TASK = TaskSpec('kind', 1, 16, 0, 0.1, b'')


class JobInterleavings(RuleBasedStateMachine):
    """Loses, delays and reorders messages, and pauses or kills processes."""

    #: Creates the processes and links of an example.
    make_world = World

    def __init__(self) -> None:
        super().__init__()
        self.world = self.make_world()
        self.world.settle()
        self.world.advance(1)
        self.world.settle()
        self.sizes: dict[str, int] = {}

    @rule(entry=PAIRS, tasks=st.integers(1, 6))
    def submit(self, entry: int, tasks: int) -> None:
        if self.world.entries[entry].paused:
            return
        ticket = self.world.register(entry).issue()
        self.world.register(entry).use(ticket)
        spec = JobSpec('team', '', 0, (TASK,) * tasks)
        if self.world.engine(entry).submit(ticket, spec, b'').is_ok():
            self.sizes[ticket] = tasks

    @rule(entry=PAIRS)
    def cancel(self, entry: int) -> None:
        if not self.world.entries[entry].paused:
            for ticket in tuple(self.world.engine(entry).jobs)[:1]:
                self.world.engine(entry).fail(ticket, 'cancelled')

    @rule(link=LINKS, sender=st.sampled_from(['entry', 'side']))
    def deliver(self, link: int, sender: str) -> None:
        if link < len(self.world.links):
            self.world.links[link].deliver(sender)

    @rule()
    def settle(self) -> None:
        self.world.settle()

    @rule(link=LINKS, arriving=st.integers(0, 3))
    def cut(self, link: int, arriving: int) -> None:
        if link < len(self.world.links):
            self.world.links[link].cut(arriving)

    @rule()
    def link(self) -> None:
        self.world.link_all()

    @rule(seconds=st.sampled_from([0.01, 0.3, 1, 2.9, 7]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(process=st.integers(0, 3))
    def pause(self, process: int) -> None:
        self.world.processes()[process].paused = True

    @rule(process=st.integers(0, 3))
    def resume(self, process: int) -> None:
        self.world.processes()[process].resume()

    @rule(entry=PAIRS)
    def replace_entry(self, entry: int) -> None:
        self.world.kill(self.world.entries[entry])
        self.world.entries[entry] = self.world.make_entry(entry)

    @rule(side=PAIRS)
    def replace_side(self, side: int) -> None:
        self.world.kill(self.world.sides[side])
        self.world.sides[side] = self.world.make_side(side)

    @rule(
        worker=PAIRS,
        result=st.sampled_from(['refused', 'lost', 'vanished', 'held']),
    )
    def set_start_result(self, worker: int, result: str) -> None:
        self.world.workers[worker].start_results.append(result)

    @rule(worker=PAIRS)
    def release_calls(self, worker: int) -> None:
        self.world.workers[worker].release_calls()

    @rule(
        worker=PAIRS,
        state=st.sampled_from(['succeeded', 'succeeded', 'failed']),
    )
    def end_task(self, worker: int, state: str) -> None:
        fake = self.world.workers[worker]
        for identifier in tuple(fake.tasks)[:2]:
            fake.end(identifier, state)

    @invariant()
    def no_task_is_started_twice(self) -> None:
        counts = Counter(self.world.started())
        assert max(counts.values(), default=1) == 1

    @invariant()
    def every_job_has_one_complete_answer(self) -> None:
        for ticket, answers in self.world.answers.items():
            assert len(answers) == 1
            if answers[0].state == 'complete':
                expected = tuple(
                    f'{ticket}|{task}'.encode()
                    for task in range(self.sizes[ticket])
                )
                assert answers[0].answers == expected
            else:
                assert not answers[0].answers

    @invariant()
    def jobs_without_starts_have_started_nothing(self) -> None:
        started = {ticket for ticket, _ in self.world.started()}
        for ticket, answers in self.world.answers.items():
            if answers[0].state == 'failed':
                is_true = ticket not in started
                assert is_true or answers[0].started is not Started.nothing

    @invariant()
    def no_start_is_requested_after_the_answer(self) -> None:
        for ticket, before in self.world.requested_at_answer.items():
            assert self.world.requested(ticket) == before

    def teardown(self) -> None:
        """End all faults; running entries must then answer all their jobs."""
        world = self.world
        for process in world.processes():
            process.resume()
        for step in range(60):
            world.link_all()
            world.settle()
            if step == 10:
                world.release_calls()
            for worker in world.workers:
                for identifier in tuple(worker.tasks):
                    worker.end(identifier, 'succeeded')
            world.advance(0.5)
        world.settle()
        for entry in (0, 1):
            assert not world.engine(entry).jobs
        for check in (
            self.no_task_is_started_twice,
            self.every_job_has_one_complete_answer,
            self.jobs_without_starts_have_started_nothing,
            self.no_start_is_requested_after_the_answer,
        ):
            check()


JobInterleavings.TestCase.settings = settings(
    max_examples=80, stateful_step_count=60, deadline=None
)
TestInterleavings = JobInterleavings.TestCase
