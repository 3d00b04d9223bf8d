"""Tests of successive tasks of a job that are placed at one side."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.execution.messages import Room
from jackdawridge.placement.admission import QueueBounds
from jackdawridge.placement.placement_pass import (
    MAX_TASKS_TOGETHER,
    SPARE_CORE_FRACTION,
    TASKS_PER_TURN,
)
from jackdawridge.placement.placer import Placer
from jackdawridge.placement.policies import LeastLoadPolicy, Policy, RoomPolicy
from jackdawridge.placement.request import Request
from jackdawridge.placement.side_view import SideInfo

SIDES = 8
MEMORY = 10000


def make_placer(policy: Policy, cores: int, tasks: int) -> Placer:
    """Return a placer with empty workers and one job."""
    placer = Placer(policy, QueueBounds(1000))
    info = SideInfo('soweto', cores, MEMORY, 0)
    for number in range(SIDES):
        placer.side_joined(f's{number}', info, 0)
        placer.side_reported(f's{number}', Room(cores, MEMORY, 0, 0), 0, 9)
    requests = [
        Request('t', task, 'payroll', 'kind', 1, 10, 0, 0.1)
        for task in range(tasks)
    ]
    placer.enqueue(requests, 10)
    return placer


def place(policy: Policy, cores: int, tasks: int) -> Counter[str]:
    """Return the number of tasks of one job placed at each empty worker."""
    placer = make_placer(policy, cores, tasks)
    return Counter(placed.side_id for placed in placer.place(10))


class TestTogether:
    def test_tasks_share_sides_with_ample_room(self) -> None:
        counts = place(RoomPolicy('seed'), 64, 2 * MAX_TASKS_TOGETHER)
        assert set(counts.values()) <= {
            MAX_TASKS_TOGETHER,
            2 * MAX_TASKS_TOGETHER,
        }
        assert counts.total() == 2 * MAX_TASKS_TOGETHER

    def test_next_side_is_chosen_when_room_is_short(self) -> None:
        cores = 8
        counts = place(RoomPolicy('seed'), cores, 2 * MAX_TASKS_TOGETHER)
        alone = cores * (1 - SPARE_CORE_FRACTION)
        # The first task at a side needs no spare room.
        assert max(counts.values()) <= max(alone, 1) + SIDES / 2
        assert len(counts) >= 2 * MAX_TASKS_TOGETHER / cores

    def test_large_job_uses_empty_small_workers_at_once(self) -> None:
        assert place(RoomPolicy('seed'), 1, 3 * SIDES).total() == SIDES

    def test_least_load_policy_spreads_tasks(self) -> None:
        counts = place(LeastLoadPolicy(), 64, SIDES)
        assert set(counts.values()) == {1}

    @given(st.integers(1, 16), st.integers(1, 200))
    def test_never_over_room_and_work_conserving(
        self, cores: int, tasks: int
    ) -> None:
        counts = place(RoomPolicy('seed'), cores, tasks)
        assert 1 <= max(counts.values()) <= cores
        if tasks < MAX_TASKS_TOGETHER:
            assert counts.total() == min(tasks, SIDES * cores)


class TestLimit:
    @given(st.integers(1, 50), st.integers(1, 200))
    def test_limited_passes_place_all_tasks(
        self, limit: int, tasks: int
    ) -> None:
        placer = make_placer(RoomPolicy('seed'), 64, tasks)
        placed: list[int] = []
        while placer.queues.queued:
            some = placer.place(10, limit)
            assert min(limit, tasks - len(placed)) <= len(some)
            assert len(some) < limit + TASKS_PER_TURN
            placed += [placement.request.task for placement in some]
        assert sorted(placed) == list(range(tasks))
