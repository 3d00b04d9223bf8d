"""A processor-sharing model of the tasks of a worker."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.standins.messages import Behaviour, Order, TaskReport


class Resources(NamedTuple):
    """The resources of a worker."""

    cores: float
    #: Memory in MB.
    memory: float
    accelerators: int = 0


class Task:
    """A task that runs on the worker.

    :param order: the task as it was ordered.
    :param behaviour: the run time, use and answer of the task.
    :param started_at: the time of the start, in seconds.
    """

    __slots__ = (
        'id',
        'cores',
        'memory',
        'accelerators',
        'seconds',
        'behaviour',
        'expires_at',
        'started_at',
        'share',
        'virtual_end',
        'full_memory',
    )

    def __init__(
        self, order: Order, behaviour: Behaviour, started_at: float
    ) -> None:
        """Set the use from the behaviour, or else as declared."""
        self.id = order['id']
        self.cores = behaviour.get('cores', order['cores'])
        self.memory = behaviour.get('memory', order['memory'])
        #: Memory that the task uses unless it is suspended, in MB.
        self.full_memory = self.memory
        self.accelerators = order['accelerators']
        self.seconds = behaviour.get('seconds', 0)
        self.behaviour = behaviour
        self.expires_at = started_at + order['lease']
        self.started_at = started_at
        #: Share of its full speed to which the task is throttled.
        self.share: float = 1
        #: Virtual time at which the task ends.
        self.virtual_end: float = 0

    def report(self, now: float, state: str, reason: str) -> TaskReport:
        """Return the report of the task.

        :param now: the current time, in seconds.
        :param state: `running`, `succeeded`, `failed` or `stopped`.
        :param reason: why the task ended, or empty.
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
            'run_time': now - self.started_at,
        }


class ProcessorSharing:
    """Runs tasks at one common speed by processor sharing.

    Virtual time advances at this speed. Tasks are ordered by the virtual time
    of their end, so that a change of the speed does not reorder the heap.

    :param resources: the resources of the worker.
    :param now: the current time, in seconds.
    """

    def __init__(self, resources: Resources, now: float) -> None:
        """Initialise without tasks."""
        self.resources = resources
        self.now = now
        self.virtual_time: float = 0
        self.speed: float = 1
        #: Factor of the run time of all tasks.
        self.slowdown: float = 1
        self.running: dict[str, Task] = {}
        self.heap: list[tuple[float, int, Task]] = []
        self.sequence = 0
        self.cores: float = 0
        self.memory: float = 0
        self.accelerators = 0

    def add(self, task: Task) -> None:
        """Start a task at full speed.

        :param task: the new task.
        """
        self.running[task.id] = task
        self.add_usage(task, 1)
        self.schedule(task, task.seconds)
        self.update_speed()

    def remove(self, task_id: str) -> Task:
        """Remove a task, release its resources and return it.

        :param task_id: the id of a running task.
        """
        task = self.running.pop(task_id)
        self.add_usage(task, -1)
        if not self.running:
            # Floating-point rounding can leave a remainder.
            self.cores = 0
            self.memory = 0
        self.update_speed()
        return task

    def remove_all(self) -> list[str]:
        """Remove all tasks and return their ids."""
        removed = list(self.running)
        for task_id in removed:
            self.remove(task_id)
        return removed

    @property
    def is_out_of_memory(self) -> bool:
        """Whether the tasks use more memory than the worker has."""
        return bool(self.running) and self.memory > self.resources.memory

    def find_next_end(self) -> tuple[Task, float] | None:
        """Return the task that ends next and its time, or None."""
        while self.heap:
            virtual_end, _, task = self.heap[0]
            if (
                self.running.get(task.id) is task
                and task.virtual_end == virtual_end
            ):
                due = self.now + (virtual_end - self.virtual_time) / self.speed
                return task, max(due, self.now)
            heapq.heappop(self.heap)
        return None

    def advance(self, now: float) -> None:
        """Advance the virtual time at the current speed."""
        if now > self.now:
            self.virtual_time += (now - self.now) * self.speed
            self.now = now

    def update_speed(self) -> None:
        """Compute the common speed from the resources in use."""
        speed = self.resources.cores / max(self.resources.cores, self.cores)
        accelerators = self.resources.accelerators
        if accelerators:
            accelerator_speed = accelerators / max(
                accelerators, self.accelerators
            )
            speed = min(speed, accelerator_speed)
        self.speed = speed / self.slowdown

    def schedule(self, task: Task, remaining: float) -> None:
        """Push a task with the virtual time of its end onto the heap."""
        self.sequence += 1
        task.virtual_end = self.virtual_time + remaining / task.share
        heapq.heappush(self.heap, (task.virtual_end, self.sequence, task))

    def set_share(self, task: Task, share: float, memory: float) -> None:
        """Change the speed and the memory of a task.

        :param task: the running task.
        :param share: the new share of its full speed, above 0.
        :param memory: the new memory use, in MB.
        """
        remaining = (task.virtual_end - self.virtual_time) * task.share
        self.add_usage(task, -1)
        task.share = share
        task.memory = memory
        self.add_usage(task, 1)
        self.schedule(task, remaining)
        self.update_speed()

    def add_usage(self, task: Task, sign: int) -> None:
        """Add (sign 1) or subtract (sign -1) the resources of a task."""
        self.cores += sign * task.cores * task.share
        self.memory += sign * task.memory
        self.accelerators += sign * task.accelerators
