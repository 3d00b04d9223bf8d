"""Tests of the room of a worker."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.execution.memory_guard import Action, MemoryGuard, MemoryUse
from jackdawridge.execution.messages import Room, Start, TaskKey
from jackdawridge.execution.room import RoomLedger
from jackdawridge.execution.wait_queue import Waiter

SIZE = Room(16, 1000, 1, 0)


def make_start(task: int, cores: float = 4, memory: float = 10) -> Start:
    """Return a start of a size."""
    return Start(
        't', task, task, 'k', 'team', cores, memory, 0, 0.1, '', 0, b''
    )


def fill(ledger: RoomLedger) -> None:
    """Let entry a take all cores at time 0."""
    assert all(ledger.reserve('a', make_start(task), 0) for task in range(4))


class TestReservation:
    """Starts reserve what they ask for."""

    def test_release(self) -> None:
        """What is released can be reserved again."""
        ledger = RoomLedger(SIZE)
        fill(ledger)
        assert not ledger.reserve('a', make_start(9), 0)
        ledger.release(make_start(0).key())
        assert ledger.reserve('a', make_start(9), 0)

    def test_measured_use_counts(self) -> None:
        """Cores that turn out to be unused are free."""
        ledger = RoomLedger(SIZE)
        fill(ledger)
        ledger.measure(make_start(0).key(), 1, 10)
        assert ledger.room_for('a', 0).cores == 3
        assert ledger.reserve('a', make_start(9, cores=3), 0)


class TestOffers:
    """Refused entries get the next free room."""

    def test_room_is_held(self) -> None:
        """Only the entry that waited can take what it was offered."""
        ledger = RoomLedger(SIZE)
        fill(ledger)
        ledger.register('b', make_start(9), 0)
        ledger.release(make_start(0).key())
        assert [made.entry for made in ledger.offers(0)] == ['b']
        assert not ledger.reserve('a', make_start(8), 0)
        assert ledger.reserve('b', make_start(9), 0)

    def test_hold_ends(self) -> None:
        """Room that is offered and not taken is free for others."""
        ledger = RoomLedger(SIZE)
        fill(ledger)
        ledger.register('b', make_start(9), 0)
        ledger.release(make_start(0).key())
        ledger.offers(0)
        assert ledger.reserve('a', make_start(8), 1)

    def test_large_task_gets_its_turn(self) -> None:
        """Small tasks do not keep a large one waiting for ever."""
        ledger = RoomLedger(SIZE)
        fill(ledger)
        ledger.register('b', make_start(9, cores=16), 0)
        for task in range(4):
            assert not ledger.offers(2)
            ledger.release(make_start(task).key())
            assert not ledger.reserve('c', make_start(20 + task), 2)
        assert ledger.offers(2)[0].offer.cores == 16

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
    def test_never_over_room(
        self, events: list[tuple[str, float, str, float]]
    ) -> None:
        """Whatever happens, no more is reserved than there is."""
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
    """A side in small."""

    def __init__(self) -> None:
        """Begin without tasks."""
        self.ledger = RoomLedger(SIZE)
        self.running: list[TaskKey] = []
        self.now: float = 0

    def start(self, entry: str, start: Start) -> None:
        """Admit a start, let it wait or refuse it."""
        waiter = Waiter(entry, 0, start, self.now)
        if self.ledger.reserve(entry, start, self.now):
            self.running.append(start.key())
        elif not self.ledger.join_line(waiter):
            self.ledger.register(entry, start, self.now)

    def end(self) -> None:
        """End the oldest task."""
        if self.running:
            self.ledger.release(self.running.pop(0))

    def serve(self) -> None:
        """Start what waits, refuse what waited too long, send offers."""
        if self.ledger.wait_queue.is_overdue(self.now):
            waiter = self.ledger.wait_queue.leave()
            self.ledger.register(waiter.entry, waiter.start, self.now)
        waiting = self.ledger.next_in_line(self.now)
        if waiting is not None:
            self.running.append(waiting.start.key())
        self.ledger.offers(self.now)


class TestMemoryGuard:
    """Tasks that use too much memory are slowed down, then suspended."""

    def decide(self, guard: MemoryGuard, measured: float) -> list[Action]:
        """Return the steps when the first of two tasks uses some memory."""
        tasks = {
            make_start(0).key(): MemoryUse(100, measured),
            make_start(1).key(): MemoryUse(100, 100),
        }
        return [action.action for action in guard.decide(tasks)]

    def test_order_of_steps(self) -> None:
        """A task is throttled, checkpointed, and goes on later."""
        guard = MemoryGuard(1000)
        assert not self.decide(guard, 500)
        assert self.decide(guard, 780) == [Action.throttle]
        assert self.decide(guard, 850) == [Action.checkpoint]
        assert not self.decide(guard, 850)
        guard.suspended[make_start(0).key()] = 500
        assert self.decide(guard, 500) == [Action.resume]

    def test_stops_last(self) -> None:
        """A task is stopped once checkpoints have not helped."""
        guard = MemoryGuard(1000)
        steps: list[Action] = []
        for _ in range(4):
            steps.extend(self.decide(guard, 5000))
            guard.suspended.clear()
        assert steps[-1] == Action.stop
        assert steps.count(Action.stop) == 1
