"""The model of a worker: how its tasks end, by time, lease and memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jackdawridge.standins.messages import Behaviour, Order, TaskEvent, Usage
from jackdawridge.standins.shared_processors import (
    ProcessorSharing,
    Resources,
    Task,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

_BEHAVIOUR = msgspec.json.Decoder(Behaviour)

#: Smallest share of its speed that a task keeps, also when suspended; its
#: remaining time is divided by the share, which therefore cannot be 0.
_MIN_SHARE = 0.000001


class WorkerState:
    """Starts every task, without admission control.

    Methods that depend on the time are passed it.

    :param resources: the resources of the worker.
    :param now: the current time, in seconds.
    """

    def __init__(self, resources: Resources, now: float) -> None:
        """Initialise without tasks."""
        self.processors = ProcessorSharing(resources, now)
        self.fail_all = False
        #: Events that the client has not yet told to forget, by number.
        self.events: dict[int, TaskEvent] = {}
        self.last_event = 0

    @property
    def running(self) -> dict[str, Task]:
        """Running tasks, by id."""
        return self.processors.running

    def start(self, order: Order, now: float) -> list[TaskEvent]:
        """Start a task without admission control; return the ended tasks.

        :param order: the task; a running task of the same id is stopped.
        :param now: the current time, in seconds.
        """
        ended = self.advance(now)
        task = Task(order, read_behaviour(order), now)
        if task.id in self.running:
            ended.append(self.end(task.id, 'stopped', 'started again'))
        self.processors.add(task)
        if self.fail_all:
            ended.append(self.end(task.id, 'failed', 'worker fails all'))
        ended.extend(self.fail_excess_tasks())
        return ended

    def advance(self, now: float) -> list[TaskEvent]:
        """Advance the clock and return the tasks that have ended.

        :param now: the current time, in seconds.
        """
        ended = []
        while True:
            next_end = self.processors.find_next_end()
            if next_end is None or next_end[1] > now:
                break
            task, due = next_end
            self.processors.advance(due)
            ended.append(self.complete(task))
        self.processors.advance(now)
        return ended

    def next_end(self) -> float | None:
        """Return when the next task ends at current speed, or None."""
        next_end = self.processors.find_next_end()
        return None if next_end is None else next_end[1]

    def stop(
        self, ids: Iterable[str], now: float, reason: str
    ) -> list[TaskEvent]:
        """Stop tasks; ids that do not run are ignored.

        :param ids: the ids of the tasks.
        :param now: the current time, in seconds.
        :param reason: the reason given in the events.
        """
        ended = self.advance(now)
        for task_id in ids:
            if task_id in self.running:
                ended.append(self.end(task_id, 'stopped', reason))
        return ended

    def throttle(
        self, ids: Iterable[str], share: float, now: float
    ) -> list[TaskEvent]:
        """Limit tasks to a share of their full speed.

        A suspended task is resumed and uses its memory again.

        :param ids: the ids of the tasks.
        :param share: the share from 0 to 1; 1 removes the limit.
        :param now: the current time, in seconds.
        """
        ended = self.advance(now)
        for task in self.find_running(ids):
            self.processors.set_share(
                task, max(share, _MIN_SHARE), task.full_memory
            )
        ended.extend(self.fail_excess_tasks())
        return ended

    def checkpoint(self, ids: Iterable[str], now: float) -> list[TaskEvent]:
        """Suspend tasks and release their memory until `throttle` is called.

        :param ids: the ids of the tasks.
        :param now: the current time, in seconds.
        """
        ended = self.advance(now)
        for task in self.find_running(ids):
            self.processors.set_share(task, _MIN_SHARE, 0)
        return ended

    def renew(self, ids: Iterable[str], lease: float, now: float) -> None:
        """Renew the leases of tasks; ids that do not run are ignored.

        :param ids: the ids of the tasks.
        :param lease: the new time to expiry, in seconds.
        :param now: the current time, in seconds.
        """
        for task in self.find_running(ids):
            task.expires_at = now + lease

    def stop_lapsed(self, now: float) -> list[TaskEvent]:
        """Stop the tasks whose lease has lapsed.

        :param now: the current time, in seconds.
        """
        lapsed = [
            task.id for task in self.running.values() if task.expires_at < now
        ]
        return self.stop(lapsed, now, 'lease lapsed')

    def discard_all(self) -> list[str]:
        """Simulate a crash: drop all tasks and events; return the task ids.

        Event numbers begin again at 1, as after a restart of the process.
        """
        self.events.clear()
        self.last_event = 0
        return self.processors.remove_all()

    def forget(self, through: int) -> None:
        """Drop the oldest events.

        :param through: the number of the last event to drop.
        """
        while self.events:
            number = next(iter(self.events))
            if number > through:
                return
            self.events.pop(number)

    def usage(self) -> list[Usage]:
        """Return the current cores and memory of each running task."""
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
        """Set the slowdown of all tasks and return the ended tasks.

        :param slowdown: the factor of the run time; 1 for full speed.
        :param now: the current time, in seconds.
        """
        ended = self.advance(now)
        self.processors.slowdown = slowdown
        self.processors.update_speed()
        return ended

    def find_running(self, ids: Iterable[str]) -> list[Task]:
        """Return the tasks with these ids that are running.

        :param ids: the ids of any tasks.
        """
        return [
            self.running[task_id] for task_id in ids if task_id in self.running
        ]

    def complete(self, task: Task) -> TaskEvent:
        """End a task whose run time is over, as its behaviour says.

        :param task: the running task.
        """
        if task.behaviour.get('fail', False):
            reason = task.behaviour.get('answer', '') or 'task failed'
            return self.end(task.id, 'failed', reason)
        return self.end(task.id, 'succeeded', '')

    def fail_excess_tasks(self) -> list[TaskEvent]:
        """Fail the tasks that use most memory until the others fit."""
        ended = []
        while self.processors.is_out_of_memory:
            largest = max(self.running.values(), key=lambda task: task.memory)
            ended.append(self.end(largest.id, 'failed', 'out of memory'))
        return ended

    def end(self, task_id: str, state: str, reason: str) -> TaskEvent:
        """Remove a task and return its event, which gets the next number.

        :param task_id: the id of a running task.
        :param state: `succeeded`, `failed` or `stopped`.
        :param reason: why the task ended; empty if it succeeded.
        """
        task = self.processors.remove(task_id)
        self.last_event += 1
        report = task.report(self.processors.now, state, reason)
        event: TaskEvent = {'number': self.last_event, **report}
        self.events[self.last_event] = event
        return event


def read_behaviour(order: Order) -> Behaviour:
    """Decode the payload of a task; an invalid one makes the task fail.

    :param order: the task to start.
    """
    try:
        return _BEHAVIOUR.decode(order['payload'])
    except msgspec.DecodeError as error:
        return {'fail': True, 'answer': f'payload is not valid: {error}'}
