"""Tests of the room of a worker and of memory pressure."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.execution.memory_guard import Action, MemoryGuard, MemoryUse
from jackdawridge.execution.messages import Room, Start, TaskKey
from jackdawridge.execution.room import RoomLedger
from jackdawridge.execution.wait_queue import Waiter

SIZE = Room(16, 1000, 1, 0)


def make_start(task: int, cores: float = 4, memory: float = 10) -> Start:
    """Return a start that requests some room."""
    return Start(
        't', task, task, 'k', 'team', cores, memory, 0, 0.1, '', 0, b''
    )


def fill(ledger: RoomLedger) -> None:
    """Reserve all cores for entry a at time 0."""
    assert all(ledger.reserve('a', make_start(task), 0) for task in range(4))


class TestReservation:
    """Starts reserve the room that they request."""

    def test_released_room_is_free(self) -> None:
        """Released room can be reserved again."""
        ledger = RoomLedger(SIZE)
        fill(ledger)
        assert not ledger.reserve('a', make_start(9), 0)
        ledger.release(make_start(0).key())
        assert ledger.reserve('a', make_start(9), 0)

    def test_measured_usage_replaces_the_estimate(self) -> None:
        """Reserved cores that are measured as unused are free."""
        ledger = RoomLedger(SIZE)
        fill(ledger)
        ledger.measure(make_start(0).key(), 1, 10)
        assert ledger.room_for('a', 0).cores == 3
        assert ledger.reserve('a', make_start(9, cores=3), 0)


class TestOffers:
    """Refused entries are offered the next free room."""

    def test_offered_room_is_held_for_the_entry(self) -> None:
        """Only the entry with the offer can reserve the held room."""
        ledger = RoomLedger(SIZE)
        fill(ledger)
        ledger.add_waiting_entry('b', make_start(9), 0)
        ledger.release(make_start(0).key())
        assert [made.entry for made in ledger.make_offers(0)] == ['b']
        assert not ledger.reserve('a', make_start(8), 0)
        assert ledger.reserve('b', make_start(9), 0)

    def test_held_room_expires(self) -> None:
        """Held room that is not reserved in time is free for others."""
        ledger = RoomLedger(SIZE)
        fill(ledger)
        ledger.add_waiting_entry('b', make_start(9), 0)
        ledger.release(make_start(0).key())
        ledger.make_offers(0)
        assert ledger.reserve('a', make_start(8), 1)

    def test_large_task_is_not_starved(self) -> None:
        """Small tasks must not keep a large one waiting indefinitely."""
        ledger = RoomLedger(SIZE)
        fill(ledger)
        ledger.add_waiting_entry('b', make_start(9, cores=16), 0)
        for task in range(4):
            assert not ledger.make_offers(2)
            ledger.release(make_start(task).key())
            assert not ledger.reserve('c', make_start(20 + task), 2)
        assert ledger.make_offers(2)[0].offer.cores == 16

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(['a', 'b', 'c']),
                st.sampled_from([0.5, 2, 9, 16]),
                st.sampled_from(['start', 'end', 'offer']),
                st.sampled_from([0, 0.05, 0.6]),
            ),
            max_size=60,
        )
    )
    def test_reservations_never_exceed_the_room(
        self, events: list[tuple[str, float, str, float]]
    ) -> None:
        """No sequence of starts, ends and offers exceeds the free room."""
        model = LedgerModel()
        for task, (entry, cores, event, pause) in enumerate(events):
            model.now += pause
            if event == 'start':
                model.start(entry, make_start(task, cores))
            elif event == 'end':
                model.end()
            model.serve()
            held = sum(
                held.room.cores for held in model.ledger.held_rooms.values()
            )
            assert held <= model.ledger.free.cores
        for key in model.running:
            model.ledger.release(key)
        assert model.ledger.free == SIZE


class LedgerModel:
    """A simplified side: reservations, wait queue and offers."""

    def __init__(self) -> None:
        """Initialise the model without tasks."""
        self.ledger = RoomLedger(SIZE)
        self.running: list[TaskKey] = []
        self.now: float = 0

    def start(self, entry: str, start: Start) -> None:
        """Admit, queue or refuse a start."""
        waiter = Waiter(entry, 0, start, self.now)
        if self.ledger.reserve(entry, start, self.now):
            self.running.append(start.key())
        elif not self.ledger.enqueue(waiter):
            self.ledger.add_waiting_entry(entry, start, self.now)

    def end(self) -> None:
        """End the oldest task."""
        if self.running:
            self.ledger.release(self.running.pop(0))

    def serve(self) -> None:
        """Refuse overdue starts, admit queued ones and make offers."""
        if self.ledger.wait_queue.is_overdue(self.now):
            waiter = self.ledger.wait_queue.pop_first()
            self.ledger.add_waiting_entry(waiter.entry, waiter.start, self.now)
        waiting = self.ledger.dequeue_fitting(self.now)
        if waiting is not None:
            self.running.append(waiting.start.key())
        self.ledger.make_offers(self.now)


class TestMemoryGuard:
    """Tasks over their reservation are throttled, then suspended."""

    def decide(self, guard: MemoryGuard, measured: float) -> list[Action]:
        """Return the actions when the first of two tasks uses some memory."""
        tasks = {
            make_start(0).key(): MemoryUse(100, measured),
            make_start(1).key(): MemoryUse(100, 100),
        }
        return [action.action for action in guard.decide(tasks)]

    def test_order_of_actions(self) -> None:
        """A task is throttled, checkpointed and finally resumed."""
        guard = MemoryGuard(1000)
        assert not self.decide(guard, 500)
        assert self.decide(guard, 780) == [Action.throttle]
        assert self.decide(guard, 850) == [Action.checkpoint]
        assert not self.decide(guard, 850)
        guard.suspended[make_start(0).key()] = 500
        assert self.decide(guard, 500) == [Action.resume]

    def test_stop_is_the_last_action(self) -> None:
        """A task is stopped once checkpoints have not helped."""
        guard = MemoryGuard(1000)
        steps: list[Action] = []
        for _ in range(4):
            steps.extend(self.decide(guard, 5000))
            guard.suspended.clear()
        assert steps[-1] == Action.stop
        assert steps.count(Action.stop) == 1
