"""Tests of the selection of a lead, and of timeouts of lead and delegators."""

from __future__ import annotations

from typing import Any

import pytest

from jackdawridge.coordination.candidates import CANDIDATE_HOLD_TIME
from jackdawridge.coordination.delegate import LEAD_TIMEOUT
from jackdawridge.coordination.lead import DELEGATOR_TIMEOUT, REACH_TIMEOUT
from jackdawridge.coordination.selection import (
    EXCLUSION_TIME,
    Candidate,
    LeadSelector,
    can_reach_sides,
)
from jackdawridge.submission.jobs import JobSpec, Started, TaskSpec
from tests.test_coordination.joint_world import (
    JointWorld,
    LinkedLeadWorld,
    make_small_records,
)
from tests.test_submission.world import CORES, PendingBacklog

TASK = TaskSpec('kind', 1, 16, 0, 0.1, b'')
#: Time in seconds within which an entry places tasks after its lead fails.
RECOVERY_TIME = 0.5


def make_world() -> JointWorld:
    """Return a world in which the second entry has delegated to the first."""
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
    """Complete all running tasks, and those that start in their place."""
    for _ in range(20):
        for worker in world.workers:
            for identifier in tuple(worker.tasks):
                worker.end(identifier, 'succeeded')
        world.settle()
        world.advance(0.05)


class TestSelection:
    def test_oldest_candidate_is_selected(self) -> None:
        candidates = [Candidate(2, 'a'), Candidate(1, 'b')]
        assert LeadSelector().select(candidates, 0) == Candidate(1, 'b')

    def test_excluded_entry_is_not_selected(self) -> None:
        selector = LeadSelector()
        candidates = [Candidate(1, 'a'), Candidate(2, 'b')]
        selector.exclude('a', 10)
        assert selector.select(candidates, 10) == Candidate(2, 'b')
        later = 10 + EXCLUSION_TIME
        assert selector.select(candidates, later) == Candidate(1, 'a')

    def test_no_candidates(self) -> None:
        assert LeadSelector().select((), 0) is None


class TestReach:
    """Each side links to a few entries only."""

    def test_lead_needs_sides_that_link_to_nearly_all_entries(self) -> None:
        assert can_reach_sides(3, 5)
        assert can_reach_sides(5, 5)
        assert not can_reach_sides(10, 5)

    def test_no_lead_is_asked_that_cannot_reach_the_sides(self) -> None:
        """An entry asked each second, and its jobs waited for the rejection."""
        world = make_world()
        for number in (0, 1):
            coordination = world.coordination(number)
            directory: Any = coordination.links.directory
            directory.unlinked = make_small_records(
                world.entries[number].introduction
            )
            coordination.entries_changed(None)
        world.settle()
        term = world.coordination(1).delegate.term
        for _ in range(4):
            submit(world, 1, 1)
            world.settle()
            world.advance(1)
            assert not world.coordination(1).delegate.has_lead()
        assert world.coordination(1).delegate.term == term


class TestLinkedLead:
    """All sides link to two of ten entries, one of which is the lead."""

    def make_world(self) -> LinkedLeadWorld:
        world = LinkedLeadWorld()
        for _ in range(3):
            world.settle()
            world.advance(1)
        return world

    def test_lead_places_jobs_of_both(self) -> None:
        world = self.make_world()
        submit(world, 0, 1)
        ticket = submit(world, 1, 3)
        world.settle()
        first = world.entries[0].introduction.incarnation
        assert world.coordination(1).delegate.lead == first
        finish_all(world)
        assert world.answers[ticket][0].state == 'complete'

    def test_entry_decides_alone_once_no_candidate_is_left(self) -> None:
        """The other entries reach too few of its sides."""
        world = self.make_world()
        directory: Any = world.coordination(1).links.directory
        directory.world = LinkedLeadWorld()
        directory.world.entries.clear()
        world.kill(world.entries[0])
        world.advance(CANDIDATE_HOLD_TIME + 1)
        ticket = submit(world, 1, 2)
        world.settle()
        assert not world.coordination(1).delegate.has_lead()
        finish_all(world)
        assert world.answers[ticket][0].state == 'complete'

    def test_candidate_that_reaches_too_few_sides_is_not_the_lead(
        self,
    ) -> None:
        """Sides of an earlier version don't link to it."""
        world = self.make_world()
        world.engine(0).placer.side_left('side-0')
        world.coordination(1).sides_changed()
        world.settle()
        assert not world.coordination(1).delegate.has_lead()
        ticket = submit(world, 1, 2)
        finish_all(world)
        assert world.answers[ticket][0].state == 'complete'


