"""A leased worker and its fake target on one clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import ensureDeferred

from jackdawridge.execution.lease_keeper import LeaseKeeper
from jackdawridge.execution.leased_worker import LeasedWorker
from jackdawridge.execution.messages import TaskKey
from jackdawridge.execution.starter import format_task_id
from jackdawridge.execution.worker import WorkerTask
from tests.test_execution.fake_target import TIMING, FakeTarget

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.execution.worker import (
        StartAnswer,
        TaskStatus,
        TaskUsage,
    )

#: Steps of 0.01 s within which the end of a task is reported, at the latest
#: after a lease.
MAX_OUTCOME_STEPS = 300


class Listener:
    """Records the ends of tasks."""

    def __init__(self) -> None:
        self.ended: list[TaskStatus] = []
        self.started: list[str] = []
        #: Reasons why tasks must not be started any more, by id.
        self.refusals: dict[str, str] = {}

    def start_refusal(self, task_id: str) -> str:
        return self.refusals.get(task_id, '')

    def task_started(self, task_id: str) -> None:
        self.started.append(task_id)

    def task_ended(self, status: TaskStatus) -> None:
        self.ended.append(status)

    def usage_reported(self, usage: tuple[TaskUsage, ...]) -> None:
        """Ignore usage."""

    def events_interrupted(self) -> None:
        """Ignore interruptions."""


class Harness:
    """A worker and its fake target on one clock."""

    def __init__(self) -> None:
        self.target = FakeTarget()
        self.clock = self.target.clock
        self.advance(1)
        self.reasons: list[str] = []
        self.keeper = LeaseKeeper(self.clock, self.target, TIMING)
        self.keeper.availability_changed = self.reasons.append
        self.worker = LeasedWorker(self.keeper)
        self.listener = Listener()
        self.answers: list[StartAnswer] = []
        self.keeper.target_joined(*self.target.incarnation_and_clock())
        self.worker.follow(0, self.listener)
        self.advance(0.3)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)

    def start(self, task: int = 0, lease: int = 1) -> str:
        """Order a start and return the id of the task."""
        return self.start_batch((task,), lease)[0]

    def start_batch(
        self, tasks: Iterable[int], lease: int = 1
    ) -> tuple[str, ...]:
        """Order the starts of a batch and return the ids of the tasks."""
        ids = tuple(
            format_task_id(TaskKey('a~b~~0123456789abcdef', task, lease))
            for task in tasks
        )
        orders = tuple(
            WorkerTask(task_id, 'kind', b'spec', 1, 1, 0, 0) for task_id in ids
        )
        started = ensureDeferred(self.worker.start(orders))
        started.addCallback(self.answers.extend)
        return ids

    def stop(self, *ids: str) -> None:
        """Order the stop of tasks."""
        ensureDeferred(self.worker.stop(ids))

    def advance_until_outcome(self) -> None:
        """Advance the time until the end of a task is reported."""
        for _ in range(MAX_OUTCOME_STEPS):
            if self.listener.ended:
                return
            self.advance(0.01)
        raise AssertionError('no end was reported')

    def outcomes(self) -> list[tuple[str, str]]:
        return [(status.id, status.state) for status in self.listener.ended]
