"""Tests of the placer, driven against sides that are modelled in memory."""

from __future__ import annotations

from jackdawridge.execution.messages import Offer, Room
from tests.test_placement.placers import (
    finish,
    make_job,
    make_placer,
    make_request,
)


class TestPlacing:
    """Tasks go where there is room."""

    def test_spreads_a_job(self) -> None:
        """The tasks of a job go to all sides at once."""
        placer = make_placer()
        placer.enqueue(make_job(24), 10)
        placements = placer.place(10)
        assert len(placements) == 24
        assert {found.side_id for found in placements} == {'s0', 's1', 's2'}

    def test_waits_for_room(self) -> None:
        """What does not fit waits and is placed when room is reported."""
        placer = make_placer(sides=1)
        placer.enqueue(make_job(18), 10)
        placements = placer.place(10)
        assert len(placements) == 16
        placer.sent('s0', 1, placements)
        finish(placer, placements[0], 10.1)
        placer.side_reported('s0', Room(1, 990, 1, 15), 1, 10.1)
        assert len(placer.place(10.1)) == 1

    def test_starts_under_way_count(self) -> None:
        """A report that is older than a batch does not free its room."""
        placer = make_placer(sides=1)
        placer.enqueue(make_job(16), 10)
        placer.sent('s0', 1, placer.place(10))
        placer.enqueue([make_request('u')], 10)
        placer.side_reported('s0', Room(16, 1000, 1, 0), 0, 10)
        assert not placer.place(10)

    def test_small_task_passes_a_large_one(self) -> None:
        """Room that the first task cannot use does not stay empty."""
        placer = make_placer(sides=1)
        placer.side_reported('s0', Room(4, 1000, 1, 0), 0, 10)
        placer.enqueue([make_request('large', cores=8)], 10)
        placer.enqueue([make_request('small')], 10)
        placement = placer.place(10)[0]
        assert placement.request.ticket == 'small'

    def test_large_task_asks_for_room(self) -> None:
        """A task that waits too long registers and takes the offer."""
        placer = make_placer(sides=1)
        placer.side_reported('s0', Room(4, 1000, 1, 0), 0, 10)
        placer.enqueue([make_request('large', cores=8)], 10)
        assert not placer.place(10)
        room_requests = placer.place(11.5)[0]
        placer.sent('s0', 1, (room_requests,))
        placer.refused(room_requests.request.key, 's0', 'no room', 11.5)
        placer.enqueue([make_request('small', cores=8)], 11.5)
        placer.offer_received('s0', Offer(8, 500, 0, 1), 11.6)
        placement = placer.place(11.6)[0]
        assert placement.request.ticket == 'large'

    def test_cancelled_tasks_are_never_placed(self) -> None:
        """A cancelled job leaves the queue whole."""
        placer = make_placer()
        placer.enqueue(make_job(9), 10)
        assert placer.cancel('t') == 9
        assert not placer.place(10)

    def test_accelerators(self) -> None:
        """Accelerators are counted as cores are."""
        placer = make_placer()
        tasks = [make_request(task=task, accelerators=1) for task in range(5)]
        placer.enqueue(tasks, 10)
        assert len(placer.place(10)) == 3

    def test_large_job_leaves_headroom(self) -> None:
        """A large job leaves room for others, also after a while."""
        placer = make_placer(sides=1)
        placer.enqueue(make_job(40), 10)
        placements = placer.place(10)
        assert 12 <= len(placements) < 16
        placer.enqueue([make_request('small')], 10)
        assert len(placer.place(10)) == 1
        placer.place(11)
        placer.enqueue([make_request('late')], 11)
        assert [found.request.ticket for found in placer.place(11)] == ['late']

    def test_large_job_takes_all_in_the_end(self) -> None:
        """A large job that has waited long leaves nothing free."""
        placer = make_placer(sides=1)
        placer.enqueue(make_job(40), 10)
        placements = placer.place(10)
        late = placer.queues.jobs['t'].standing.deadline + 3
        later = [
            found for found in placer.place(late) if found.reason == 'most room'
        ]
        assert len(placements) + len(later) == 16

    def test_large_jobs_of_many_kinds_hold_up_nobody(self) -> None:
        """Tasks that do not fit, however many, keep no other from a try."""
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
    """Failure domains leave at once and return with a ramp."""

    def test_out_and_in(self) -> None:
        """Nothing is placed while out; a part at once after the return."""
        placer = make_placer(sides=1)
        placer.enqueue(make_job(16), 10)
        placer.domain_changed('soweto', in_service=False, now=10)
        assert not placer.place(10)
        placer.domain_changed('soweto', in_service=True, now=20)
        first = len(placer.place(20))
        assert 0 < first < 16
        assert first + len(placer.place(22)) == 16


class TestRefusal:
    """Jobs are refused whole and early."""

    def test_overload(self) -> None:
        """A full queue refuses with a time to wait."""
        placer = make_placer(sides=0, limit=10)
        placer.enqueue(make_job(4), 0)
        refusal = placer.enqueue(make_job(4, 'u'), 0)
        assert refusal.unwrap_err().retry_after > 0
        assert placer.queues.queued == 4

    def test_impossible(self) -> None:
        """A task that fits no worker is returned after a while."""
        placer = make_placer()
        placer.enqueue([make_request(cores=17)], 10)
        assert not placer.expire(11)
        impossible = placer.expire(14)[0]
        assert 'no worker' in impossible.reason
