"""In-memory replay of overload, with the rates seen at the users."""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.execution.messages import Room
from jackdawridge.placement.admission import QueueBounds
from jackdawridge.placement.learning import NO_USAGE, Usage
from jackdawridge.placement.placer import Placer
from jackdawridge.placement.policies import RoomPolicy
from jackdawridge.placement.request import (
    Objective,
    Placement,
    Request,
    UnplaceableTask,
)
from jackdawridge.placement.side_view import SideInfo
from jackdawridge.placement.tracking import NO_ROOM

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from jackdawridge.placement.request import Key

CORES = 16
MEMORY = 32000
#: Mean cores of a task.
TASK_CORES = 0.1 * CORES
STRETCH = 1.6
ALLOWANCE = 0.06
#: Coefficient of variation of run times and numbers of tasks, and of cores.
SPREAD = 0.4
CORES_SPREAD = 0.2
#: Bounds of the ratio of declared to actual run times.
DECLARED_RATIOS = (0.6, 1.4)
#: Bounds of the ratio of the run time of a task to the mean of its job.
RUN_TIME_RATIOS = (0.85, 1.15)
#: Step of the simulated time, in seconds.
TIME_STEP = 0.01
#: Usual time after the last arrival until all tasks have ended, in seconds.
DRAIN_TIME = 12.0
#: Interval at which sides report their room to all entries, in seconds.
HEARTBEAT = 0.25
#: Number of failed runs of a task after which its job fails.
MAX_ATTEMPTS = 3


class Kind(NamedTuple):
    """A kind of job."""

    priority: int
    #: Jobs per second.
    rate: float
    #: Mean number of tasks of a job.
    tasks: float
    #: Mean run time of a task, in seconds.
    run_time: float


#: Load of the calculation service of the fleet operators. With a third of the
#: capacity out of service it is 1.13 times the remaining capacity.
KINDS = {  # noqa: WPS407
    'quote': Kind(0, 17.2, 8, 0.12),
    'check': Kind(1, 50, 2, 0.4),
    'close': Kind(2, 3.12, 4, 1.8),
}


#: Load of the shared fuel ledger on 60 workers after its work has shifted.
SHIFTED_KINDS = {  # noqa: WPS407
    'pump-tick': Kind(0, 77, 8, 0.12),
    'tank-recon': Kind(2, 24.4, 4, 1.8),
    'driver-fill': Kind(1, 225, 2, 0.4),
}
#: Mean cores of a task of that load.
SHIFTED_TASK_CORES = 1.4


class Job(NamedTuple):
    """A job of the load."""

    at: float
    kind: str
    cores: float
    declared: float
    run_times: tuple[float, ...]

    @property
    def target_time(self) -> float:
        """Return the target response time in seconds."""
        return STRETCH * max(self.run_times) + ALLOWANCE


class Outcome(NamedTuple):
    """Outcome of a job, and its response time in seconds."""

    is_served: bool
    response_time: float


def make_jobs(
    seed: int,
    load: float,
    seconds: float,
    kinds: Mapping[str, Kind] = KINDS,
    task_cores: float = TASK_CORES,
) -> list[Job]:
    """Return random jobs in the order of their arrival.

    :param seed: seed of the random values.
    :param load: factor on the rates of the kinds.
    :param seconds: time during which jobs arrive, in seconds.
    :param kinds: kinds of jobs by name.
    :param task_cores: mean cores of a task.
    """
    source = random.Random(seed)
    jobs: list[Job] = []
    for name, kind in kinds.items():
        now = source.expovariate(kind.rate * load)
        while now < seconds:
            tasks = max(round(log_normal(source, kind.tasks, SPREAD)), 1)
            run_time = log_normal(source, kind.run_time, SPREAD)
            jobs.append(
                Job(
                    now,
                    name,
                    log_normal(source, task_cores, CORES_SPREAD),
                    run_time * source.uniform(*DECLARED_RATIOS),
                    tuple(
                        run_time * source.uniform(*RUN_TIME_RATIOS)
                        for _ in range(tasks)
                    ),
                )
            )
            now += source.expovariate(kind.rate * load)
    return sorted(jobs)


def log_normal(source: random.Random, mean: float, spread: float) -> float:
    """Return a random value of a log-normal distribution.

    :param source: random number generator.
    :param mean: mean of the distribution.
    :param spread: ratio of the standard deviation to the mean.
    """
    sigma = math.sqrt(math.log(1 + spread**2))
    return source.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)


class Slowness(NamedTuple):
    """Slowdown of some workers during an interval."""

    sides: tuple[str, ...]
    since: float
    until: float
    factor: float

    def at(self, side_id: str, now: float) -> float:
        """Return the factor on the run time of a task that starts."""
        is_slow = side_id in self.sides and self.since <= now < self.until
        return self.factor if is_slow else 1


#: Stands for workers that all keep their usual speed.
NO_SLOWNESS = Slowness((), 0, 0, 1)


