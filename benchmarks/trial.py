"""Compares placement policies in memory, without processes.

Entries and workers are modelled by a heap of timed calls. Only decisions are
compared: nothing here costs processor time, and latencies are exact.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
from collections import defaultdict
from typing import TYPE_CHECKING, Any, NamedTuple

from benchmarks.figures import Slowdowns, percentile
from benchmarks.workload import DEPLOYMENTS, Deployment, Job, Task, Workload
from jackdawridge.execution.line import LINE_TIME, Waiter
from jackdawridge.execution.messages import Room, Start
from jackdawridge.execution.room import RoomLedger
from jackdawridge.placement.admission import QueueBounds
from jackdawridge.placement.learning import Usage
from jackdawridge.placement.placer import Placer
from jackdawridge.placement.policies import POLICIES
from jackdawridge.placement.request import Placement, Request
from jackdawridge.placement.view import SideInfo

if TYPE_CHECKING:
    from collections.abc import Callable

#: Time that a side, its worker and the messages add to a task, in seconds.
OVERHEAD = 0.004

#: Cores that a side gives out over those of its worker.
OVERSUBSCRIPTION = 1.3

#: Interval at which sides report to all entries, in seconds.
HEARTBEAT = 1.0

#: Interval at which workers report use, in seconds.
USAGE_INTERVAL = 0.5

#: Time before the jobs that are counted, in seconds.
WARM_UP = 5.0


class Loop:
    """A clock that jumps to the next timed call."""

    def __init__(self) -> None:
        """Begin at time 0."""
        self.now: float = 0
        self.heap: list[tuple[float, int, Callable[..., None], Any]] = []
        self.sequence = itertools.count()

    def later(
        self, delay: float, call: Callable[..., None], *args: object
    ) -> None:
        """Call a function after a delay.

        :param delay: in seconds.
        :param call: the function.
        :param args: its arguments.
        """
        entry = (self.now + delay, next(self.sequence), call, args)
        heapq.heappush(self.heap, entry)

    def run(self, until: float) -> None:
        """Make all calls up to a time.

        :param until: the time.
        """
        while self.heap and self.heap[0][0] <= until:
            timed = heapq.heappop(self.heap)
            self.now = timed[0]
            timed[2](*timed[3])


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
            elif self.ledger.join_line(waiter):
                self.fleet.loop.later(LINE_TIME, self.serve_line)
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
            self.ledger.register(entry.name, start, self.fleet.loop.now)
        if starts:
            self.reply(entry, entry.refused, starts)

    def serve_line(self) -> None:
        """Start or refuse what waits in line."""
        self.advance()
        now = self.fleet.loop.now
        line = self.ledger.line
        while line.is_overdue(now):
            waiter = line.leave()
            self.refuse(self.fleet.entry(waiter.entry), [waiter.start])
        waiting = self.ledger.next_in_line(now)
        while waiting is not None:
            self.begin(self.fleet.entry(waiting.entry), waiting.start)
            waiting = self.ledger.next_in_line(now)
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
        for made in self.ledger.offers(self.fleet.loop.now):
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


class TrialEntry:
    """An entry with its placer.

    :param fleet: that it is part of.
    :param name: of the entry.
    :param policy: name of the policy.
    """

    def __init__(self, fleet: Trial, name: str, policy: str) -> None:
        """Begin without jobs."""
        self.fleet = fleet
        self.name = name
        self.placer = Placer(POLICIES[policy](name), QueueBounds(50000))
        self.refusals = 0
        self.offers = 0
        self.batches: dict[str, int] = defaultdict(int)
        self.left: dict[str, int] = {}

    def submit(self, ticket: str, job: Job) -> None:
        """Take a job.

        :param ticket: of the job.
        :param job: the job.
        """
        requests = [
            Request(
                ticket,
                number,
                job.team,
                task.kind,
                task.declared_cores,
                task.declared_memory,
                0,
                task.declared_run_time,
            )
            for number, task in enumerate(job.tasks)
        ]
        self.left[ticket] = len(requests)
        if self.placer.enqueue(requests, self.fleet.loop.now).is_ok():
            self.place()
        else:
            self.fleet.failed.add(ticket)

    def tick(self) -> None:
        """Place again and again, as the entry's timer does."""
        self.place()
        self.fleet.loop.later(0.25, self.tick)

    def place(self) -> None:
        """Place and send."""
        by_side: dict[str, list[Placement]] = defaultdict(list)
        for placement in self.placer.place(self.fleet.loop.now):
            by_side[placement.side_id].append(placement)
        for side_id, batch in by_side.items():
            self.batches[side_id] += 1
            number = self.batches[side_id]
            self.placer.sent(side_id, number, batch)
            side = self.fleet.sides[side_id]
            delay = self.fleet.deployment.latency + OVERHEAD / 2
            self.fleet.loop.later(delay, side.receive, self, number, batch)

    def reported(self, side: TrialSide, room: Room, processed: int) -> None:
        """Take in a report."""
        self.placer.side_reported(
            side.side_id, room, processed, self.fleet.loop.now
        )
        self.place()

    def offered(self, side: TrialSide, offer: Any) -> None:
        """Take in an offer."""
        self.placer.offer_received(side.side_id, offer, self.fleet.loop.now)
        self.place()

    def refused(
        self,
        side: TrialSide,
        room: Room,
        processed: int,
        starts: list[Start],
    ) -> None:
        """Take in refusals."""
        now = self.fleet.loop.now
        self.placer.side_reported(side.side_id, room, processed, now)
        for start in starts:
            key = (start.ticket, start.task)
            self.placer.refused(key, side.side_id, 'no room', now)
        self.place()

    def ended(
        self,
        side: TrialSide,
        room: Room,
        processed: int,
        one: Running,
        failed: bool,
    ) -> None:
        """Take in an end."""
        now = self.fleet.loop.now
        self.placer.side_reported(side.side_id, room, processed, now)
        task = one.task
        usage = Usage(task.cores, task.memory, now - one.began)
        ticket = one.start.ticket
        outcome = 'failed' if failed else 'succeeded'
        key = (ticket, one.start.task)
        self.placer.ended(key, side.side_id, outcome, usage, now)
        if failed:
            self.fleet.failed.add(ticket)
            self.placer.cancel(ticket)
        self.left[ticket] -= 1
        if not self.left[ticket]:
            self.fleet.finished[ticket] = now
        self.place()


