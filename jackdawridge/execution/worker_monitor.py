"""Starts and stops tasks at the worker and handles its events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import ensureDeferred

from jackdawridge.errors import JackdawridgeError
from jackdawridge.execution.event_ledger import EventLedger
from jackdawridge.execution.messages import Ending, Room
from jackdawridge.execution.starter import (
    Starter,
    format_task_id,
    parse_task_id,
)
from jackdawridge.execution.state import AdoptedTask
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.execution.messages import TaskKey
    from jackdawridge.execution.outcome_sender import OutcomeSender
    from jackdawridge.execution.state import SideState
    from jackdawridge.execution.worker import (
        TaskList,
        TaskStatus,
        TaskUsage,
        Worker,
    )

logger = get_logger('execution')

#: Lease on a task at the worker, as a multiple of the side's task lease.
WORKER_LEASE_FACTOR = 3


class WorkerMonitor:
    """Starts and stops tasks at the worker and reports their outcomes.

    :param application: the process, with its clock and settings.
    :param worker: worker beside this side.
    :param state: state of the side.
    :param sender: sends the outcomes.
    """

    def __init__(
        self,
        application: Application,
        worker: Worker,
        state: SideState,
        sender: OutcomeSender,
    ) -> None:
        """Initialise without calling the worker."""
        self.application = application
        self.clock = application.clock
        self.worker = worker
        self.state = state
        self.sender = sender
        self.lease = (
            application.settings.number('task_lease') * WORKER_LEASE_FACTOR
        )
        self.starter = Starter(
            worker, self.clock, self, self.lease, self.start_refusal
        )
        self.event_ledger = EventLedger()
        #: Whether a reconciliation after an interruption is pending.
        self.reconciling = False

    async def adopt(self) -> None:
        """Adopt the tasks that the worker runs; wait until it answers."""
        listed = None
        while listed is None:
            listed = await self.starter.list()
            if listed is None:
                await self.starter.pause()
        adopted = [
            AdoptedTask(key, Room(status.cores, status.memory, 0, 1))
            for status in listed.tasks
            if status.state == 'running'
            and (key := parse_task_id(status.id)) is not None
        ]
        self.state.adopt(adopted, self.clock.seconds())
        logger.info(f'adopted {len(adopted)} tasks', step='adopt')
        self.worker.follow(0, self)

    def renew_and_forget(self) -> None:
        """Renew the worker's leases and let it forget delivered outcomes."""
        if self.state.tasks:
            self.call_and_log('renew', self.worker.renew(self.lease))
        forgettable = self.event_ledger.next_forgettable()
        if forgettable:
            self.call_and_log('forget', self.worker.forget(forgettable))

    def call_and_log(self, step: str, call: object) -> None:
        """Make a call to the worker whose failure is only logged.

        :param step: step that the log line names.
        :param call: coroutine of the worker.
        """
        ensureDeferred(_log_failure(step, call))

    def start_refusal(self, task_id: str) -> str:
        """Return why a task must not be started any more, or an empty string.

        A start may wait for the worker after its admission, while its task is
        reported as lost or stopped, its entry is lost, or the gate shuts.

        :param task_id: id of the task at the worker.
        """
        key = parse_task_id(task_id)
        task = None if key is None else self.state.tasks.get(key)
        if task is None:
            return 'task has ended'
        return task.stop_reason or self.state.gate.refusal(self.clock.seconds())

    def task_started(self, task_id: str) -> None:
        """Confirm a task before the other starts of its batch are answered.

        :param task_id: id of the task at the worker.
        """
        key = parse_task_id(task_id)
        if key is not None:
            self.started((key,))

    def started(self, keys: tuple[TaskKey, ...]) -> None:
        """Confirm tasks and stop those whose stop was requested meanwhile.

        :param keys: keys of tasks that the worker runs.
        """
        self.stop_tasks([key for key in keys if self.state.confirm(key)])

    def not_started(self, key: TaskKey, reason: str) -> None:
        """Refuse a task that the worker refused or certainly never received.

        :param key: key of the task.
        :param reason: reason to send to the entry.
        """
        self.state.refuse_unstarted(key, reason, self.clock.seconds())
        self.sender.flush_soon()

    def start_lost(self, key: TaskKey, reason: str) -> None:
        """Report a task as lost that may or may not have been started.

        :param key: key of the task.
        :param reason: reason to send to the entry.
        """
        if key in self.state.tasks:
            ending = Ending(key, 'lost', reason, b'', 0, 0, 0)
            self.state.end(ending, 0, self.clock.seconds())
            self.sender.flush_soon()

    def task_ended(self, status: TaskStatus) -> None:
        """Report the end of a task to its entry.

        :param status: status that the worker reported.
        """
        key = parse_task_id(status.id)
        if key is None:
            return
        ending = Ending(
            key,
            status.state,
            status.reason,
            status.answer,
            status.cores,
            status.memory,
            status.run_time,
        )
        self.event_ledger.record(status.event)
        self.state.end(ending, status.event, self.clock.seconds())
        self.sender.flush_soon()

    def usage_reported(self, usage: tuple[TaskUsage, ...]) -> None:
        """Emit a usage report as an event of the application.

        :param usage: usage of running tasks.
        """
        self.application.events.emit('usage_reported', usage)

    def events_interrupted(self) -> None:
        """Start to look for tasks that the worker lost in a restart.

        The event stream then repeats all events that were not forgotten.
        """
        self.event_ledger.restart()
        if not self.reconciling:
            ensureDeferred(self.reconcile())

    async def reconcile(self) -> None:
        """Report tasks as lost that the worker no longer knows.

        The worker is asked until it answers, because the event stream may be
        open again before another interruption is noticed.
        """
        listed = None
        while listed is None:
            self.reconciling = True
            await self.starter.pause()
            # An interruption while the worker is asked starts another
            # reconciliation.
            self.reconciling = False
            running_keys = self.confirmed_tasks()
            listed = await self.starter.list()
        known_ids = {status.id for status in listed.tasks}
        for key in running_keys:
            if format_task_id(key) not in known_ids:
                self.start_lost(key, 'worker no longer knows the task')
        self.report_ended_tasks(listed)

    def confirmed_tasks(self) -> set[TaskKey]:
        """Return the keys of the tasks that the worker has confirmed."""
        return {
            key
            for key, task in self.state.tasks.items()
            if task.lifecycle.is_confirmed()
        }

    def report_ended_tasks(self, listed: TaskList) -> None:
        """Report the ends that the event stream would not repeat.

        :param listed: tasks of the worker.
        """
        for status in listed.tasks:
            key = parse_task_id(status.id)
            if status.state != 'running' and key in self.state.tasks:
                self.task_ended(status)

    def stop_tasks(self, keys: list[TaskKey]) -> None:
        """Stop tasks at the worker.

        :param keys: keys of the tasks.
        """
        if keys:
            ids = tuple(format_task_id(key) for key in keys)
            self.call_and_log('stop', self.worker.stop(ids))


async def _log_failure(step: str, call: object) -> None:
    """Await a call and log its failure."""
    try:
        await call  # type: ignore[misc]
    except JackdawridgeError as error:
        logger.warning(error.message, step=step, peer=error.peer)
