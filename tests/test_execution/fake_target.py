"""A target that runs tasks under a lease, with injected faults."""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from jackdawridge.execution.lease_grants import LeaseTiming
from jackdawridge.execution.leased_target import (
    FencedError,
    HoldOrder,
    OtherIncarnationError,
    Run,
    RunEnd,
    StartOrder,
    StartVerdict,
    TargetReport,
)
from jackdawridge.execution.messages import Room
from jackdawridge.execution.starter import parse_task_id
from jackdawridge.execution.target_record import TargetHeartbeat
from jackdawridge.execution.worker import AnswerLostError, NotSentError
from jackdawridge.submission.tickets import job_id_of

#: Longest lease that the target grants, in seconds.
MAX_LEASE_TIME = 1.0
#: Leases of the sides beside such targets.
TIMING = LeaseTiming(
    lease=0.7,
    renewal=0.15,
    drift=0.02,
    stop=0.05,
    target_limit=MAX_LEASE_TIME,
)
#: Timeouts of the side's calls that stay unanswered, in seconds.
ANSWER_TIMEOUT = 0.25
START_TIMEOUT = 0.06
#: Delay after which a late start is carried out, in seconds.
LATE_START_DELAY = 2.5
#: Interval at which leases and late starts are checked, in seconds.
TICK_INTERVAL = 0.02


class LateStart(NamedTuple):
    """A start that is carried out after its caller has timed out."""

    due_at: float
    incarnation: int
    order: StartOrder


class ObservedRun(NamedTuple):
    """A run that was started, with its start time."""

    run: Run
    since: float


