"""What a side does about tasks that fill the memory of its worker."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jackdawridge.execution.messages import TaskKey

#: Part of the memory from which tasks that use too much are slowed down.
THROTTLE_FRACTION = 0.85

#: Part of the memory from which tasks are checkpointed.
CHECKPOINT_FRACTION = 0.92

#: Part of the memory from which a task is stopped if nothing else helped.
STOP_FRACTION = 0.97

#: Part of the memory below which tasks go on at full speed.
RESUME_FRACTION = 0.75

#: Reports of use that a checkpoint may take to show.
CHECKPOINT_GRACE_REPORTS = 3

#: Factor over its reservation from which a task uses too much.
OVERRUN_FACTOR = 1.1


class Action(enum.Enum):
    """What is done to a task."""

    throttle = 'throttle'
    checkpoint = 'checkpoint'
    resume = 'resume'
    stop = 'stop'


class TaskAction(NamedTuple):
    """One step against a shortage of memory, or back."""

    action: Action
    key: TaskKey


class MemoryUse(NamedTuple):
    """Memory of one task, in MB."""

    reserved: float
    measured: float

    def overrun(self) -> float:
        """Return the use over the reservation."""
        return self.measured - self.reserved


class MemoryGuard:
    """Throttles, then checkpoints, and stops a task only if that fails.

    :param memory: of the worker, in MB.
    """

    def __init__(self, memory: float) -> None:
        """Begin without a shortage."""
        self.memory = memory
        self.throttled: set[TaskKey] = set()
        #: Suspended tasks with the memory that they had.
        self.suspended: dict[TaskKey, float] = {}
        #: Reports in a row that showed too little memory.
        self.full_reports = 0

    def decide(self, tasks: Mapping[TaskKey, MemoryUse]) -> list[TaskAction]:
        """Return what to do after a report of use.

        :param tasks: all that run.
        """
        self.forget(tasks)
        used = sum(
            use.measured
            for key, use in tasks.items()
            if key not in self.suspended
        )
        fraction = used / self.memory
        self.full_reports = (
            self.full_reports + 1 if fraction > STOP_FRACTION else 0
        )
        if self.full_reports > CHECKPOINT_GRACE_REPORTS:
            self.full_reports = 0
            return self.stop_one(tasks)
        if fraction > CHECKPOINT_FRACTION:
            return self.checkpoint(tasks, used)
        if fraction > THROTTLE_FRACTION:
            return self.throttle(tasks)
        if fraction < RESUME_FRACTION:
            return self.resume(used)
        return []

    def forget(self, tasks: Mapping[TaskKey, MemoryUse]) -> None:
        """Drop tasks that have ended.

        :param tasks: all that run.
        """
        self.throttled.intersection_update(tasks)
        for key in tuple(self.suspended):
            if key not in tasks:
                self.suspended.pop(key)

    def throttle(self, tasks: Mapping[TaskKey, MemoryUse]) -> list[TaskAction]:
        """Slow down the tasks that use more than was reserved.

        :param tasks: all that run.
        """
        chosen = [
            key
            for key, use in tasks.items()
            if use.measured > use.reserved * OVERRUN_FACTOR
            and key not in self.throttled
            and key not in self.suspended
        ]
        self.throttled.update(chosen)
        return [TaskAction(Action.throttle, key) for key in chosen]

    def checkpoint(
        self, tasks: Mapping[TaskKey, MemoryUse], used: float
    ) -> list[TaskAction]:
        """Suspend the tasks that exceed their reservation most.

        :param tasks: all that run.
        :param used: memory that they use, in MB.
        """
        actions: list[TaskAction] = []
        for key in sort_by_overrun(tasks):
            if used <= self.memory * THROTTLE_FRACTION:
                break
            if key in self.suspended:
                continue
            self.suspended[key] = tasks[key].measured
            self.throttled.discard(key)
            used -= tasks[key].measured
            actions.append(TaskAction(Action.checkpoint, key))
        return actions

    def resume(self, used: float) -> list[TaskAction]:
        """Let tasks go on, as far as there is memory for them.

        :param used: memory that the others use, in MB.
        """
        actions = [TaskAction(Action.resume, key) for key in self.throttled]
        self.throttled.clear()
        for key, memory in tuple(self.suspended.items()):
            if used + memory > self.memory * THROTTLE_FRACTION:
                continue
            used += memory
            self.suspended.pop(key)
            actions.append(TaskAction(Action.resume, key))
        return actions

    def stop_one(self, tasks: Mapping[TaskKey, MemoryUse]) -> list[TaskAction]:
        """Stop the task that exceeds its reservation most.

        :param tasks: all that run.
        """
        ranked = sort_by_overrun(tasks)
        return [TaskAction(Action.stop, ranked[0])] if ranked else []


def sort_by_overrun(tasks: Mapping[TaskKey, MemoryUse]) -> list[TaskKey]:
    """Return tasks, the one that exceeds its reservation most first.

    :param tasks: all that run.
    """
    return sorted(tasks, key=lambda key: -tasks[key].overrun())
