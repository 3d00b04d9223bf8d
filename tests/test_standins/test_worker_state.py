"""Tests of the model of a worker."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.standins.messages import Order, TaskEvent
from jackdawridge.standins.shared_processors import Resources
from jackdawridge.standins.worker_state import WorkerState


def make_order(name: str = 't|0|1', **behaviour: Any) -> Order:
    return {
        'id': name,
        'kind': 'k',
        'payload': json.dumps(behaviour).encode(),
        'cores': 1,
        'memory': 100,
        'accelerators': 0,
        'lease': 1000,
    }


def single_event(events: list[TaskEvent]) -> TaskEvent:
    assert len(events) == 1
    return events[0]


def make_state(cores: float = 4, memory: float = 1000) -> WorkerState:
    return WorkerState(Resources(cores, memory), 0)


class TestSharing:
    def test_tasks_that_fit_run_at_full_speed(self) -> None:
        state = make_state()
        for task in range(4):
            state.start(make_order(f't|{task}|1', seconds=1), 0)
        assert not state.advance(0.99)
        assert len(state.advance(1)) == 4

    def test_tasks_over_the_cores_slow_down_together(self) -> None:
        state = make_state()
        state.start(make_order('t|0|1', seconds=1, cores=4), 0)
        state.start(make_order('t|1|1', seconds=2, cores=4), 0)
        assert state.next_end() == pytest.approx(2)
        ended = single_event(state.advance(2.5))
        assert ended['id'] == 't|0|1'
        assert state.next_end() == pytest.approx(3)

    def test_throttling_lengthens_run_time(self) -> None:
        state = make_state()
        state.start(make_order(seconds=1), 0)
        state.throttle(['t|0|1'], 0.5, 0.5)
        assert state.next_end() == pytest.approx(1.5)

    def test_slowdown_lengthens_run_time(self) -> None:
        state = make_state()
        state.start(make_order(seconds=1), 0)
        state.slow_down(10, 0.5)
        assert state.next_end() == pytest.approx(5.5)

    @given(
        st.lists(
            st.tuples(st.floats(0, 2), st.floats(0.1, 8), st.floats(0, 1)),
            max_size=12,
        )
    )
    def test_work_takes_what_the_cores_allow(
        self, tasks: list[tuple[float, float, float]]
    ) -> None:
        state = make_state(cores=4, memory=10000)
        now: float = 0
        ended = []
        for number, (seconds, cores, pause) in enumerate(tasks):
            now += pause
            order = make_order(f't|{number}|1', seconds=seconds, cores=cores)
            ended += state.start(order, now)
        ended += state.advance(1000)
        last = max((end['run_time'] for end in ended), default=0) + now
        work = sum(seconds * cores for seconds, cores, _ in tasks)
        assert len(ended) == len(tasks)
        assert last >= work / 4 - 0.001
        for event in ended:
            number = int(event['id'].split('|')[1])
            assert event['run_time'] >= tasks[number][0] - 0.001


class TestMemory:
    def test_largest_task_fails_when_memory_is_exceeded(self) -> None:
        state = make_state()
        state.start(make_order('t|0|1', seconds=1, memory=600), 0)
        ended = single_event(
            state.start(make_order('t|1|1', seconds=1, memory=500), 0)
        )
        assert (ended['id'], ended['reason']) == ('t|0|1', 'out of memory')
        assert set(state.running) == {'t|1|1'}

    def test_checkpoint_releases_memory_until_resumed(self) -> None:
        state = make_state()
        state.start(make_order('t|0|1', seconds=1, memory=600), 0)
        state.checkpoint(['t|0|1'], 0.5)
        assert not state.start(make_order('t|1|1', seconds=1, memory=500), 0.5)
        assert len(state.advance(2)) == 1
        state.throttle(['t|0|1'], 1, 2)
        assert state.next_end() == pytest.approx(2.5, abs=0.001)


class TestEnds:
    def test_answer_comes_from_the_payload(self) -> None:
        state = make_state()
        state.start(make_order(answer='yes'), 0)
        ended = single_event(state.advance(0))
        assert (ended['state'], ended['answer']) == ('succeeded', b'yes')

    def test_task_with_an_invalid_payload_fails(self) -> None:
        state = make_state()
        state.start({**make_order(), 'payload': b'?'}, 0)
        ended = single_event(state.advance(0))
        assert ended['state'] == 'failed'

    def test_fault_fails_all_tasks(self) -> None:
        state = make_state()
        state.fail_all = True
        ended = single_event(state.start(make_order(seconds=1), 0))
        assert ended['state'] == 'failed'

    def test_lapsed_lease_stops_a_task(self) -> None:
        state = make_state()
        state.start({**make_order(seconds=9), 'lease': 2}, 0)
        state.renew(['t|0|1'], 2, 1)
        assert not state.stop_lapsed(2.5)
        ended = single_event(state.stop_lapsed(3.5))
        assert (ended['state'], ended['reason']) == ('stopped', 'lease lapsed')

    def test_events_are_kept_until_forgotten(self) -> None:
        state = make_state()
        for task in range(3):
            state.start(make_order(f't|{task}|1'), 0)
        state.advance(0)
        state.forget(2)
        assert list(state.events) == [3]

    def test_second_start_of_an_id_stops_the_first_run(self) -> None:
        state = make_state()
        state.start(make_order(seconds=1), 0)
        ended = single_event(state.start(make_order(seconds=1), 0.5))
        assert ended['state'] == 'stopped'
        assert state.next_end() == pytest.approx(1.5)
