"""A simulated side with its worker, which uses the real room ledger."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.execution.messages import Room, Start
from jackdawridge.execution.room import RoomLedger
from jackdawridge.execution.wait_queue import MAX_WAIT_TIME, Waiter
from jackdawridge.placement.side_view import SideInfo

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.trial_entry import SimulatedEntry
    from benchmarks.trial_fleet import SimulatedFleet
    from benchmarks.workload import Task
    from jackdawridge.placement.request import Placement

#: Time that the side, its worker and messages add to a task, in seconds.
OVERHEAD_TIME = 0.004

#: Cores that tasks may reserve at a side, over the cores of its worker.
CORE_OVERSUBSCRIPTION = 1.3

#: Interval at which sides report to all entries, in seconds.
HEARTBEAT_INTERVAL = 1.0

#: Interval at which workers report the usage of tasks, in seconds.
USAGE_INTERVAL = 0.5


class RunningTask(NamedTuple):
    """A task that runs at a simulated worker."""

    entry: SimulatedEntry
    start: Start
    task: Task
    #: Progress of the worker at which the task ends; see `advance`.
    end_progress: float
    #: Simulated time at which the task began, in seconds.
    began: float


class SimulatedSide:
    """A simulated side whose running tasks share the cores of its worker.

    :param fleet: fleet that the side belongs to.
    :param number: number of the side.
    """

    def __init__(self, fleet: SimulatedFleet, number: int) -> None:
        """Create the ledger of a side without tasks."""
        deployment = fleet.deployment
        self.fleet = fleet
        self.side_id = f'side-{number}'
        self.info = SideInfo(
            deployment.domain(number), deployment.cores, deployment.memory, 0
        )
        self.ledger = RoomLedger(
            Room(
                deployment.cores * CORE_OVERSUBSCRIPTION,
                deployment.memory,
                0,
                0,
            )
        )
        self.running: dict[object, RunningTask] = {}
        #: Run time at full speed given to each task so far, in seconds.
        self.progress: float = 0
        self.advanced_at: float = 0
        self.slowdown: float = 1
        self.fails_all = False
        self.timer_version = 0
        self.processed: dict[SimulatedEntry, int] = defaultdict(int)

    def task_speed(self) -> float:
        """Return the speed of each task; 1 without contention or slowdown."""
        used = sum(running.task.cores for running in self.running.values())
        return self.info.cores / max(self.info.cores, used) / self.slowdown

    def advance(self) -> None:
        """Add the progress since the last call at the current speed.

        Must be called before tasks begin or end, which changes the speed.
        """
        now = self.fleet.loop.now
        self.progress += (now - self.advanced_at) * self.task_speed()
        self.advanced_at = now

    def handle_starts(
        self, entry: SimulatedEntry, number: int, batch: list[Placement]
    ) -> None:
        """Begin, queue or refuse each start of a batch.

        :param entry: entry that sent the batch.
        :param number: number of the batch.
        :param batch: placements to start.
        """
        self.advance()
        self.processed[entry] = number
        refused = []
        for placement in batch:
            start = make_start(placement)
            now = self.fleet.loop.now
            waiter = Waiter(entry.name, 0, start, now)
            if self.ledger.reserve(entry.name, start, now):
                self.begin_task(entry, start)
            elif self.ledger.enqueue(waiter):
                self.fleet.loop.call_later(MAX_WAIT_TIME, self.serve_wait_queue)
            else:
                refused.append(start)
        self.refuse(entry, refused)
        self.schedule_end()

    def refuse(self, entry: SimulatedEntry, starts: list[Start]) -> None:
        """Refuse starts and record that the entry waits for room.

        :param entry: entry that sent the starts.
        :param starts: refused starts.
        """
        for start in starts:
            entry.refusals += 1
            self.ledger.add_waiting_entry(
                entry.name, start, self.fleet.loop.now
            )
        if starts:
            self.reply(entry, entry.handle_refusals, starts)

    def serve_wait_queue(self) -> None:
        """Refuse overdue starts in the wait queue and begin those that fit."""
        self.advance()
        now = self.fleet.loop.now
        wait_queue = self.ledger.wait_queue
        while wait_queue.is_overdue(now):
            waiter = wait_queue.pop_first()
            self.refuse(self.fleet.entry(waiter.entry), [waiter.start])
        waiting = self.ledger.dequeue_fitting(now)
        while waiting is not None:
            self.begin_task(self.fleet.entry(waiting.entry), waiting.start)
            waiting = self.ledger.dequeue_fitting(now)
        self.schedule_end()

    def begin_task(self, entry: SimulatedEntry, start: Start) -> None:
        """Begin to run a task.

        :param entry: entry that sent the start.
        :param start: start of the task.
        """
        task = self.fleet.jobs[start.ticket].tasks[start.task]
        seconds = 0 if self.fails_all else task.seconds
        end_progress = self.progress + seconds
        self.running[start.key()] = RunningTask(
            entry, start, task, end_progress, self.fleet.loop.now
        )

    def schedule_end(self) -> None:
        """Schedule the next end of a task and invalidate earlier timers."""
        self.timer_version += 1
        if self.running:
            first = min(
                running.end_progress for running in self.running.values()
            )
            delay = max(0, (first - self.progress) / self.task_speed())
            self.fleet.loop.call_later(
                delay, self.end_complete_tasks, self.timer_version
            )

    def end_complete_tasks(self, version: int) -> None:
        """End the tasks that are complete.

        :param version: version of the timer; a stale timer is ignored.
        """
        if version != self.timer_version:
            return
        self.advance()
        ended: list[RunningTask] = []
        for key, running in tuple(self.running.items()):
            if running.end_progress <= self.progress + 1e-9:
                self.running.pop(key)
                self.ledger.release(running.start.key())
                self.fleet.ended_tasks.append(
                    (running.began, self.fleet.loop.now, running.task.cores)
                )
                ended.append(running)
        self.serve_wait_queue()
        for done in ended:
            self.reply(done.entry, done.entry.handle_end, done, self.fails_all)
        self.send_offers()
        self.schedule_end()

    def send_offers(self) -> None:
        """Send offers of held room to the entries that wait for it."""
        for made in self.ledger.make_offers(self.fleet.loop.now):
            entry = self.fleet.entry(made.entry)
            entry.offers += 1
            self.fleet.loop.call_later(
                self.fleet.deployment.latency,
                entry.handle_offer,
                self,
                made.offer,
            )

    def reply(
        self, entry: SimulatedEntry, call: Callable[..., None], *args: object
    ) -> None:
        """Call a handler of an entry after the latency, with the current room.

        :param entry: recipient.
        :param call: handler of the entry.
        :param args: arguments after the side, its room and the last batch.
        """
        room = self.ledger.room_for(entry.name, self.fleet.loop.now)
        processed = self.processed[entry]
        delay = self.fleet.deployment.latency + OVERHEAD_TIME / 2
        self.fleet.loop.call_later(delay, call, self, room, processed, *args)

    def send_heartbeat(self) -> None:
        """Report the room to all entries periodically."""
        self.send_offers()
        for entry in self.fleet.entries:
            self.reply(entry, entry.handle_report)
        self.fleet.loop.call_later(HEARTBEAT_INTERVAL, self.send_heartbeat)

    def measure_usage(self) -> None:
        """Measure the usage of running tasks periodically."""
        speed = self.task_speed()
        for running in self.running.values():
            self.ledger.measure(
                running.start.key(),
                running.task.cores * speed,
                running.task.memory,
            )
        self.fleet.loop.call_later(USAGE_INTERVAL, self.measure_usage)


def make_start(placement: Placement) -> Start:
    """Return the message that starts a placed task."""
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
