"""Decides which tasks to slow down or suspend under memory pressure."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jackdawridge.execution.messages import TaskKey

#: Fraction of the worker's memory in use above which tasks that exceed their
#: reservation are throttled.
THROTTLE_FRACTION = 0.85

#: Fraction of the memory in use above which tasks are checkpointed.
CHECKPOINT_FRACTION = 0.92

#: Fraction of the memory in use above which a task is stopped if checkpoints
#: have not helped.
STOP_FRACTION = 0.97

#: Fraction of the memory in use below which tasks resume at full speed.
RESUME_FRACTION = 0.75

#: Number of usage reports that a checkpoint may take to show its effect.
CHECKPOINT_GRACE_REPORTS = 3

#: Factor by which a task exceeds its reservation before it is throttled.
OVERRUN_FACTOR = 1.1


class Action(enum.Enum):
    """Actions on a task under memory pressure."""

    throttle = 'throttle'
    checkpoint = 'checkpoint'
    resume = 'resume'
    stop = 'stop'


class TaskAction(NamedTuple):
    """An action to take on one task."""

    action: Action
    key: TaskKey


class MemoryUse(NamedTuple):
    """Memory of one task, in MB."""

    reserved: float
    measured: float

    def overrun(self) -> float:
        """Return the usage in excess of the reservation, in MB."""
        return self.measured - self.reserved


class MemoryGuard:
    """Throttles, then checkpoints tasks, and stops one only if that fails.

    :param memory: memory of the worker, in MB.
    """

    def __init__(self, memory: float) -> None:
        """Initialise the guard without memory pressure."""
        self.memory = memory
        self.throttled: set[TaskKey] = set()
        #: Memory that suspended tasks used before, in MB.
        self.suspended: dict[TaskKey, float] = {}
        #: Number of consecutive reports above the stop threshold.
        self.full_reports = 0

    def decide(self, tasks: Mapping[TaskKey, MemoryUse]) -> list[TaskAction]:
        """Return the actions to take after a usage report.

        :param tasks: memory of all running tasks.
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
        """Drop the state of tasks that have ended.

        :param tasks: memory of all running tasks.
        """
        self.throttled.intersection_update(tasks)
        for key in tuple(self.suspended):
            if key not in tasks:
                self.suspended.pop(key)

    def throttle(self, tasks: Mapping[TaskKey, MemoryUse]) -> list[TaskAction]:
        """Throttle the tasks that exceed their reservation.

        :param tasks: memory of all running tasks.
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
        """Checkpoint the tasks that exceed their reservation most.

        :param tasks: memory of all running tasks.
        :param used: memory used by tasks that are not suspended, in MB.
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
        """Resume throttled tasks, and suspended ones as far as memory allows.

        :param used: memory used by tasks that are not suspended, in MB.
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

        :param tasks: memory of all running tasks.
        """
        ranked = sort_by_overrun(tasks)
        return [TaskAction(Action.stop, ranked[0])] if ranked else []


def sort_by_overrun(tasks: Mapping[TaskKey, MemoryUse]) -> list[TaskKey]:
    """Return the keys of tasks, the largest overrun first.

    :param tasks: memory of all running tasks.
    """
    return sorted(tasks, key=lambda key: -tasks[key].overrun())
