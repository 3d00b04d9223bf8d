"""Runs tasks at a target under leases that this side renews."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from twisted.internet.defer import (
    Deferred,
    DeferredSemaphore,
    ensureDeferred,
    gatherResults,
)

from jackdawridge.errors import JackdawridgeError
from jackdawridge.execution.leases import (
    FencedError,
    HoldOrder,
    OtherIncarnationError,
    Run,
    StartOrder,
)
from jackdawridge.execution.run_table import LeaseTiming, LiveRun, RunTable
from jackdawridge.execution.worker import (
    AnswerLostError,
    NotSentError,
    StartAnswer,
    TaskList,
    TaskStatus,
)
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.execution.leases import LeasedTarget, TargetReport
    from jackdawridge.execution.worker import WorkerListener, WorkerTask
    from jackdawridge.util.clock import Clock

logger = get_logger('worker')

#: Wait before the target is called again after a failure, in seconds.
RETRY_WAIT = 0.1
#: Wait before a report is looked at again, in seconds.
LOOK_WAIT = 0.03
#: Starts that are under way at a time, each on a connection of its own.
MAX_STARTING = 4
#: Calls without an answer after which the lease is not renewed any more, so
#: that it is known when everything has ended.
MAX_SILENT = 2

#: Nothing is started before what an earlier side has left is stopped.
NOT_TAKEN = 'target is being taken over'

_STEP = 'hold'


class LeasedWorker:
    """A worker whose runs end with a lease unless it is renewed.

    :param clock: the reactor.
    :param target: runs the tasks.
    :param timing: of the leases.
    :param announce: called with the reason why nothing can be started, or an
        empty text, whenever that changes.
    """

    def __init__(
        self,
        clock: Clock,
        target: LeasedTarget,
        timing: LeaseTiming,
        announce: Callable[[str], None],
    ) -> None:
        """Prepare without calling the target."""
        self.clock = clock
        self.target = target
        self.timing = timing
        self.announce = announce
        self.table = RunTable(timing)
        self.listener: WorkerListener | None = None
        self.starting = DeferredSemaphore(MAX_STARTING)
        #: Whether the target is there, as far as its heartbeats tell.
        self.is_known = False
        #: Whether what an earlier side has left there was stopped.
        self.is_taken = False
        self.silent_calls = 0
        #: Why nothing can be started, or empty.
        self.reason = NOT_TAKEN
        self.closed = False

    # Heartbeats of the target decide whether it is called at all.

    def target_joined(self) -> None:
        """Begin to use the target, which is a new incarnation."""
        self.lose_all('target has restarted')
        self.table.reset()
        self.is_known = True
        self.is_taken = False
        self.tell(NOT_TAKEN)

    async def connect(self) -> None:
        """Return at once if starts can be sent.

        :raises NotSentError: if not.
        """
        if self.reason:
            raise NotSentError(self.reason, step='start')

    async def start(
        self, tasks: tuple[WorkerTask, ...]
    ) -> tuple[StartAnswer, ...]:
        """Start tasks.

        :param tasks: to start.
        """
        calls = [ensureDeferred(self.start_one(task)) for task in tasks]
        return tuple(await gatherResults(calls))

    async def start_one(self, task: WorkerTask) -> StartAnswer:
        """Start one task.

        :param task: to start.
        """
        name = self.target.name_of(task.id)
        if self.table.is_live(name):
            return StartAnswer(task.id, False, 'task runs here already')
        now = self.clock.seconds()
        run = self.table.begin(name, task.id, now)
        await self.starting.acquire()
        try:
            return await self.order(run, task)
        finally:
            self.starting.release()

    async def order(self, run: Run, task: WorkerTask) -> StartAnswer:
        """Order a start and find out whether it was carried out.

        :param run: that was begun.
        :param task: to start.
        """
        now = self.clock.seconds()
        order = StartOrder(
            run, task.payload, self.table.grant(now), self.table.token
        )
        try:
            verdict = await self.target.start(order)
        except AnswerLostError as error:
            logger.warning(
                error.message, step='start', run=run.name, number=run.number
            )
            return await self.settle(run, task, now)
        except FencedError as error:
            self.table.raise_token()
            return self.not_started(run, task, error.message)
        except JackdawridgeError as error:
            return self.not_started(run, task, error.message)
        if not verdict.started:
            return self.not_started(run, task, verdict.reason)
        self.table.confirm(run, self.clock.seconds())
        return StartAnswer(task.id, True, '')

    def not_started(
        self, run: Run, task: WorkerTask, reason: str
    ) -> StartAnswer:
        """Forget a run that will never start.

        :param run: that was begun.
        :param task: that it belongs to.
        :param reason: for the entry.
        """
        self.table.drop(run)
        return StartAnswer(task.id, False, reason)

    async def settle(
        self, run: Run, task: WorkerTask, sent: float
    ) -> StartAnswer:
        """Find out what became of a start without an answer.

        A report that was asked for after the order may show the run. If none
        does, the run is stopped, which also keeps it from starting later.

        :param run: that was ordered.
        :param task: that it belongs to.
        :param sent: time of the order in seconds.
        """
        if self.table.was_running(run, sent):
            self.table.confirm(run, self.clock.seconds())
            return StartAnswer(task.id, True, '')
        await self.stop_run(run)
        stopped = self.clock.seconds()
        while run in self.table.runs and not self.table.was_absent(
            run, stopped
        ):
            await self.pause(LOOK_WAIT)
        return self.not_started(run, task, 'start was not answered')

    async def stop(self, ids: tuple[str, ...]) -> None:
        """Stop tasks.

        :param ids: of the tasks.
        """
        for run in self.table.runs_of(ids):
            ensureDeferred(self.stop_run(run))

    async def stop_run(self, run: Run) -> None:
        """Order the stop of a run until that is answered or it is over.

        :param run: live or under way.
        """
        while run in self.table.runs:
            try:
                await self.target.stop(run, self.table.token)
            except AnswerLostError:
                await self.pause(RETRY_WAIT)
            except FencedError:
                self.table.raise_token()
            except JackdawridgeError as error:
                logger.info(error.message, step='stop', run=run.name)
                return
            else:
                return

    async def list(self) -> TaskList:
        """Stop what an earlier side has left at the target.

        Its entries are told that its tasks are over, so nothing is adopted.

        :raises NotSentError: while the target is not known.
        """
        if not self.is_known:
            raise NotSentError('no heartbeat of the target yet', step='list')
        await self.take_over()
        return TaskList(0, ())

    async def take_over(self) -> None:
        """Use a token that is the highest, and stop all that runs."""
        left = True
        while left:
            asked = self.clock.seconds()
            report = await self.ask(0, renews=False)
            if self.table.is_other(report):
                self.table.reset()
            self.table.take(report, asked, self.clock.seconds())
            left = bool(report.running)
            for run in report.running:
                logger.info('stops a run of before', run=run.name, step='adopt')
                await self.target.stop(run, self.table.token)
        self.is_taken = True
        self.tell('')

    async def throttle(self, ids: tuple[str, ...], share: float) -> None:
        """Refuse; no use is reported by which tasks could be throttled.

        :param ids: of the tasks.
        :param share: 0 to 1.
        """
        raise NotSentError('not offered', step='throttle')

    async def checkpoint(self, ids: tuple[str, ...]) -> None:
        """Refuse; no use is reported by which tasks could be chosen.

        :param ids: of the tasks.
        """
        raise NotSentError('not offered', step='checkpoint')

    async def renew(self, lease: float) -> None:
        """Do nothing: the lease is renewed all the time.

        :param lease: in seconds from now.
        """

    async def forget(self, event: int) -> None:
        """Do nothing: ends are confirmed with the next renewal.

        :param event: number of the event.
        """

    def follow(self, event: int, listener: WorkerListener) -> None:
        """Renew the lease and report all ends, until `close`.

        :param event: number of the last known event.
        :param listener: told of the ends.
        """
        self.listener = listener
        ensureDeferred(self.keep())

    def close(self) -> None:
        """Stop renewing."""
        self.closed = True

    async def keep(self) -> None:
        """Renew the lease until the end of the process."""
        while not self.closed:
            if not self.is_known:
                await self.pause(RETRY_WAIT)
                continue
            try:
                await self.keep_once()
            except JackdawridgeError as error:
                self.failed(error)
                await self.pause(RETRY_WAIT)

    async def keep_once(self) -> None:
        """Renew the lease once, after a take-over if need be."""
        if not self.is_taken:
            await self.take_over()
        asked = self.clock.seconds()
        renews = self.silent_calls < MAX_SILENT
        report = await self.ask(self.timing.renewal, renews=renews)
        if self.table.is_other(report):
            self.target_joined()
            return
        self.silent_calls = 0
        self.tell('')
        news = self.table.take(report, asked, self.clock.seconds())
        for run, live, outcome, reason in news.ended:
            self.report(live, outcome, reason, run)
        for run in news.strays:
            logger.warning('stops a stray run', run=run.name)
            await self.target.stop(run, self.table.token)

    async def ask(self, wait: float, *, renews: bool) -> TargetReport:
        """Ask for a report.

        :param wait: time that the target waits for a new end, in seconds.
        :param renews: whether the lease is renewed.
        """
        lease = self.table.grant(self.clock.seconds()) if renews else None
        order = HoldOrder(self.table.token, self.table.seen, lease, wait)
        try:
            return await self.target.hold(order)
        except FencedError as error:
            self.table.raise_token()
            raise AnswerLostError(error.message, step=_STEP) from error

    def failed(self, error: JackdawridgeError) -> None:
        """Act on a call that was not answered.

        :param error: why.
        """
        self.silent_calls += 1
        if isinstance(error, (NotSentError, OtherIncarnationError)):
            # Nothing listens there any more, so nothing runs there either.
            self.is_known = not isinstance(error, OtherIncarnationError)
            self.is_taken = False
            self.tell(f'target is away: {error.message}')
            self.lose_all('target is away')
        elif self.silent_calls >= MAX_SILENT:
            self.tell('target does not answer')
            if self.clock.seconds() > self.table.over_at:
                self.is_taken = False
                self.lose_all('lease has run out')

    def tell(self, reason: str) -> None:
        """Announce whether anything can be started.

        :param reason: why not, or empty.
        """
        if reason != self.reason:
            self.reason = reason
            logger.notice(reason or 'target answers', step=_STEP)
            self.announce(reason)

    def lose_all(self, reason: str) -> None:
        """Report that all runs are over and their outcomes unknown.

        :param reason: for the entries.
        """
        for run, live in self.table.clear():
            self.report(live, 'lost', reason, run)

    def report(
        self, live: LiveRun, outcome: str, reason: str, run: Run
    ) -> None:
        """Tell the listener that a run is over.

        :param live: what was known of the run.
        :param outcome: as in `TaskStatus`, or `lost`.
        :param reason: of a failure.
        :param run: that is over.
        """
        if self.listener is None:
            return
        took = max(self.clock.seconds() - live.began, 0)
        self.listener.task_ended(
            TaskStatus(live.task_id, outcome, reason, b'', 0, 0, took, 0)
        )

    def pause(self, wait: float) -> Deferred[None]:
        """Return a `Deferred` that fires after a while.

        :param wait: in seconds.
        """
        waited: Deferred[None] = Deferred()
        self.clock.callLater(wait, waited.callback, None)
        return waited
