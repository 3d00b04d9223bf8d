"""A modelled side with its worker."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.execution.messages import Room, Start
from jackdawridge.execution.room import RoomLedger
from jackdawridge.execution.wait_queue import MAX_WAIT_TIME, Waiter
from jackdawridge.placement.side_view import SideInfo

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.trial_entry import TrialEntry
    from benchmarks.trial_fleet import Trial
    from benchmarks.workload import Task
    from jackdawridge.placement.request import Placement

#: Time that a side, its worker and the messages add to a task, in seconds.
OVERHEAD = 0.004

#: Cores that a side gives out over those of its worker.
OVERSUBSCRIPTION = 1.3

#: Interval at which sides report to all entries, in seconds.
HEARTBEAT = 1.0

#: Interval at which workers report use, in seconds.
USAGE_INTERVAL = 0.5


class Running(NamedTuple):
    """A task that runs at a modelled worker."""

    entry: TrialEntry
    start: Start
    task: Task
    #: Work at which the task is done, on the worker's own scale.
    finish: float
    began: float


class TrialSide:
    """A side with a worker whose tasks share the cores.

    :param fleet: that it is part of.
    :param number: of the side.
    """

    def __init__(self, fleet: Trial, number: int) -> None:
        """Begin without tasks."""
        deployment = fleet.deployment
        self.fleet = fleet
        self.side_id = f'side-{number}'
        self.info = SideInfo(
            deployment.domain(number), deployment.cores, deployment.memory, 0
        )
        self.ledger = RoomLedger(
            Room(deployment.cores * OVERSUBSCRIPTION, deployment.memory, 0, 0)
        )
        self.running: dict[object, Running] = {}
        self.progress: float = 0
        self.advanced_at: float = 0
        self.slowdown: float = 1
        self.fails_all = False
        self.version = 0
        self.processed: dict[TrialEntry, int] = defaultdict(int)

    def speed(self) -> float:
        """Return the speed of each task."""
        used = sum(one.task.cores for one in self.running.values())
        return self.info.cores / max(self.info.cores, used) / self.slowdown

    def advance(self) -> None:
        """Let tasks progress up to now."""
        now = self.fleet.loop.now
        self.progress += (now - self.advanced_at) * self.speed()
        self.advanced_at = now

    def receive(
        self, entry: TrialEntry, number: int, batch: list[Placement]
    ) -> None:
        """Admit or refuse starts.

        :param entry: that sent them.
        :param number: of the batch.
        :param batch: the starts.
        """
        self.advance()
        self.processed[entry] = number
        refused = []
        for placement in batch:
            start = make_start(placement)
            now = self.fleet.loop.now
            waiter = Waiter(entry.name, 0, start, now)
            if self.ledger.reserve(entry.name, start, now):
                self.begin(entry, start)
            elif self.ledger.enqueue(waiter):
                self.fleet.loop.later(MAX_WAIT_TIME, self.serve_line)
            else:
                refused.append(start)
        self.refuse(entry, refused)
        self.arm()

    def refuse(self, entry: TrialEntry, starts: list[Start]) -> None:
        """Refuse starts and remember the entry.

        :param entry: that sent them.
        :param starts: of its tasks.
        """
        for start in starts:
            entry.refusals += 1
            self.ledger.add_waiting_entry(
                entry.name, start, self.fleet.loop.now
            )
        if starts:
            self.reply(entry, entry.refused, starts)

    def serve_line(self) -> None:
        """Start or refuse what waits in line."""
        self.advance()
        now = self.fleet.loop.now
        line = self.ledger.wait_queue
        while line.is_overdue(now):
            waiter = line.pop_first()
            self.refuse(self.fleet.entry(waiter.entry), [waiter.start])
        waiting = self.ledger.dequeue_fitting(now)
        while waiting is not None:
            self.begin(self.fleet.entry(waiting.entry), waiting.start)
            waiting = self.ledger.dequeue_fitting(now)
        self.arm()

    def begin(self, entry: TrialEntry, start: Start) -> None:
        """Let a task run.

        :param entry: whose task it is.
        :param start: of the task.
        """
        task = self.fleet.jobs[start.ticket].tasks[start.task]
        seconds = 0 if self.fails_all else task.seconds
        finish = self.progress + seconds
        self.running[start.key()] = Running(
            entry, start, task, finish, self.fleet.loop.now
        )

    def arm(self) -> None:
        """Wait for the next end."""
        self.version += 1
        if self.running:
            first = min(one.finish for one in self.running.values())
            delay = max(0, (first - self.progress) / self.speed())
            self.fleet.loop.later(delay, self.end_due, self.version)

    def end_due(self, version: int) -> None:
        """End the tasks that are done.

        :param version: of the timer; an older one does nothing.
        """
        if version != self.version:
            return
        self.advance()
        ended: list[Running] = []
        for key, one in tuple(self.running.items()):
            if one.finish <= self.progress + 1e-9:
                self.running.pop(key)
                self.ledger.release(one.start.key())
                self.fleet.busy.append(
                    (one.began, self.fleet.loop.now, one.task.cores)
                )
                ended.append(one)
        self.serve_line()
        for done in ended:
            self.reply(done.entry, done.entry.ended, done, self.fails_all)
        self.offer()
        self.arm()

    def offer(self) -> None:
        """Send offers to entries that wait."""
        for made in self.ledger.make_offers(self.fleet.loop.now):
            entry = self.fleet.entry(made.entry)
            entry.offers += 1
            self.fleet.loop.later(
                self.fleet.deployment.latency, entry.offered, self, made.offer
            )

    def reply(
        self, entry: TrialEntry, call: Callable[..., None], *args: object
    ) -> None:
        """Send something to an entry, with the room.

        :param entry: to whom.
        :param call: of the entry.
        :param args: of the call.
        """
        room = self.ledger.room_for(entry.name, self.fleet.loop.now)
        processed = self.processed[entry]
        delay = self.fleet.deployment.latency + OVERHEAD / 2
        self.fleet.loop.later(delay, call, self, room, processed, *args)

    def heartbeat(self) -> None:
        """Report room to all entries, again and again."""
        self.offer()
        for entry in self.fleet.entries:
            self.reply(entry, entry.reported)
        self.fleet.loop.later(HEARTBEAT, self.heartbeat)

    def report_usage(self) -> None:
        """Measure tasks, again and again."""
        speed = self.speed()
        for one in self.running.values():
            self.ledger.measure(
                one.start.key(), one.task.cores * speed, one.task.memory
            )
        self.fleet.loop.later(USAGE_INTERVAL, self.report_usage)


def make_start(placement: Placement) -> Start:
    """Return the start of a placement."""
    request = placement.request
    return Start(
        request.ticket,
        request.task,
        0,
        request.kind,
        request.team,
        placement.cores,
        placement.memory,
        0,
        placement.run_time,
        '',
        0,
        b'',
    )
