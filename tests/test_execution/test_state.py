"""Tests of the admission of starts and the state of tasks at a side."""

from __future__ import annotations

import pytest

from jackdawridge.execution.gate import OpenGate
from jackdawridge.execution.messages import (
    Ending,
    Room,
    Start,
    StartBatch,
    TaskKey,
)
from jackdawridge.execution.room import RoomLedger
from jackdawridge.execution.send_windows import SendWindows
from jackdawridge.execution.sessions import Sessions
from jackdawridge.execution.state import AdoptedTask, SideState

ENTRY = 'run1'
TICKET = 'address~run1~1~code'
WINDOW = 3.0
LEASE = 6.0
KEY = TaskKey(TICKET, 0, 1)


class ClosedGate(OpenGate):
    """A gate that refuses everything."""

    def refusal(self, now: float) -> str:
        return 'failure domain is out of service'


def make_start(key: TaskKey = KEY, cores: float = 1) -> Start:
    return Start(*key, 'kind', 'team', cores, 10, 0, 0.1, '', 0, b'')


def make_state(gate: OpenGate | None = None) -> SideState:
    sessions = Sessions(SendWindows(WINDOW), LEASE)
    ledger = RoomLedger(Room(4, 4096, 0, 0))
    state = SideState(sessions, ledger, gate or OpenGate())
    sessions.open(ENTRY, 0)
    sessions.windows.open(0)
    return state


def admit(
    state: SideState, start: Start, now: float, window: int = 1
) -> tuple[Start, ...]:
    return state.admit(ENTRY, StartBatch(1, window, 0, (start,)), now)


def refusals(state: SideState) -> list[str]:
    outbox = state.sessions.entry(ENTRY, 0).outbox
    return [refusal.reason for refusal in outbox.refusals]


class TestAdmission:
    def test_start_in_its_window_is_admitted(self) -> None:
        state = make_state()
        assert admit(state, make_start(), now=WINDOW) == (make_start(),)

    def test_start_after_its_window_is_refused(self) -> None:
        state = make_state()
        assert not admit(state, make_start(), now=WINDOW + 0.1)
        assert refusals(state) == ['send window is closed']

    def test_window_that_was_never_opened_is_refused(self) -> None:
        state = make_state()
        assert not admit(state, make_start(), now=1, window=2)

    def test_repeated_start_is_not_admitted_again(self) -> None:
        state = make_state()
        admit(state, make_start(), now=1)
        assert not admit(state, make_start(), now=1)
        assert not refusals(state)

    def test_ended_start_is_not_admitted_again(self) -> None:
        state = make_state()
        admit(state, make_start(), now=1)
        state.end(Ending(KEY, 'succeeded', '', b'', 0, 0, 0), 1, 1)
        assert not admit(state, make_start(), now=1)

    def test_refused_start_is_not_admitted_later(self) -> None:
        state = make_state()
        state.draining = True
        assert not admit(state, make_start(), now=1)
        state.draining = False
        assert not admit(state, make_start(), now=1)
        assert len(refusals(state)) == 2

    def test_ticket_of_another_entry_is_refused(self) -> None:
        state = make_state()
        foreign = make_start(TaskKey('address~run2~1~code', 0, 1))
        assert not admit(state, foreign, now=1)
        assert refusals(state) == ['ticket was issued by another entry']

    def test_closed_gate_refuses_with_its_reason(self) -> None:
        state = make_state(ClosedGate())
        assert not admit(state, make_start(), now=1)
        assert refusals(state) == ['failure domain is out of service']


