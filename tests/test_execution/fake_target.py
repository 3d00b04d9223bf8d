"""A target that runs tasks under leases, with orders that go astray."""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from jackdawridge.execution.leases import (
    FencedError,
    HoldOrder,
    Run,
    RunEnd,
    StartOrder,
    StartVerdict,
    TargetReport,
)
from jackdawridge.execution.messages import Room
from jackdawridge.execution.starter import read_id
from jackdawridge.execution.target import TargetNews
from jackdawridge.execution.worker import AnswerLostError, NotSentError
from jackdawridge.submission.tickets import job_id_of

#: Longest lease that the target grants, in seconds.
MOST_LEASE = 1.0
#: Times after which calls without an answer are given up, in seconds.
ANSWER_TIME = 0.25
ORDER_TIME = 0.06
#: Time after which a late order is carried out, in seconds.
LATENESS = 2.5
#: Interval at which ends and leases are looked at, in seconds.
TICK = 0.02


class LateOrder(NamedTuple):
    """An order that is carried out after its caller has given up."""

    at: float
    incarnation: int
    order: StartOrder


class Started(NamedTuple):
    """A run as an observer of the target has seen it."""

    run: Run
    since: float


class FakeTarget:
    """Follows the rules of the users' minions.

    It guards nothing: a lower run starts beside a higher one, and whatever is
    ordered is started, whether it fits or not.
    """

    def __init__(self, clock: Any = None) -> None:
        self.clock = clock or Clock()
        self.incarnation = 0
        self.sequence = 0
        self.boot()
        #: How the next orders go: ok, lost, late, vanished or refused.
        self.moods: deque[str] = deque()
        self.is_up = True
        self.late: list[LateOrder] = []
        #: Orders that are carried out right before their stop.
        self.unseen: dict[Run, StartOrder] = {}
        #: All runs that were ever started, for checks.
        self.history: list[Started] = []
        self.ended_at: dict[Run, float] = {}
        self.tick()

    def boot(self) -> None:
        """Know nothing, as after a crash."""
        self.booted = self.clock.seconds()
        started = round(self.booted * 1000)
        self.incarnation = max(self.incarnation + 1, started)
        self.token = 0
        self.lease_until: float = 0
        self.running: dict[Run, float] = {}
        self.ends: list[RunEnd] = []
        self.ended = 0
        self.blocked: dict[str, int] = {}

    def restart(self) -> None:
        """Crash and come back at once as another incarnation."""
        self.boot()

    def heartbeat(self, *, draining: bool = False) -> TargetNews:
        """Return the next heartbeat."""
        self.sequence += 1
        return TargetNews(
            'target',
            self.incarnation,
            self.now(),
            self.sequence,
            'none',
            draining,
            Room(4, 4096, 0, 0),
        )

    def introduce(self) -> tuple[int, float]:
        """Return incarnation and clock, as a heartbeat has them."""
        return (self.incarnation, self.now())

    def now(self) -> float:
        """Return the target's own time, which its incarnation begins."""
        return self.clock.seconds() - self.booted

    def tick(self) -> None:
        """End what has no lease, and carry out what is late."""
        if self.running and self.now() > self.lease_until:
            for run in tuple(self.running):
                self.end(run, 'stopped', 'lapsed')
        due = [late for late in self.late if self.clock.seconds() >= late.at]
        for late in due:
            self.late.remove(late)
            # No side can keep an incarnation that it has not called yet
            # from carrying out what was meant for the one before.
            if self.token or late.incarnation == self.incarnation:
                self.carry_out(late.order)
        self.clock.callLater(TICK, self.tick)

    def end(self, run: Run, outcome: str, reason: str = '') -> None:
        """End a run that is running."""
        if self.running.pop(run, None) is None:
            return
        self.ended_at[run] = self.clock.seconds()
        self.ended += 1
        self.ends.append(RunEnd(self.ended, run, outcome, reason))
        self.block(run)

    def block(self, run: Run) -> None:
        """Refuse runs of the task up to this one from now on."""
        self.blocked[run.name] = max(self.blocked.get(run.name, 0), run.number)

    def extend(self, until: float) -> None:
        """Let the lease last longer, never shorter."""
        until = min(until, self.now() + MOST_LEASE)
        self.lease_until = max(self.lease_until, until)

    def aim(self, target_id: str) -> None:
        """Do nothing: there is one target only."""

    def name_of(self, task_id: str) -> str:
        key = read_id(task_id)
        assert key is not None
        return f'{job_id_of(key.ticket) or key.ticket}.{key.task}'

    async def hold(self, order: HoldOrder) -> TargetReport:
        await self.pass_mood()
        self.fence(order.fencing_token)
        if order.lease_until is not None:
            self.extend(order.lease_until)
        self.ends = [end for end in self.ends if end.position > order.confirmed]
        until = self.clock.seconds() + order.wait
        while not self.ends and self.clock.seconds() < until:
            await self.pause(TICK)
        return TargetReport(
            self.incarnation,
            self.now(),
            frozenset(self.running),
            tuple(self.ends),
        )

    async def start(self, order: StartOrder) -> StartVerdict:
        mood = self.moods.popleft() if self.moods else 'ok'
        if not self.is_up or mood == 'refused':
            raise NotSentError('refused')
        if mood in {'lost', 'late', 'vanished', 'unseen'}:
            await self.go_astray(order, mood)
        self.fence(order.fencing_token)
        return self.carry_out(order)

    async def go_astray(self, order: StartOrder, mood: str) -> None:
        """Answer nothing, whether the order is carried out or not."""
        if mood == 'lost':
            self.carry_out(order)
        if mood == 'late':
            at = self.clock.seconds() + LATENESS
            self.late.append(LateOrder(at, self.incarnation, order))
        if mood == 'unseen':
            self.unseen[order.run] = order
        await self.pause(ORDER_TIME)
        raise AnswerLostError(mood)

    def carry_out(self, order: StartOrder) -> StartVerdict:
        """Start a run unless the order is outdated."""
        if order.fencing_token < self.token:
            return StartVerdict(started=False, reason='fence')
        self.token = order.fencing_token
        if order.lease_until < self.now():
            return StartVerdict(started=False, reason='late')
        self.extend(order.lease_until)
        if order.run.number <= self.blocked.get(order.run.name, 0):
            return StartVerdict(started=False, reason='old')
        if order.run not in self.running:
            self.running[order.run] = self.clock.seconds()
            self.history.append(Started(order.run, self.clock.seconds()))
        return StartVerdict(started=True, reason='')

    async def stop(self, run: Run, fencing_token: int) -> None:
        await self.pass_mood()
        self.fence(fencing_token)
        unseen = self.unseen.pop(run, None)
        if unseen is not None:
            self.carry_out(unseen)
        self.block(run)
        self.end(run, 'stopped', 'stopped')

    async def pass_mood(self) -> None:
        """Lose some of the other orders too."""
        if not self.is_up:
            raise NotSentError('refused')
        if self.moods and self.moods[0] == 'silent':
            self.moods.popleft()
            await self.pause(ANSWER_TIME)
            raise AnswerLostError('silent')

    def fence(self, token: int) -> None:
        """Refuse orders of those who have been replaced."""
        if token < self.token:
            raise FencedError('refused: fence')
        self.token = token

    def pause(self, seconds: float) -> Deferred[None]:
        """Return what fires after a while."""
        waited: Deferred[None] = Deferred()
        self.clock.callLater(seconds, waited.callback, None)
        return waited
