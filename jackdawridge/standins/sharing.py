"""Tasks that share the processors of a worker."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.standins.messages import Behaviour, Order, TaskReport


class Size(NamedTuple):
    """What a worker has."""

    cores: float
    #: In MB.
    memory: float
    accelerators: int = 0


class Task:
    """A task that runs on the worker.

    :param order: how it was asked for.
    :param behaviour: what it really does.
    :param started: time of its start.
    """

    __slots__ = (
        'id',
        'cores',
        'memory',
        'accelerators',
        'seconds',
        'behaviour',
        'expires',
        'started',
        'share',
        'finish',
        'full_memory',
    )

    def __init__(
        self, order: Order, behaviour: Behaviour, started: float
    ) -> None:
        """Take the real use from the behaviour, else the declared one."""
        self.id = order['id']
        self.cores = behaviour.get('cores', order['cores'])
        self.memory = behaviour.get('memory', order['memory'])
        #: Memory that the task uses unless it is suspended.
        self.full_memory = self.memory
        self.accelerators = order['accelerators']
        self.seconds = behaviour.get('seconds', 0)
        self.behaviour = behaviour
        self.expires = started + order['lease']
        self.started = started
        #: Part of its speed that throttling leaves to the task.
        self.share: float = 1
        #: Virtual time at which the task is done.
        self.finish: float = 0

    def report(self, now: float, state: str, reason: str) -> TaskReport:
        """Describe the task.

        :param now: the time.
        :param state: `running` or how it ended.
        :param reason: why it ended thus.
        """
        answer = ''
        if state == 'succeeded':
            answer = self.behaviour.get('answer', '')
        return {
            'id': self.id,
            'state': state,
            'reason': reason,
            'answer': answer.encode(),
            'cores': self.cores,
            'memory': self.memory,
            'run_time': now - self.started,
        }


class Processors:
    """Lets tasks progress at one common speed.

    A virtual time that advances at this speed orders the ends of the tasks,
    so that a change of the speed moves no task in the heap.

    :param size: what the worker has.
    :param now: the time.
    """

    def __init__(self, size: Size, now: float) -> None:
        """Begin without tasks."""
        self.size = size
        self.now = now
        self.virtual: float = 0
        self.speed: float = 1
        #: Factor by which all tasks take longer.
        self.slowdown: float = 1
        self.running: dict[str, Task] = {}
        self.heap: list[tuple[float, int, Task]] = []
        self.sequence = 0
        self.cores: float = 0
        self.memory: float = 0
        self.accelerators = 0

    def add(self, task: Task) -> None:
        """Let a task begin.

        :param task: a new one.
        """
        self.running[task.id] = task
        self.claim(task, 1)
        self.schedule(task, task.seconds)
        self.update_speed()

    def remove(self, task_id: str) -> Task:
        """Return a task that no longer runs.

        :param task_id: of a running task.
        """
        task = self.running.pop(task_id)
        self.claim(task, -1)
        if not self.running:
            # Sums of fractions do not return to exactly nothing.
            self.cores = 0
            self.memory = 0
        self.update_speed()
        return task

    def remove_all(self) -> list[str]:
        """Return the ids of all tasks, none of which runs any longer."""
        removed = list(self.running)
        for task_id in removed:
            self.remove(task_id)
        return removed

    @property
    def is_out_of_memory(self) -> bool:
        """Whether the tasks use more memory than there is."""
        return bool(self.running) and self.memory > self.size.memory

    def first_due(self) -> tuple[Task, float] | None:
        """Return the task that ends first, and when, if any runs."""
        while self.heap:
            finish, _, task = self.heap[0]
            if self.running.get(task.id) is task and task.finish == finish:
                due = self.now + (finish - self.virtual) / self.speed
                return task, max(due, self.now)
            heapq.heappop(self.heap)
        return None

    def pass_time(self, now: float) -> None:
        """Let the virtual time pass at the current speed."""
        if now > self.now:
            self.virtual += (now - self.now) * self.speed
            self.now = now

    def update_speed(self) -> None:
        """Share what the worker has among the tasks."""
        speed = self.size.cores / max(self.size.cores, self.cores)
        accelerators = self.size.accelerators
        if accelerators:
            excess = accelerators / max(accelerators, self.accelerators)
            speed = min(speed, excess)
        self.speed = speed / self.slowdown

    def schedule(self, task: Task, remaining: float) -> None:
        """Put a task into the heap by the virtual time of its end."""
        self.sequence += 1
        task.finish = self.virtual + remaining / task.share
        heapq.heappush(self.heap, (task.finish, self.sequence, task))

    def set_share(self, task: Task, share: float, memory: float) -> None:
        """Change the speed and the memory of one task.

        :param task: that runs.
        :param share: of its full speed.
        :param memory: that it uses from now on, in MB.
        """
        remaining = (task.finish - self.virtual) * task.share
        self.claim(task, -1)
        task.share = share
        task.memory = memory
        self.claim(task, 1)
        self.schedule(task, remaining)
        self.update_speed()

    def claim(self, task: Task, sign: int) -> None:
        """Count in, or out, what a task uses."""
        self.cores += sign * task.cores * task.share
        self.memory += sign * task.memory
        self.accelerators += sign * task.accelerators
