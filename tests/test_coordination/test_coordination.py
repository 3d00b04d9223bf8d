"""Tests of who decides, and of what follows when that entry is silent."""

from __future__ import annotations

import pytest

from jackdawridge.coordination.choice import (
    DISTRUST_TIME,
    Candidate,
    LeadChoice,
)
from jackdawridge.coordination.delegate import SILENCE
from jackdawridge.coordination.lead import FORGET_AFTER
from jackdawridge.submission.jobs import JobSpec, TaskSpec
from tests.test_coordination.joint_world import JointWorld
from tests.test_submission.world import CORES

TASK = TaskSpec('kind', 1, 16, 0, 0.1, b'')
#: Time within which an entry goes on without its lead, in seconds.
ALONE_WITHIN = 0.5


def make_world() -> JointWorld:
    """Return a world in which the second entry has a lead."""
    world = JointWorld()
    world.settle()
    world.advance(3)
    world.settle()
    return world


def submit(world: JointWorld, entry: int, tasks: int) -> str:
    """Submit a job and return its ticket."""
    ticket: str = world.register(entry).issue()
    world.register(entry).use(ticket)
    spec = JobSpec('team', '', 0, (TASK,) * tasks)
    assert world.engine(entry).submit(ticket, spec, b'').is_ok()
    return ticket


def finish_all(world: JointWorld) -> None:
    """Let all tasks end, and those that they make room for."""
    for _ in range(20):
        for worker in world.workers:
            for identifier in tuple(worker.tasks):
                worker.end(identifier, 'succeeded')
        world.settle()
        world.advance(0.05)


class TestChoice:
    def test_oldest_is_chosen(self) -> None:
        candidates = [Candidate(2, 'a'), Candidate(1, 'b')]
        assert LeadChoice().choose(candidates, 0) == Candidate(1, 'b')

    def test_silent_one_is_passed_over_for_a_while(self) -> None:
        choice = LeadChoice()
        candidates = [Candidate(1, 'a'), Candidate(2, 'b')]
        choice.distrust('a', 10)
        assert choice.choose(candidates, 10) == Candidate(2, 'b')
        later = 10 + DISTRUST_TIME
        assert choice.choose(candidates, later) == Candidate(1, 'a')

    def test_nobody_to_choose(self) -> None:
        assert LeadChoice().choose((), 0) is None