class FakeTarget:
    """Implements the protocol of the users' minions, with injected faults.

    It enforces neither exclusiveness nor capacity: a lower attempt of a task
    starts beside a higher one, and a run is started whether it fits or not.
    """

    def __init__(self, clock: Any = None) -> None:
        self.clock = clock or Clock()
        self.id = 'target'
        #: Id of the target that the side addresses, empty for any.
        self.bound_id = ''
        self.incarnation = 0
        self.sequence = 0
        self.boot()
        #: Faults of the next orders, in order: ok, lost, late, vanished,
        #: unseen, refused, delayed, silent, replaced or overtaken.
        self.faults: deque[str] = deque()
        self.is_up = True
        #: Whether no order is answered or carried out.
        self.is_silent = False
        #: Whether stops are neither answered nor carried out.
        self.ignores_stops = False
        self.late_starts: list[LateStart] = []
        #: Unanswered starts that are carried out right before their stop.
        self.starts_before_stop: dict[Run, StartOrder] = {}
        #: All runs that were ever started, for assertions.
        self.history: list[ObservedRun] = []
        self.ended_at: dict[Run, float] = {}
        #: Runs of the orders to stop one, whatever became of them.
        self.stops: list[Run] = []
        self.tick()

    def boot(self) -> None:
        """Reset the state and begin a new incarnation."""
        self.booted = self.clock.seconds()
        started = round(self.booted * 1000)
        self.incarnation = max(self.incarnation + 1, started)
        self.token = 0
        self.lease_until: float = 0
        self.running: dict[Run, float] = {}
        self.ends: list[RunEnd] = []
        self.last_end_position = 0
        self.refused_up_to: dict[str, int] = {}

    def restart(self) -> None:
        """Simulate a crash and an immediate restart."""
        self.boot()

    def heartbeat(self, *, draining: bool = False) -> TargetHeartbeat:
        """Return the next heartbeat."""
        self.sequence += 1
        return TargetHeartbeat(
            self.id,
            self.incarnation,
            self.now(),
            self.sequence,
            'none',
            draining,
            Room(4, 4096, 0, 0),
        )

    def incarnation_and_clock(self) -> tuple[int, float]:
        """Return the incarnation and the clock, as heartbeats report them."""
        return (self.incarnation, self.now())

    def now(self) -> float:
        """Return the time since the start of the incarnation, in seconds."""
        return self.clock.seconds() - self.booted

    def tick(self) -> None:
        """Stop runs whose lease has lapsed and carry out late starts."""
        if self.running and self.now() > self.lease_until:
            for run in tuple(self.running):
                self.end(run, 'stopped', 'lapsed')
        due = [
            late_start
            for late_start in self.late_starts
            if self.clock.seconds() >= late_start.due_at
        ]
        for late_start in due:
            self.late_starts.remove(late_start)
            # A new incarnation that no side has called yet cannot refuse
            # starts for the incarnation before it.
            if self.token or late_start.incarnation == self.incarnation:
                self.carry_out(late_start.order)
        self.clock.callLater(TICK_INTERVAL, self.tick)

    def end(self, run: Run, outcome: str, reason: str = '') -> None:
        """End a run if it is running."""
        if self.running.pop(run, None) is None:
            return
        self.ended_at[run] = self.clock.seconds()
        self.last_end_position += 1
        self.ends.append(RunEnd(self.last_end_position, run, outcome, reason))
        self.refuse_up_to(run)

    def refuse_up_to(self, run: Run) -> None:
        """Refuse this and all lower attempts of the task from now on."""
        self.refused_up_to[run.name] = max(
            self.refused_up_to.get(run.name, 0), run.number
        )

    def extend_lease(self, until: float) -> None:
        """Extend the lease; never shorten it."""
        until = min(until, self.now() + MAX_LEASE_TIME)
        self.lease_until = max(self.lease_until, until)

    def bind(self, target_id: str) -> None:
        self.bound_id = target_id

    def task_name(self, task_id: str) -> str:
        key = parse_task_id(task_id)
        assert key is not None
        return f'{job_id_of(key.ticket) or key.ticket}.{key.task}'

    async def identify(
        self, target_id: str, fencing_token: int
    ) -> TargetReport:
        await self.apply_fault()
        self.check_id(target_id)
        self.check_token(fencing_token)
        report = self.report()
        if self.faults and self.faults[0] == 'overtaken':
            self.faults.popleft()
            await self.wait_seconds(ANSWER_TIMEOUT)
        return report

    async def hold(self, order: HoldOrder) -> TargetReport:
        await self.apply_fault()
        self.check_id(self.bound_id)
        self.check_token(order.fencing_token)
        if order.lease_until is not None:
            self.extend_lease(order.lease_until)
        self.ends = [end for end in self.ends if end.position > order.confirmed]
        until = self.clock.seconds() + order.wait
        while not self.ends and self.clock.seconds() < until:
            await self.wait_seconds(TICK_INTERVAL)
        return self.report()

    def report(self) -> TargetReport:
        return TargetReport(
            self.incarnation,
            self.now(),
            frozenset(self.running),
            tuple(self.ends),
        )

    async def start(self, order: StartOrder) -> StartVerdict:
        if self.is_silent:
            await self.wait_seconds(START_TIMEOUT)
            raise AnswerLostError('silent')
        fault = self.faults.popleft() if self.faults else 'ok'
        if not self.is_up or fault == 'refused':
            raise NotSentError('refused')
        if fault in {'lost', 'late', 'vanished', 'unseen'}:
            await self.lose_answer(order, fault)
        if fault == 'delayed':
            await self.wait_seconds(START_TIMEOUT / 2)
        self.check_id(self.bound_id)
        self.check_token(order.fencing_token)
        return self.carry_out(order)

    async def lose_answer(self, order: StartOrder, fault: str) -> None:
        """Time out without an answer; the fault decides whether it starts."""
        if fault == 'lost':
            self.carry_out(order)
        if fault == 'late':
            due_at = self.clock.seconds() + LATE_START_DELAY
            self.late_starts.append(LateStart(due_at, self.incarnation, order))
        if fault == 'unseen':
            self.starts_before_stop[order.run] = order
        await self.wait_seconds(START_TIMEOUT)
        raise AnswerLostError(fault)

    def carry_out(self, order: StartOrder) -> StartVerdict:
        """Start a run unless the order is fenced, late or superseded."""
        if order.fencing_token < self.token:
            return StartVerdict(started=False, reason='fence')
        self.token = order.fencing_token
        if order.lease_until < self.now():
            return StartVerdict(started=False, reason='late')
        self.extend_lease(order.lease_until)
        if order.run.number <= self.refused_up_to.get(order.run.name, 0):
            return StartVerdict(started=False, reason='old')
        if order.run not in self.running:
            self.running[order.run] = self.clock.seconds()
            self.history.append(ObservedRun(order.run, self.clock.seconds()))
        return StartVerdict(started=True, reason='')

    async def stop(self, run: Run, fencing_token: int) -> None:
        self.stops.append(run)
        await self.apply_fault()
        if self.ignores_stops:
            await self.wait_seconds(START_TIMEOUT)
            raise AnswerLostError('stop was ignored')
        self.check_id(self.bound_id)
        self.check_token(fencing_token)
        hidden_start = self.starts_before_stop.pop(run, None)
        if hidden_start is not None:
            self.carry_out(hidden_start)
        self.refuse_up_to(run)
        self.end(run, 'stopped', 'stopped')

    async def apply_fault(self) -> None:
        """Refuse the connection or leave the call unanswered if so injected."""
        if not self.is_up:
            raise NotSentError('refused')
        if self.is_silent:
            await self.wait_seconds(ANSWER_TIMEOUT)
            raise AnswerLostError('silent')
        if self.faults and self.faults[0] == 'silent':
            self.faults.popleft()
            await self.wait_seconds(ANSWER_TIMEOUT)
            raise AnswerLostError('silent')
        if self.faults and self.faults[0] == 'replaced':
            self.faults.popleft()
            await self.wait_seconds(ANSWER_TIMEOUT)
            raise OtherIncarnationError('another target was there')

    def check_id(self, target_id: str) -> None:
        """Refuse an order for a target with another id."""
        if target_id not in {'', self.id}:
            raise OtherIncarnationError('another target is there')

    def check_token(self, token: int) -> None:
        """Refuse an order with a lower fencing token than the highest seen."""
        if token < self.token:
            raise FencedError('refused: fence')
        self.token = token

    def wait_seconds(self, seconds: float) -> Deferred[None]:
        """Return a `Deferred` that fires after some seconds."""
        waited: Deferred[None] = Deferred()
        self.clock.callLater(seconds, waited.callback, None)
        return waited
