"""The tasks of a worker: their ends, leases and memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jackdawridge.standins.messages import Behaviour, Order, TaskEvent, Usage
from jackdawridge.standins.sharing import Processors, Size, Task

if TYPE_CHECKING:
    from collections.abc import Iterable

_BEHAVIOUR = msgspec.json.Decoder(Behaviour)

#: Least share of its speed at which a task still makes progress.
_LEAST_SHARE = 0.000001


class WorkerState:
    """Starts whatever it is given; each method takes the time.

    :param size: what the worker has.
    :param now: the time.
    """

    def __init__(self, size: Size, now: float) -> None:
        """Begin without tasks."""
        self.processors = Processors(size, now)
        self.fail_all = False
        #: Events by number, until they are forgotten.
        self.events: dict[int, TaskEvent] = {}
        self.last_event = 0

    @property
    def running(self) -> dict[str, Task]:
        """Tasks that run, by id."""
        return self.processors.running

    def start(self, order: Order, now: float) -> list[TaskEvent]:
        """Start a task whether it fits or not; return what ended by it.

        :param order: the task; if its id runs already, it runs anew.
        :param now: the time.
        """
        ended = self.advance(now)
        task = Task(order, read_behaviour(order), now)
        if task.id in self.running:
            ended.append(self.end(task.id, 'stopped', 'started again'))
        self.processors.add(task)
        if self.fail_all:
            ended.append(self.end(task.id, 'failed', 'worker fails all'))
        ended.extend(self.relieve_memory())
        return ended

    def advance(self, now: float) -> list[TaskEvent]:
        """Move on to a time and return the tasks that ended until then.

        :param now: the time.
        """
        ended = []
        while True:
            first = self.processors.first_due()
            if first is None or first[1] > now:
                break
            task, due = first
            self.processors.pass_time(due)
            ended.append(self.complete(task))
        self.processors.pass_time(now)
        return ended

    def next_end(self) -> float | None:
        """Return when the next task ends if nothing changes, if any."""
        first = self.processors.first_due()
        return None if first is None else first[1]

    def stop(
        self, ids: Iterable[str], now: float, reason: str
    ) -> list[TaskEvent]:
        """Stop tasks that run; others are passed over.

        :param ids: of the tasks.
        :param now: the time.
        :param reason: kept with the event.
        """
        ended = self.advance(now)
        for task_id in ids:
            if task_id in self.running:
                ended.append(self.end(task_id, 'stopped', reason))
        return ended

    def throttle(
        self, ids: Iterable[str], share: float, now: float
    ) -> list[TaskEvent]:
        """Limit tasks to a share of their speed; 1 lifts the limit.

        A task that was suspended takes its memory again.

        :param ids: of the tasks.
        :param share: from 0 to 1.
        :param now: the time.
        """
        ended = self.advance(now)
        for task in self.find(ids):
            self.processors.set_share(
                task, max(share, _LEAST_SHARE), task.full_memory
            )
        ended.extend(self.relieve_memory())
        return ended

    def checkpoint(self, ids: Iterable[str], now: float) -> list[TaskEvent]:
        """Suspend tasks and release their memory, until throttled anew.

        :param ids: of the tasks.
        :param now: the time.
        """
        ended = self.advance(now)
        for task in self.find(ids):
            self.processors.set_share(task, _LEAST_SHARE, 0)
        return ended

    def renew(self, ids: Iterable[str], lease: float, now: float) -> None:
        """Renew leases; tasks that have ended are passed over.

        :param ids: of the tasks.
        :param lease: in seconds.
        :param now: the time.
        """
        for task in self.find(ids):
            task.expires = now + lease

    def stop_lapsed(self, now: float) -> list[TaskEvent]:
        """Stop the tasks whose lease has lapsed.

        :param now: the time.
        """
        lapsed = [
            task.id for task in self.running.values() if task.expires < now
        ]
        return self.stop(lapsed, now, 'lease lapsed')

    def lose_all(self) -> list[str]:
        """Lose all tasks and events, as by a crash; return what ran.

        Events are counted anew, as by a process that was started anew.
        """
        self.events.clear()
        self.last_event = 0
        return self.processors.remove_all()

    def forget(self, through: int) -> None:
        """Drop events.

        :param through: number of the last one to drop.
        """
        while self.events:
            number = next(iter(self.events))
            if number > through:
                return
            self.events.pop(number)

    def usage(self) -> list[Usage]:
        """Return what each task uses now."""
        speed = self.processors.speed * self.processors.slowdown
        return [
            {
                'id': task.id,
                'cores': task.cores * task.share * speed,
                'memory': task.memory,
            }
            for task in self.running.values()
        ]

    def slow_down(self, slowdown: float, now: float) -> list[TaskEvent]:
        """Make all tasks take longer.

        :param slowdown: the factor; 1 for none.
        :param now: the time.
        """
        ended = self.advance(now)
        self.processors.slowdown = slowdown
        self.processors.update_speed()
        return ended

    def find(self, ids: Iterable[str]) -> list[Task]:
        """Return the tasks that still run.

        :param ids: of any tasks.
        """
        return [
            self.running[task_id] for task_id in ids if task_id in self.running
        ]

    def complete(self, task: Task) -> TaskEvent:
        """End a task that has done its work.

        :param task: that runs.
        """
        if task.behaviour.get('fail', False):
            reason = task.behaviour.get('answer', '') or 'task failed'
            return self.end(task.id, 'failed', reason)
        return self.end(task.id, 'succeeded', '')

    def relieve_memory(self) -> list[TaskEvent]:
        """End the largest tasks until the rest fits into the memory."""
        ended = []
        while self.processors.is_out_of_memory:
            largest = max(self.running.values(), key=lambda task: task.memory)
            ended.append(self.end(largest.id, 'failed', 'out of memory'))
        return ended

    def end(self, task_id: str, state: str, reason: str) -> TaskEvent:
        """Remove a task and number the event of its end.

        :param task_id: of a running task.
        :param state: `succeeded`, `failed` or `stopped`.
        :param reason: empty if it succeeded.
        """
        task = self.processors.remove(task_id)
        self.last_event += 1
        report = task.report(self.processors.now, state, reason)
        event: TaskEvent = {'number': self.last_event, **report}
        self.events[self.last_event] = event
        return event


def read_behaviour(order: Order) -> Behaviour:
    """Return what a task does; one whose payload is not valid fails.

    :param order: the task.
    """
    try:
        return _BEHAVIOUR.decode(order['payload'])
    except msgspec.DecodeError as error:
        return {'fail': True, 'answer': f'payload is not valid: {error}'}