class TestWaitForRoom:
    """A start waits until a task that needs the whole worker has ended."""

    other = TaskKey(TICKET, 1, 2)

    def make_state(self) -> SideState:
        state = make_state()
        admit(state, make_start(cores=4)._replace(run_time=0.05), now=1)
        assert not admit(state, make_start(self.other, cores=4), now=1)
        assert self.other in state.room.wait_queue.keys
        return state

    def free_room(self, state: SideState, now: float) -> tuple[Start, ...]:
        """End the running task and return what is admitted in its place."""
        state.end(Ending(KEY, 'succeeded', '', b'', 0, 0, 0), 1, now)
        return state.admit_waiting(now)

    def test_start_is_admitted_once_it_fits(self) -> None:
        state = self.make_state()
        admitted = self.free_room(state, 1.01)
        assert [start.key() for start in admitted] == [self.other]

    def test_start_whose_gate_shuts_is_not_admitted(self) -> None:
        state = self.make_state()
        state.gate = ClosedGate()
        assert not self.free_room(state, 1.01)
        assert refusals(state) == ['failure domain is out of service']
        assert state.room.free.cores == 4

    def test_start_at_a_side_that_closes_is_not_admitted(self) -> None:
        state = self.make_state()
        state.closed_reason = 'target is away'
        assert not self.free_room(state, 1.01)
        assert refusals(state) == ['target is away']

    def test_start_that_its_entry_was_told_not_to_run_is_not_admitted(
        self,
    ) -> None:
        """The entry has lost the link and asked what became of the start."""
        state = self.make_state()
        resolution = state.resolve(ENTRY, (self.other,), knows_all=True, now=1)
        assert resolution.fenced == (self.other,)
        assert not self.free_room(state, 1.01)

    def test_cancelled_start_is_not_admitted(self) -> None:
        state = self.make_state()
        state.cancel(ENTRY, (TICKET,), 'cancelled', 1)
        assert not self.free_room(state, 1.01)


class TestResolution:
    @pytest.mark.parametrize('knows_all', [True, False])
    def test_only_the_asked_incarnation_fences_unknown_starts(
        self, knows_all: bool
    ) -> None:
        state = make_state()
        resolution = state.resolve(ENTRY, (KEY,), knows_all=knows_all, now=1)
        assert bool(resolution.fenced) is knows_all
        assert not resolution.running
        assert not admit(state, make_start(), now=1)

    def test_running_and_adopted_tasks_are_reported(self) -> None:
        state = make_state()
        admit(state, make_start(), now=1)
        adopted = TaskKey(TICKET, 1, 2)
        state.adopt([AdoptedTask(adopted, Room(1, 10, 0, 1))], 1)
        resolution = state.resolve(
            ENTRY, (KEY, adopted), knows_all=False, now=1
        )
        assert resolution.running == (KEY, adopted)

    def test_ended_task_is_reported_by_its_ending_alone(self) -> None:
        state = make_state()
        admit(state, make_start(), now=1)
        state.end(Ending(KEY, 'succeeded', '', b'', 0, 0, 0), 1, 1)
        resolution = state.resolve(ENTRY, (KEY,), knows_all=True, now=1)
        assert not resolution.fenced
        assert not resolution.running


class TestLeases:
    def test_orphans_are_stopped_when_the_lease_lapses(self) -> None:
        state = make_state()
        admit(state, make_start(), now=1)
        state.confirm(KEY)
        assert not state.sweep(LEASE)
        assert state.sweep(LEASE + 0.1) == [KEY]
        assert not state.sweep(LEASE + 0.2)

    def test_reply_to_an_old_heartbeat_renews_nothing(self) -> None:
        state = make_state()
        state.sessions.windows.open(LEASE)
        state.sessions.renew(ENTRY, 1, LEASE)
        assert state.sessions.lapsed(LEASE + 0.1)

    def test_reply_renews_from_the_time_of_the_heartbeat(self) -> None:
        state = make_state()
        state.sessions.renew(ENTRY, state.sessions.windows.open(2), 4)
        assert not state.sessions.lapsed(2 + LEASE)
        assert state.sessions.lapsed(2 + LEASE + 0.1)


class TestCancellation:
    def test_task_that_is_starting_is_stopped_once_it_runs(self) -> None:
        state = make_state()
        admit(state, make_start(), now=1)
        assert not state.cancel(ENTRY, (TICKET,), 'cancelled', 1)
        assert state.confirm(KEY)

    def test_reason_of_the_stop_is_reported(self) -> None:
        state = make_state()
        admit(state, make_start(), now=1)
        state.confirm(KEY)
        assert state.cancel(ENTRY, (TICKET,), 'cancelled', 1) == [KEY]
        state.end(Ending(KEY, 'stopped', '', b'', 0, 0, 0), 1, 1)
        endings = state.sessions.entry(ENTRY, 1).outbox.endings
        assert [ending.reason for ending in endings] == ['cancelled']