class Failing(NamedTuple):
    """Failure of all tasks that some workers start during an interval."""

    sides: tuple[str, ...]
    since: float
    until: float
    #: Kind of the tasks that fail; empty for all kinds.
    kind: str = ''

    def fails(self, side_id: str, kind: str, now: float) -> bool:
        """Return whether a task that starts now will fail at once."""
        return (
            side_id in self.sides
            and self.since <= now < self.until
            and self.kind in {'', kind}
        )


#: Failing for workers that run all tasks.
NO_FAILURES = Failing((), 0, 0)
#: Run time factors of permanently slower workers by side: none.
NO_SLOWER_KINDS: Mapping[str, float] = MappingProxyType({})
#: Announced kinds of workers by side: none.
NO_WORKER_KINDS: Mapping[str, str] = MappingProxyType({})


class Replay:
    """Replays a load at entries and workers that are modelled in memory.

    An entry learns the room of a side at once when one of its own tasks ends
    there, and otherwise by heartbeats. Starts without room are refused.

    :param jobs: jobs in the order of their arrival.
    :param sides: number of workers.
    :param has_priorities: whether the kinds of jobs differ in priority.
    :param slowness: temporary slowdown of some workers.
    :param entries: number of entries, which get the jobs in turn.
    :param run_time_factors: run time factors of permanently slow workers.
    :param kinds: kinds of jobs by name.
    :param failing: temporary failure of some workers.
    :param worker_kinds: announced kinds of workers by side.
    :param cores: cores of workers by side, where they differ from the usual.
    :param drain_time: time after the last arrival until all tasks have ended,
        in seconds.
    """

    def __init__(
        self,
        jobs: list[Job],
        sides: int,
        *,
        has_priorities: bool = True,
        slowness: Slowness = NO_SLOWNESS,
        entries: int = 1,
        run_time_factors: Mapping[str, float] = NO_SLOWER_KINDS,
        kinds: Mapping[str, Kind] = KINDS,
        failing: Failing = NO_FAILURES,
        worker_kinds: Mapping[str, str] = NO_WORKER_KINDS,
        cores: Mapping[str, float] = NO_SLOWER_KINDS,
        drain_time: float = DRAIN_TIME,
    ) -> None:
        """Add the sides long before the first job, past their ramp-up."""
        self.jobs = jobs
        self.has_priorities = has_priorities
        self.slowness = slowness
        self.run_time_factors = run_time_factors
        self.kinds = kinds
        self.failing = failing
        self.drain_time = drain_time
        #: Number of tasks by side that have failed although their entry knew of
        #: an earlier failure there when it sent them.
        self.failures: dict[str, int] = defaultdict(int)
        #: Number of failed runs of each task.
        self.attempts: dict[Key, int] = defaultdict(int)
        #: Time at which each entry first learned of a failure at a side.
        self.warned_at: dict[tuple[Placer, str], float] = {}
        #: Number of starts by side and whole second.
        self.starts: dict[tuple[str, int], int] = defaultdict(int)
        self.placers = [
            Placer(RoomPolicy(str(number)), QueueBounds(10000))
            for number in range(entries)
        ]
        self.placer = self.placers[0]
        self.free = {
            f's{number}': float(cores.get(f's{number}', CORES))
            for number in range(sides)
        }
        #: Number of the last batch of each entry to each side.
        self.batches: dict[tuple[Placer, str], int] = defaultdict(int)
        self.ends: list[tuple[float, str, int, int]] = []
        #: Start times of running tasks.
        self.began: dict[tuple[int, int], float] = {}
        self.remaining_tasks: dict[int, int] = {}
        self.outcomes: dict[int, Outcome] = {}
        self.refusals = 0
        for placer in self.placers:
            placer.worker_kinds.is_enabled = bool(worker_kinds)
            for side_id, free in self.free.items():
                info = SideInfo(
                    'd',
                    free,
                    MEMORY,
                    0,
                    worker_kind=worker_kinds.get(side_id, ''),
                )
                placer.side_joined(side_id, info, -10)
                self.report(placer, side_id, -10)
            placer.entries_changed(entries, {})

    def placer_of(self, number: int) -> Placer:
        """Return the placer of the entry that a job is sent to."""
        return self.placers[number % len(self.placers)]

    def run(self) -> list[Outcome]:
        """Replay the load and return the outcome of each job."""
        arrived = 0
        now: float = 0
        next_heartbeat: float = 0
        while now < self.jobs[-1].at + self.drain_time:
            while arrived < len(self.jobs) and self.jobs[arrived].at <= now:
                self.arrive(arrived)
                arrived += 1
            if len(self.placers) > 1 and now >= next_heartbeat:
                self.send_heartbeats(now)
                next_heartbeat = now + HEARTBEAT
            self.step(now)
            now += TIME_STEP
        return [self.outcomes[number] for number in range(len(self.jobs))]

    def step(self, now: float) -> None:
        """End tasks that are due, and run a placement pass at each entry."""
        self.end_due_tasks(now)
        for placer in self.placers:
            self.refuse(placer, placer.load_shedder.shed_expired(now), now)
            self.place(placer, now)
            self.refuse(placer, placer.load_shedder.shed_excess(now), now)

    def end_due_tasks(self, now: float) -> None:
        """End all tasks that are due."""
        while self.ends and self.ends[0][0] <= now:
            self.end(*heapq.heappop(self.ends))

    def send_heartbeats(self, now: float) -> None:
        """Report the room of all sides to all entries."""
        for placer in self.placers:
            for side_id in self.free:
                self.report(placer, side_id, now)

    def arrive(self, number: int) -> None:
        """Queue a job at its entry."""
        job = self.jobs[number]
        priority = self.kinds[job.kind].priority if self.has_priorities else 0
        objective = Objective(STRETCH, ALLOWANCE, priority)
        requests = [
            Request(
                str(number),
                task,
                'team',
                job.kind,
                job.cores,
                1,
                0,
                job.declared,
                reruns=True,
            )
            for task in range(len(job.run_times))
        ]
        placer = self.placer_of(number)
        assert placer.enqueue(requests, job.at, objective).is_ok()
        self.remaining_tasks[number] = len(requests)

    def report(self, placer: Placer, side_id: str, now: float) -> None:
        """Report the room of a side to an entry."""
        room = Room(self.free[side_id], MEMORY, 0, 0)
        batch = self.batches[placer, side_id]
        placer.side_reported(side_id, room, batch, now)

    def end(self, now: float, side_id: str, number: int, task: int) -> None:
        """End a task and report it to its entry."""
        job = self.jobs[number]
        self.free[side_id] += job.cores
        placer = self.placer_of(number)
        self.report(placer, side_id, now)
        began = self.began.pop((number, task))
        if self.failing.fails(side_id, job.kind, began):
            warned_at = self.warned_at.setdefault((placer, side_id), now)
            self.failures[side_id] += began > warned_at
            self.fail(placer, (str(number), task), side_id, now)
            return
        usage = Usage(job.cores, 1, now - began)
        placer.ended((str(number), task), side_id, 'succeeded', usage, now)
        self.remaining_tasks[number] -= 1
        if not self.remaining_tasks[number]:
            self.outcomes[number] = Outcome(True, now - job.at)

    def fail(self, placer: Placer, key: Key, side_id: str, now: float) -> None:
        """Report a task as failed; its entry retries it or fails the job."""
        assignment = placer.ended(key, side_id, 'failed', NO_USAGE, now)
        number = int(key[0])
        self.attempts[key] += 1
        if self.attempts[key] >= MAX_ATTEMPTS:
            placer.cancel(key[0])
            self.record_shed(number, now)
        elif assignment is not None and number not in self.outcomes:
            placer.requeue(assignment)

    def refuse(
        self, placer: Placer, rejected: tuple[UnplaceableTask, ...], now: float
    ) -> None:
        """Cancel the jobs that the placer has shed."""
        for one in rejected:
            ticket = one.request.ticket
            placer.cancel(ticket)
            self.record_shed(int(ticket), now)

    def record_shed(self, number: int, now: float) -> None:
        """Record the outcome of a job that was shed."""
        self.outcomes[number] = Outcome(False, now - self.jobs[number].at)

    def place(self, placer: Placer, now: float) -> None:
        """Run a placement pass at an entry and start the placed tasks."""
        self.send(placer, placer.place(now), now)

    def send(
        self, placer: Placer, placements: Iterable[Placement], now: float
    ) -> None:
        """Send placements to their sides, which start those that fit."""
        by_side: dict[str, list[Placement]] = defaultdict(list)
        for placement in placements:
            by_side[placement.side_id].append(placement)
        for side_id, of_side in by_side.items():
            self.batches[placer, side_id] += 1
            batch = self.batches[placer, side_id]
            placer.sent(side_id, batch, of_side)
            for placement in of_side:
                key = placement.request.key
                if self.free[side_id] >= placement.request.cores:
                    self.start(side_id, int(key[0]), key[1], now)
                else:
                    self.refuse_start(placer, key, side_id, now)
            self.report(placer, side_id, now)

    def refuse_start(
        self, placer: Placer, key: Key, side_id: str, now: float
    ) -> None:
        """Refuse a start for lack of room."""
        self.refusals += 1
        placer.refused(key, side_id, NO_ROOM, now)

    def start(self, side_id: str, number: int, task: int, now: float) -> None:
        """Start a task at a side that has room for it."""
        job = self.jobs[number]
        self.free[side_id] -= job.cores
        slower = self.slowness.at(side_id, now) * self.run_time_factors.get(
            side_id, 1
        )
        until = now + job.run_times[task] * slower
        if self.failing.fails(side_id, job.kind, now):
            until = now
        self.starts[side_id, int(now)] += 1
        self.began[number, task] = now
        heapq.heappush(self.ends, (until, side_id, number, task))
