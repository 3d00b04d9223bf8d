"""What a side does about tasks that fill the memory of its worker."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jackdawridge.execution.messages import TaskKey

#: Part of the memory from which tasks that use too much are slowed down.
THROTTLE_PART = 0.85

#: Part of the memory from which tasks are checkpointed.
CHECKPOINT_PART = 0.92

#: Part of the memory from which a task is stopped if nothing else helped.
STOP_PART = 0.97

#: Part of the memory below which tasks go on at full speed.
RESUME_PART = 0.75

#: Reports of use that a checkpoint may take to show.
PATIENT_REPORTS = 3

#: Factor over its reservation from which a task uses too much.
OVERRUN = 1.1


class Step(enum.Enum):
    """What is done to a task."""

    throttle = 'throttle'
    checkpoint = 'checkpoint'
    resume = 'resume'
    stop = 'stop'


class Relief(NamedTuple):
    """One step against a shortage of memory, or back."""

    step: Step
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

    def decide(self, tasks: Mapping[TaskKey, MemoryUse]) -> list[Relief]:
        """Return what to do after a report of use.

        :param tasks: all that run.
        """
        self.forget(tasks)
        used = sum(
            use.measured
            for key, use in tasks.items()
            if key not in self.suspended
        )
        part = used / self.memory
        self.full_reports = self.full_reports + 1 if part > STOP_PART else 0
        if self.full_reports > PATIENT_REPORTS:
            self.full_reports = 0
            return self.stop_one(tasks)
        if part > CHECKPOINT_PART:
            return self.checkpoint(tasks, used)
        if part > THROTTLE_PART:
            return self.throttle(tasks)
        if part < RESUME_PART:
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

    def throttle(self, tasks: Mapping[TaskKey, MemoryUse]) -> list[Relief]:
        """Slow down the tasks that use more than was reserved.

        :param tasks: all that run.
        """
        chosen = [
            key
            for key, use in tasks.items()
            if use.measured > use.reserved * OVERRUN
            and key not in self.throttled
            and key not in self.suspended
        ]
        self.throttled.update(chosen)
        return [Relief(Step.throttle, key) for key in chosen]

    def checkpoint(
        self, tasks: Mapping[TaskKey, MemoryUse], used: float
    ) -> list[Relief]:
        """Suspend the tasks that exceed their reservation most.

        :param tasks: all that run.
        :param used: memory that they use, in MB.
        """
        steps: list[Relief] = []
        for key in by_overrun(tasks):
            if used <= self.memory * THROTTLE_PART:
                break
            if key in self.suspended:
                continue
            self.suspended[key] = tasks[key].measured
            self.throttled.discard(key)
            used -= tasks[key].measured
            steps.append(Relief(Step.checkpoint, key))
        return steps

    def resume(self, used: float) -> list[Relief]:
        """Let tasks go on, as far as there is memory for them.

        :param used: memory that the others use, in MB.
        """
        steps = [Relief(Step.resume, key) for key in self.throttled]
        self.throttled.clear()
        for key, memory in tuple(self.suspended.items()):
            if used + memory > self.memory * THROTTLE_PART:
                continue
            used += memory
            self.suspended.pop(key)
            steps.append(Relief(Step.resume, key))
        return steps

    def stop_one(self, tasks: Mapping[TaskKey, MemoryUse]) -> list[Relief]:
        """Stop the task that exceeds its reservation most.

        :param tasks: all that run.
        """
        ranked = by_overrun(tasks)
        return [Relief(Step.stop, ranked[0])] if ranked else []


def by_overrun(tasks: Mapping[TaskKey, MemoryUse]) -> list[TaskKey]:
    """Return tasks, the one that exceeds its reservation most first.

    :param tasks: all that run.
    """
    return sorted(tasks, key=lambda key: -tasks[key].overrun())
