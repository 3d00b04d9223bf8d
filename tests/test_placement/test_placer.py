"""Tests of the placer with sides that are modelled in memory."""

from __future__ import annotations

from jackdawridge.execution.messages import Offer, Room
from tests.test_placement.placers import (
    finish,
    make_job,
    make_placer,
    make_request,
)


class TestPlacing:
    """Tasks are placed at sides with room."""

    def test_job_is_spread_over_sides(self) -> None:
        """The tasks of a job are placed at all sides in one pass."""
        placer = make_placer()
        placer.enqueue(make_job(24), 10)
        placements = placer.place(10)
        assert len(placements) == 24
        assert {found.side_id for found in placements} == {'s0', 's1', 's2'}

    def test_task_waits_for_room(self) -> None:
        """A task that does not fit is placed once room is reported."""
        placer = make_placer(sides=1)
        placer.enqueue(make_job(18), 10)
        placements = placer.place(10)
        assert len(placements) == 16
        placer.sent('s0', 1, placements)
        finish(placer, placements[0], 10.1)
        placer.side_reported('s0', Room(1, 990, 1, 15), 1, 10.1)
        assert len(placer.place(10.1)) == 1

    def test_unreported_starts_reserve_room(self) -> None:
        """A report older than a batch does not free the room of the batch."""
        placer = make_placer(sides=1)
        placer.enqueue(make_job(16), 10)
        placer.sent('s0', 1, placer.place(10))
        placer.enqueue([make_request('u')], 10)
        placer.side_reported('s0', Room(16, 1000, 1, 0), 0, 10)
        assert not placer.place(10)

    def test_small_task_overtakes_large_one(self) -> None:
        """Room too small for the first task is used by a later one."""
        placer = make_placer(sides=1)
        placer.side_reported('s0', Room(4, 1000, 1, 0), 0, 10)
        placer.enqueue([make_request('large', cores=8)], 10)
        placer.enqueue([make_request('small')], 10)
        placement = placer.place(10)[0]
        assert placement.request.ticket == 'small'

    def test_large_task_requests_room(self) -> None:
        """A task that has waited long requests room and gets the offer."""
        placer = make_placer(sides=1)
        placer.side_reported('s0', Room(4, 1000, 1, 0), 0, 10)
        placer.enqueue([make_request('large', cores=8)], 10)
        assert not placer.place(10)
        room_request = placer.place(11.5)[0]
        placer.sent('s0', 1, (room_request,))
        placer.refused(room_request.request.key, 's0', 'no room', 11.5)
        placer.enqueue([make_request('small', cores=8)], 11.5)
        placer.offer_received('s0', Offer(8, 500, 0, 1), 11.6)
        placement = placer.place(11.6)[0]
        assert placement.request.ticket == 'large'

    def test_cancelled_tasks_are_never_placed(self) -> None:
        """Cancelling a job removes all its tasks from the queue."""
        placer = make_placer()
        placer.enqueue(make_job(9), 10)
        assert placer.cancel('t') == 9
        assert not placer.place(10)

    def test_accelerators(self) -> None:
        """Accelerators limit placements as cores do."""
        placer = make_placer()
        tasks = [make_request(task=task, accelerators=1) for task in range(5)]
        placer.enqueue(tasks, 10)
        assert len(placer.place(10)) == 3

    def test_large_job_leaves_headroom(self) -> None:
        """A large job leaves room for others, also when it has waited."""
        placer = make_placer(sides=1)
        placer.enqueue(make_job(40), 10)
        placements = placer.place(10)
        assert 12 <= len(placements) < 16
        placer.enqueue([make_request('small')], 10)
        assert len(placer.place(10)) == 1
        placer.place(11)
        placer.enqueue([make_request('late')], 11)
        assert [found.request.ticket for found in placer.place(11)] == ['late']

    def test_large_job_uses_all_room_in_the_end(self) -> None:
        """A large job that has waited long leaves no headroom."""
        placer = make_placer(sides=1)
        placer.enqueue(make_job(40), 10)
        placements = placer.place(10)
        late = placer.queues.jobs['t'].standing.deadline + 3
        later = [
            found for found in placer.place(late) if found.reason == 'most room'
        ]
        assert len(placements) + len(later) == 16

    def test_many_misfits_do_not_block_others(self) -> None:
        """A job with many different tasks that do not fit blocks no other."""
        placer = make_placer(sides=1)
        placer.side_reported('s0', Room(2, 1000, 1, 0), 0, 10)
        tasks = [
            make_request('large', task, cores=4 + task / 100)
            for task in range(200)
        ]
        placer.enqueue(tasks, 10)
        placer.enqueue([make_request('small')], 30)
        placed = placer.place(30)
        assert 'small' in {found.request.ticket for found in placed}


class TestFailureDomains:
    """Failure domains leave service at once and return with a ramp."""

    def test_out_of_service_and_back(self) -> None:
        """Nothing is placed while out of service; the return ramps up."""
        placer = make_placer(sides=1)
        placer.enqueue(make_job(16), 10)
        placer.domain_changed('soweto', in_service=False, now=10)
        assert not placer.place(10)
        placer.domain_changed('soweto', in_service=True, now=20)
        first = len(placer.place(20))
        assert 0 < first < 16
        assert first + len(placer.place(22)) == 16


class TestRefusal:
    """Jobs are refused early and as a whole."""

    def test_full_queue_refuses_job(self) -> None:
        """A full queue refuses a job with a time to retry after."""
        placer = make_placer(sides=0, limit=10)
        placer.enqueue(make_job(4), 0)
        refusal = placer.enqueue(make_job(4, 'u'), 0)
        assert refusal.unwrap_err().retry_after > 0
        assert placer.queues.queued == 4

    def test_task_that_fits_no_worker_is_rejected(self) -> None:
        """It is rejected at once, but not while sides may still join."""
        placer = make_placer()
        placer.enqueue([make_request(cores=17)], 1)
        assert not placer.reject_impossible(2)
        assert 'no worker' in placer.reject_impossible(4)[0].reason
        placer.enqueue([make_request(cores=17)], 10)
        assert 'no worker' in placer.reject_impossible(10)[0].reason