class TestLead:
    """The older entry places the tasks of the younger one."""

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

    def test_finished_jobs_are_released(self) -> None:
        """The lead releases the tickets and the capacity of finished jobs."""
        world = make_world()
        for _ in range(5):
            submit(world, 1, 4)
            submit(world, 0, 2)
        finish_all(world)
        lead = world.coordination(0).delegations.lead
        assert not lead.owners
        assert not lead.placer.assignments
        assert all(not one.tickets for one in lead.delegators.values())
        for side in lead.placer.sides.values():
            assert side.free.cores == CORES

    def test_grants_never_exceed_capacity(self) -> None:
        """No start of either entry is delayed or refused at a side."""
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

    def test_running_task_is_expected_at_the_pace_of_its_side(
        self,
    ) -> None:
        """A running task is expected to end later at a slow side."""
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

    def test_failed_job_frees_its_place_in_the_queue(self) -> None:
        """A failed job's queued tasks are dropped at the lead, too."""
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

    def test_job_that_is_sent_again_at_once_is_placed(self) -> None:
        """The lead dropped the second attempt with the first."""
        world = make_world()
        submit(world, 0, 3 * CORES)
        world.settle()
        ticket = submit(world, 1, 2)
        world.settle()
        engine = world.engine(1)
        job = engine.jobs[ticket]
        engine.fail(ticket, 'caller has gone')
        engine.submit(ticket, job.spec, job.digest)
        world.settle()
        finish_all(world)
        states = [answer.state for answer in world.answers[ticket]]
        assert states == ['failed', 'complete']

    def test_draining_lead_ends_its_delegations(self) -> None:
        world = make_world()
        world.entries[0].application.draining = True
        world.entries[0].application.events.emit('draining')
        world.settle()
        assert not world.coordination(1).delegate.has_lead()
        submit(world, 1, 2)
        world.settle()
        assert len(world.started()) == 2

    def test_silent_entry_is_forgotten(self) -> None:
        """The lead drops the tasks of a delegator that sends nothing."""
        world = make_world()
        submit(world, 1, 1)
        world.settle()
        world.entries[1].paused = True
        for _ in range(20):
            world.advance(0.05)
        lead = world.coordination(0).delegations.lead
        assert DELEGATOR_TIMEOUT < 1
        assert not lead.delegators
        assert not lead.placer.is_lead

    def test_lead_with_too_few_sides_rejects_the_delegation(self) -> None:
        """Otherwise the sides that the lead isn't linked to would be idle."""
        world = make_world()
        world.engine(0).placer.side_left('side-0')
        world.coordination(1).sides_changed()
        world.settle()
        assert not world.coordination(1).delegate.has_lead()

    def test_lead_that_loses_its_sides_ends_the_delegation(self) -> None:
        """Their room was idle until the links of the sender changed."""
        world = make_world()
        world.coordination(0).candidates.lead_links = 2
        world.engine(0).placer.side_left('side-0')
        world.settle()
        assert world.coordination(1).delegate.has_lead()
        for _ in range(int(2 * REACH_TIMEOUT / 0.05)):
            world.advance(0.05)
            world.settle()
        assert not world.coordination(1).delegate.has_lead()
        submit(world, 1, 2 * CORES)
        world.settle()
        assert len(world.started()) == 2 * CORES


class TestSilentLead:
    """An entry places its own tasks soon after its lead stops answering."""

    def test_job_starts_without_the_lead(self) -> None:
        world = make_world()
        world.entries[0].paused = True
        ticket = submit(world, 1, 2)
        world.settle()
        assert not world.started()
        assert LEAD_TIMEOUT < RECOVERY_TIME
        for _ in range(int(RECOVERY_TIME / 0.05)):
            world.advance(0.05)
        world.settle()
        assert len(world.started()) == 2
        finish_all(world)
        assert world.answers[ticket][0].state == 'complete'

    def test_late_grants_of_a_resumed_lead_are_ignored(self) -> None:
        """Grants that a paused lead sends late start no task twice."""
        world = make_world()
        ticket = submit(world, 1, 2)
        # The lead places both tasks, and its grants are delayed.
        world.entries[1].advance(0.001)
        link = world.link_of_entries()
        for _ in range(4):
            link.deliver('side')
        world.entries[0].advance(0.001)
        assert link.peers['entry'].outgoing
        delayed = list(link.peers['entry'].outgoing)
        link.peers['entry'].outgoing.clear()
        world.entries[0].paused = True
        for _ in range(int(RECOVERY_TIME / 0.05)):
            world.advance(0.05)
        world.settle()
        assert len(world.started()) == 2
        link.peers['entry'].outgoing.extend(delayed)
        world.entries[0].resume()
        world.settle()
        finish_all(world)
        assert len(world.started()) == 2
        assert world.answers[ticket][0].state == 'complete'

    def test_grants_are_carried_out_once_the_input_of_a_pause_is_read(
        self,
    ) -> None:
        """An entry that woke up started jobs whose callers had left."""
        world = make_world()
        backlog = PendingBacklog()
        world.engine(1).backlog = backlog
        left = submit(world, 1, 2)
        waiting = submit(world, 1, 2)
        world.settle()
        assert not world.started()
        world.engine(1).fail(left, 'caller has gone')
        backlog.is_over = True
        world.entries[1].application.events.emit('backlog_read')
        world.settle()
        assert len(world.started()) == 2
        finish_all(world)
        assert world.answers[left][0].started is Started.nothing
        assert world.answers[waiting][0].state == 'complete'

    @pytest.mark.parametrize('tasks', [2, 3 * CORES])
    def test_jobs_complete_after_the_lead_is_killed(self, tasks: int) -> None:
        """Granted tasks keep running, and the entry places the rest itself."""
        world = make_world()
        ticket = submit(world, 1, tasks)
        world.settle()
        world.kill(world.entries[0])
        world.settle()
        finish_all(world)
        finish_all(world)
        assert world.answers[ticket][0].state == 'complete'
        assert len(world.started()) == tasks

    def test_resumed_entry_keeps_its_lead(self) -> None:
        """A pause of the entry itself doesn't count as silence of the lead."""
        world = make_world()
        submit(world, 1, 1)
        world.settle()
        world.entries[1].paused = True
        world.advance(0.3)
        world.entries[1].resume()
        assert world.coordination(1).delegate.has_lead()