class Trial:
    """One run of a fleet in memory.

    :param deployment: the fleet.
    :param policy: name of the policy.
    :param entries: how many there are.
    """

    def __init__(
        self, deployment: Deployment, policy: str, entries: int = 2
    ) -> None:
        """Link all entries with all sides."""
        self.loop = Loop()
        self.deployment = deployment
        self.jobs: dict[str, Job] = {}
        self.finished: dict[str, float] = {}
        self.failed: set[str] = set()
        #: Begin, end and cores of each task that has ended.
        self.busy: list[tuple[float, float, float]] = []
        self.sides = {
            f'side-{number}': TrialSide(self, number)
            for number in range(deployment.workers)
        }
        self.entries = [
            TrialEntry(self, f'entry-{number}', policy)
            for number in range(entries)
        ]
        for entry in self.entries:
            for side in self.sides.values():
                entry.placer.side_joined(side.side_id, side.info, -10)
            entry.tick()
        for number, side in enumerate(self.sides.values()):
            side.heartbeat()
            self.loop.later(number / 22, side.report_usage)

    def entry(self, name: str) -> TrialEntry:
        """Return an entry by its name.

        :param name: of the entry.
        """
        return self.entries[int(name.rpartition('-')[2])]

    def load(self, jobs: list[Job]) -> None:
        """Submit jobs at their times, to the entries in turn.

        :param jobs: in the order of their times.
        """
        for number, job in enumerate(jobs):
            ticket = f't{number}'
            self.jobs[ticket] = job
            entry = self.entries[number % len(self.entries)]
            self.loop.later(job.at, entry.submit, ticket, job)


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


def run_trial(
    deployment: Deployment, policy: str, load: float, seconds: float, seed: int
) -> dict[str, float]:
    """Run one trial and return its figures.

    :param deployment: the fleet.
    :param policy: name of the policy.
    :param load: work offered over the cores.
    :param seconds: for which jobs are counted.
    :param seed: of the jobs.
    """
    workload = Workload(deployment, seed)
    end = WARM_UP + seconds
    jobs = workload.arrivals(load, 0, end)
    trial = Trial(deployment, policy)
    trial.load(jobs)
    trial.loop.run(end + 20)
    slowdowns = Slowdowns(workload.cores, 2 * deployment.latency)
    for ticket, job in trial.jobs.items():
        finished = trial.finished.get(ticket)
        if job.at >= WARM_UP and finished is not None:
            slowdowns.add(job, finished - job.at)
    tasks = sum(len(loaded.tasks) for loaded in jobs)
    wasted = sum(2 * one.refusals + one.offers for one in trial.entries)
    return {
        'p50': round(percentile(slowdowns.values, 0.5), 3),
        'p99': round(percentile(slowdowns.values, 0.99), 3),
        'wasted': round(wasted / tasks, 4),
        'jobs': len(slowdowns.values),
        'unfinished': len(trial.jobs) - len(trial.finished),
    }


def main() -> None:
    """Print the figures of all variants."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--policies', nargs='*', default=list(POLICIES))
    parser.add_argument('--loads', nargs='*', type=float, default=[0.7, 0.9])
    arguments = parser.parse_args()
    for deployment in DEPLOYMENTS.values():
        for load in arguments.loads:
            for policy in arguments.policies:
                figures = run_trial(
                    deployment, policy, load, arguments.seconds, arguments.seed
                )
                print(deployment.name, load, policy, json.dumps(figures))


if __name__ == '__main__':
    main()
