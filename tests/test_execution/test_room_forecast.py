"""Tests of starts that a side refuses since no room is expected in time."""

from __future__ import annotations

from jackdawridge.execution.messages import StartBatch, TaskKey
from jackdawridge.execution.room_forecast import ANY_TIME, RoomForecast
from jackdawridge.execution.state import SideState
from jackdawridge.execution.wait_queue import MAX_WAIT_TIME
from tests.test_execution.test_state import (
    ENTRY,
    TICKET,
    make_start,
    make_state,
    refusals,
)

#: Cores of the side of these tests.
CORES = 4


def make_key(task: int) -> TaskKey:
    return TaskKey(TICKET, task, 1)


def run_tasks(state: SideState, run_time: float) -> None:
    """Fill the side with tasks that are expected to take some time."""
    starts = tuple(
        make_start(make_key(task))._replace(run_time=run_time)
        for task in range(CORES)
    )
    assert len(state.admit(ENTRY, StartBatch(1, 1, 0, starts), 0)) == CORES


def send_start(state: SideState, task: int, now: float) -> bool:
    """Send another start and return whether it waits."""
    start = make_start(make_key(task))
    assert not state.admit(ENTRY, StartBatch(2, 1, 0, (start,)), now)
    return start.key() in state.room.wait_queue.keys


class TestForecast:
    def test_wait_is_counted_to_the_last_release_needed(self) -> None:
        forecast = RoomForecast()
        forecast.add(make_key(0), 1, 5)
        forecast.add(make_key(1), 2, 7)
        assert forecast.wait_for(0, 4) == 0
        assert forecast.wait_for(1, 4) == 1
        assert forecast.wait_for(2, 4) == 3
        forecast.remove(make_key(1))
        assert forecast.wait_for(2, 4) == float('inf')

    def test_overdue_task_may_end_at_any_time(self) -> None:
        forecast = RoomForecast()
        forecast.add(make_key(0), 1, 5)
        assert forecast.wait_for(1, 9) == 0
        forecast.add(make_key(0), 1, ANY_TIME)
        assert forecast.wait_for(1, 0) == 0


class TestFullSide:
    """Entries send more starts than fit, since they see the room late."""

    def test_start_is_refused_at_once_without_room_in_time(self) -> None:
        state = make_state()
        run_tasks(state, 2 * MAX_WAIT_TIME)
        assert not send_start(state, CORES, 0)
        assert refusals(state) == ['no room']

    def test_start_waits_for_a_task_that_ends_in_time(self) -> None:
        state = make_state()
        run_tasks(state, 2 * MAX_WAIT_TIME)
        assert send_start(state, CORES, 1.5 * MAX_WAIT_TIME)
        assert not refusals(state)

    def test_starts_ahead_in_the_queue_count(self) -> None:
        """Four tasks end in time, so the fifth start in the queue has none."""
        state = make_state()
        run_tasks(state, MAX_WAIT_TIME / 2)
        waiting = [send_start(state, CORES + number, 0) for number in range(5)]
        assert waiting == [True, True, True, True, False]

    def test_start_is_not_refused_for_adopted_tasks(self) -> None:
        """How long they have run is not known."""
        state = make_state()
        room = state.room.size
        state.room.reserve_unchecked(make_key(0), room)
        assert send_start(state, 1, 0)
