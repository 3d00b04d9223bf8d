"""Starts and stops tasks at a target under a lease that this side renews."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Result
from twisted.internet.defer import (
    DeferredSemaphore,
    ensureDeferred,
    gatherResults,
)

from jackdawridge.errors import JackdawridgeError
from jackdawridge.execution.leased_target import FencedError, Run
from jackdawridge.execution.worker import (
    AnswerLostError,
    NotSentError,
    StartAnswer,
    TaskList,
)
from jackdawridge.logs import get_logger
from jackdawridge.util.clock import pause

if TYPE_CHECKING:
    from jackdawridge.execution.lease_keeper import LeaseKeeper
    from jackdawridge.execution.leased_target import StartOrder
    from jackdawridge.execution.worker import WorkerListener, WorkerTask

logger = get_logger('worker')

#: Wait before a report is requested again after a failure, in seconds.
REPORT_RETRY_INTERVAL = 0.03
#: Wait between a stop and the report that shows its effect, in seconds.
STOP_CHECK_INTERVAL = 0.001
#: Most starts in flight; each uses a connection of its own.
MAX_CONCURRENT_STARTS = 6
#: Number of orders for one start before it is refused.
MAX_ORDERS = 3
#: Reason to refuse a start that the target has certainly not carried out.
UNANSWERED = 'start was not answered'


class LeasedWorker:
    """A worker whose runs end unless this side renews their lease.

    :param keeper: renews the lease.
    """

    def __init__(self, keeper: LeaseKeeper) -> None:
        """Initialise the worker without calling the target."""
        self.keeper = keeper
        self.clock = keeper.clock
        self.target = keeper.target
        self.table = keeper.table
        self.start_semaphore = DeferredSemaphore(MAX_CONCURRENT_STARTS)

    async def connect(self) -> None:
        """Return at once if starts can be sent.

        :raises NotSentError: if the target is not available.
        """
        if self.keeper.unavailable_reason:
            raise NotSentError(self.keeper.unavailable_reason, step='start')

    async def start(
        self, tasks: tuple[WorkerTask, ...]
    ) -> tuple[StartAnswer, ...]:
        """Start tasks and return the answers.

        :param tasks: tasks to start.
        """
        calls = [ensureDeferred(self.start_one(task)) for task in tasks]
        return tuple(await gatherResults(calls))

    async def start_one(self, task: WorkerTask) -> StartAnswer:
        """Start one task, unless it runs at the target already.

        :param task: task to start.
        """
        name = self.target.task_name(task.id)
        if self.table.runs.has_task(name):
            return StartAnswer(
                task.id, False, 'task already runs at this target'
            )
        run = self.table.add_run(name, task.id, self.clock.seconds())
        await self.start_semaphore.acquire()
        try:
            return await self.order_with_retries(run, task)
        finally:
            self.start_semaphore.release()

    async def order_with_retries(
        self, run: Run, task: WorkerTask
    ) -> StartAnswer:
        """Order a start, and again if it was certainly not carried out.

        :param run: first attempt to run the task.
        :param task: task to start.
        """
        for _ in range(MAX_ORDERS):
            answer = await self.order_start(run, task)
            if answer.reason != UNANSWERED:
                return answer
            run = self.table.renumber(run, self.clock.seconds())
        return self.not_started(run, task, UNANSWERED)

    async def order_start(self, run: Run, task: WorkerTask) -> StartAnswer:
        """Order a start and find out whether it was carried out.

        :param run: attempt to run the task.
        :param task: task to start.
        """
        decision = self.decide_order(run, task)
        if isinstance(decision, Err):
            logger.info(decision.err_value, step='start', run=run.name)
            return self.not_started(run, task, decision.err_value)
        order = decision.ok_value
        try:
            verdict = await self.target.start(order)
        except AnswerLostError as error:
            logger.warning(
                error.message, step='start', run=run.name, number=run.number
            )
            self.table.runs.record_lost_answer(run)
            return await self.resolve_start(run, task)
        except FencedError as error:
            self.table.raise_token(order.fencing_token)
            return self.not_started(run, task, error.message)
        except JackdawridgeError as error:
            return self.not_started(run, task, error.message)
        if not verdict.started:
            return self.not_started(run, task, verdict.reason)
        self.keeper.run_started(run)
        return StartAnswer(task.id, True, '')

    def decide_order(
        self, run: Run, task: WorkerTask
    ) -> Result[StartOrder, str]:
        """Return the order to start a run, or why it must not be ordered.

        :param run: attempt to run the task.
        :param task: task to start.
        """
        listener = self.keeper.listener
        reason = self.keeper.unavailable_reason
        if not reason and listener is not None:
            reason = listener.start_refusal(task.id)
        if reason:
            return Err(reason)
        return self.table.order(run, task.payload, self.clock.seconds())

    def not_started(
        self, run: Run, task: WorkerTask, reason: str
    ) -> StartAnswer:
        """Remove a run that will never start and return the refusal.

        :param run: attempt to run the task.
        :param task: task that was refused.
        :param reason: reason to send to the entry.
        """
        self.table.runs.remove(run)
        return StartAnswer(task.id, False, reason)

    async def resolve_start(self, run: Run, task: WorkerTask) -> StartAnswer:
        """Find out whether a start without an answer was carried out.

        If a report shows the run, it was. Otherwise the run is stopped, which
        also prevents it from starting later. If another target or incarnation
        was joined meanwhile, its reports don't tell what the one before has
        done: the run counts as started, and is lost with the take-over.

        :param run: attempt that was ordered.
        :param task: task to start.
        """
        await self.refresh()
        if run in self.table.reported_runs:
            self.keeper.run_started(run)
            return StartAnswer(task.id, True, '')
        await self.keeper.stopper.stop(run)
        stopped_at = self.clock.seconds()
        while self.table.runs.is_current(
            run
        ) and not self.table.is_absent_since(run, stopped_at):
            # Only a report that was requested after the stop is conclusive.
            await pause(self.clock, STOP_CHECK_INTERVAL)
            await self.refresh()
        if self.table.runs.is_current(run):
            return StartAnswer(task.id, False, UNANSWERED)
        # The run had started and its end was reported, or it may have been
        # at work until the target's end. A refusal would tell the entry that
        # no part of the task was run.
        return StartAnswer(task.id, True, '')

    async def refresh(self) -> None:
        """Request a report at once; after a failure, wait before returning."""
        try:
            await self.keeper.refresh(0)
        except JackdawridgeError as error:
            logger.info(error.message, step='settle')
            await pause(self.clock, REPORT_RETRY_INTERVAL)

    async def stop(self, ids: tuple[str, ...]) -> None:
        """Stop tasks.

        :param ids: ids of the tasks.
        """
        for run in self.table.runs.of_tasks(ids):
            ensureDeferred(self.keeper.stopper.stop(run))

    async def list(self) -> TaskList:
        """Stop the runs of an earlier side once the target is present.

        Their entries are told that the tasks were lost, so nothing is adopted
        and the returned list is empty.
        """
        await self.keeper.binding.wait_until_present()
        await self.keeper.take_over()
        return TaskList(0, ())

    async def throttle(self, ids: tuple[str, ...], share: float) -> None:
        """Refuse the call: this target reports no usage to throttle tasks by.

        :param ids: ids of the tasks.
        :param share: share of the cores, from 0 to 1.
        :raises NotSentError: always.
        """
        raise NotSentError('target cannot throttle tasks', step='throttle')

    async def checkpoint(self, ids: tuple[str, ...]) -> None:
        """Refuse the call: this target reports no usage to select tasks by.

        :param ids: ids of the tasks.
        :raises NotSentError: always.
        """
        raise NotSentError('target cannot checkpoint tasks', step='checkpoint')

    async def renew(self, lease: float) -> None:
        """Ignore the call: the keeper renews the lease continuously.

        :param lease: duration of the lease in seconds from now.
        """

    async def forget(self, event: int) -> None:
        """Ignore the call: each renewal confirms the ends received so far.

        :param event: number of the event.
        """

    def follow(self, event: int, listener: WorkerListener) -> None:
        """Renew the lease and report all ends, until `close`.

        :param event: number of the last known event; ignored, as the target
            repeats unconfirmed ends.
        :param listener: receives the ends.
        """
        self.keeper.follow(listener)

    def close(self) -> None:
        """Stop renewing the lease."""
        self.keeper.closed = True