class TestLead:
    """The older entry decides for the younger one."""

    def test_lead_places_jobs_of_both(self) -> None:
        world = make_world()
        first = world.entries[0].introduction.incarnation
        assert world.coordination(1).delegate.lead == first
        tickets = [submit(world, entry, 3) for entry in (0, 1)]
        world.settle()
        assert len(world.started()) == 6
        finish_all(world)
        for ticket in tickets:
            assert world.answers[ticket][0].state == 'complete'

    def test_nothing_is_left_of_jobs_that_are_over(self) -> None:
        """Neither tickets nor room stay with the lead."""
        world = make_world()
        for _ in range(5):
            submit(world, 1, 4)
            submit(world, 0, 2)
        finish_all(world)
        lead = world.coordination(0).leading.lead
        assert not lead.owners
        assert not lead.placer.assignments
        assert all(not one.tickets for one in lead.delegators.values())
        for side in lead.placer.sides.values():
            assert side.free.cores == CORES

    def test_no_more_is_granted_than_there_is_room(self) -> None:
        """No start waits or is refused at a side, whoever sent it."""
        world = make_world()
        for _ in range(6):
            submit(world, 0, 3)
            submit(world, 1, 3)
        for _ in range(40):
            world.settle()
            running = [
                sum(
                    status.state == 'running'
                    for status in worker.tasks.values()
                )
                for worker in world.workers
            ]
            assert max(running) <= CORES
            for worker in world.workers:
                for identifier in tuple(worker.tasks)[:1]:
                    worker.end(identifier, 'succeeded')
        for entry in (0, 1):
            assert not world.engine(entry).placer.refusals

    def test_task_that_ran_before_is_reckoned_by_the_pace_of_its_side(
        self,
    ) -> None:
        """Its end is expected later at a slower worker."""
        world = make_world()
        submit(world, 1, 1)
        world.settle()
        lead = world.engine(0).placer
        for side in lead.sides.values():
            side.run_time_factor = 1.5
        world.coordination(1).sides_changed()
        world.settle()
        assert [one.run_time_factor for one in lead.assignments.values()] == [
            1.5
        ]

    def test_job_that_is_given_up_makes_room(self) -> None:
        """What waits at the lead is dropped with the job."""
        world = make_world()
        ticket = submit(world, 1, 3 * CORES)
        world.settle()
        world.engine(1).fail(ticket, 'caller has gone')
        world.settle()
        assert world.answers[ticket][0].state == 'failed'
        assert not world.engine(0).placer.queues.queued
        after = submit(world, 0, 2)
        finish_all(world)
        assert world.answers[after][0].state == 'complete'

    def test_leaving_lead_says_so(self) -> None:
        world = make_world()
        world.entries[0].application.draining = True
        world.entries[0].application.events.emit('draining')
        world.settle()
        assert not world.coordination(1).delegate.has_lead()
        submit(world, 1, 2)
        world.settle()
        assert len(world.started()) == 2

    def test_silent_entry_is_forgotten(self) -> None:
        """What it waits for is granted to nobody, and its room is seen."""
        world = make_world()
        submit(world, 1, 1)
        world.settle()
        world.entries[1].paused = True
        for _ in range(20):
            world.advance(0.05)
        lead = world.coordination(0).leading.lead
        assert FORGET_AFTER < 1
        assert not lead.delegators
        assert not lead.placer.is_lead

    def test_entry_that_reaches_more_is_not_led(self) -> None:
        """A lead that knows few of its sides would leave the rest idle."""
        world = make_world()
        world.engine(0).placer.side_left('side-0')
        world.coordination(1).sides_changed()
        world.settle()
        assert not world.coordination(1).delegate.has_lead()


class TestSilentLead:
    """An entry decides alone soon after its lead says nothing."""

    def test_job_starts_without_the_lead(self) -> None:
        world = make_world()
        world.entries[0].paused = True
        ticket = submit(world, 1, 2)
        world.settle()
        assert not world.started()
        assert SILENCE < ALONE_WITHIN
        for _ in range(int(ALONE_WITHIN / 0.05)):
            world.advance(0.05)
        world.settle()
        assert len(world.started()) == 2
        finish_all(world)
        assert world.answers[ticket][0].state == 'complete'

    def test_word_of_a_lead_that_wakes_is_void(self) -> None:
        """What it granted while it was silent starts nothing again."""
        world = make_world()
        ticket = submit(world, 1, 2)
        # The lead places both, and its word is held up.
        world.entries[1].advance(0.001)
        link = world.link_of_entries()
        for _ in range(4):
            link.deliver('side')
        world.entries[0].advance(0.001)
        assert link.peers['entry'].outgoing
        held = list(link.peers['entry'].outgoing)
        link.peers['entry'].outgoing.clear()
        world.entries[0].paused = True
        for _ in range(int(ALONE_WITHIN / 0.05)):
            world.advance(0.05)
        world.settle()
        assert len(world.started()) == 2
        link.peers['entry'].outgoing.extend(held)
        world.entries[0].resume()
        world.settle()
        finish_all(world)
        assert len(world.started()) == 2
        assert world.answers[ticket][0].state == 'complete'

    @pytest.mark.parametrize('tasks', [2, 3 * CORES])
    def test_lead_that_dies_takes_nothing_along(self, tasks: int) -> None:
        """What it had placed runs on, and the rest is placed here."""
        world = make_world()
        ticket = submit(world, 1, tasks)
        world.settle()
        world.kill(world.entries[0])
        world.settle()
        finish_all(world)
        finish_all(world)
        assert world.answers[ticket][0].state == 'complete'
        assert len(world.started()) == tasks

    def test_entry_that_was_paused_itself_keeps_its_lead(self) -> None:
        """Its own pause is no silence of the lead."""
        world = make_world()
        submit(world, 1, 1)
        world.settle()
        world.entries[1].paused = True
        world.advance(0.3)
        world.entries[1].resume()
        assert world.coordination(1).delegate.has_lead()
