"""Keeps the lease on what runs at a target, and hears what ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, ensureDeferred, succeed

from jackdawridge.errors import JackdawridgeError
from jackdawridge.execution.leases import (
    FencedError,
    HoldOrder,
    OtherIncarnationError,
    Run,
)
from jackdawridge.execution.run_table import (
    LeaseTiming,
    LiveRun,
    ReportChanges,
    RunTable,
)
from jackdawridge.execution.worker import (
    AnswerLostError,
    NotSentError,
    TaskStatus,
)
from jackdawridge.logs import get_logger
from jackdawridge.util.clock import pause

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.execution.leases import LeasedTarget, TargetReport
    from jackdawridge.execution.worker import WorkerListener
    from jackdawridge.util.clock import Clock

logger = get_logger('worker')

#: Wait before the target is called again after a failure, in seconds.
RETRY_INTERVAL = 0.1
#: Calls without an answer after which the lease is not renewed any more, so
#: that it is known when everything has ended.
MAX_UNANSWERED_CALLS = 3
#: Nothing is started before what an earlier side has left is stopped.
TAKE_OVER_PENDING = 'target is being taken over'

_STEP = 'hold'


class LeaseKeeper:
    """Renews the lease on all runs at a target and reports their ends.

    :param clock: the reactor.
    :param target: runs the tasks.
    :param timing: of the leases.
    """

    def __init__(
        self, clock: Clock, target: LeasedTarget, timing: LeaseTiming
    ) -> None:
        """Prepare without calling the target."""
        self.clock = clock
        self.target = target
        self.timing = timing
        #: Called with the reason why nothing can be started, or an empty
        #: text, whenever that changes.
        self.availability_changed: Callable[[str], None] = ignore
        self.table = RunTable(timing)
        self.listener: WorkerListener | None = None
        #: Whether the target is there, as far as its heartbeats tell.
        self.is_present = False
        self.waiters: list[Deferred[None]] = []
        #: Whether what an earlier side has left there was stopped.
        self.is_taken_over = False
        self.unanswered_calls = 0
        #: Why nothing can be started, or empty.
        self.unavailable_reason = TAKE_OVER_PENDING
        self.closed = False

    def follow(self, listener: WorkerListener) -> None:
        """Renew the lease and report all ends until `closed` is set.

        :param listener: told of the ends.
        """
        self.listener = listener
        ensureDeferred(self.renew_forever())

    def target_joined(self, incarnation: int, clock: float) -> None:
        """Begin to use the target, which is a new incarnation.

        :param incarnation: when it has started, in milliseconds.
        :param clock: of the target, in seconds.
        """
        self.table.reset(incarnation, clock)
        self.is_present = True
        self.is_taken_over = False
        self.report_availability(TAKE_OVER_PENDING)
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            waiter.callback(None)

    def wait_until_present(self) -> Deferred[None]:
        """Return a `Deferred` that fires when the target is there."""
        if self.is_present:
            return succeed(None)
        waiter: Deferred[None] = Deferred()
        self.waiters.append(waiter)
        return waiter

    async def renew_forever(self) -> None:
        """Renew the lease until the end of the process."""
        while not self.closed:
            if not self.is_present:
                await pause(self.clock, RETRY_INTERVAL)
                continue
            wait = await self.renew_safely()
            if wait:
                await pause(self.clock, wait)

    async def renew_safely(self) -> float:
        """Renew the lease once and return the wait before the next time.

        Without the lease everything that runs would end, so that no error
        ends the loop.
        """
        try:
            await self.renew_once()
        except AnswerLostError as error:
            self.call_failed(error)
            # The lease goes on running out, so the next call comes at once.
            return (
                RETRY_INTERVAL
                if self.unanswered_calls >= MAX_UNANSWERED_CALLS
                else 0
            )
        except JackdawridgeError as error:
            self.call_failed(error)
            return RETRY_INTERVAL
        except Exception:
            logger.exception('lease was not renewed', step=_STEP)
            return RETRY_INTERVAL
        return 0

    async def renew_once(self) -> None:
        """Renew the lease once, after a take-over if need be."""
        if not self.is_taken_over:
            await self.take_over()
        await self.refresh(self.timing.renewal)
        self.unanswered_calls = 0
        if self.is_taken_over:
            self.report_availability('')

    async def refresh(self, wait: float) -> None:
        """Renew the lease and act on the report.

        :param wait: time that the target waits for a new end, in seconds.
        """
        requested_at = self.clock.seconds()
        renews = self.unanswered_calls < MAX_UNANSWERED_CALLS
        report = await self.request_report(wait, renews=renews)
        if self.table.is_other_incarnation(report):
            self.target_joined(report.incarnation, report.clock)
            return
        changes = self.table.apply_report(
            report, requested_at, self.clock.seconds()
        )
        self.report_ended(changes)
        for run in changes.unknown_runs:
            logger.warning('stops a stray run', run=run.name)
            await self.target.stop(run, self.table.token)

    async def request_report(
        self, wait: float, *, renews: bool
    ) -> TargetReport:
        """Ask for a report.

        :param wait: time that the target waits for a new end, in seconds.
        :param renews: whether the lease is renewed.
        """
        lease = self.table.grant_lease(self.clock.seconds()) if renews else None
        order = HoldOrder(
            self.table.token, self.table.last_end_position, lease, wait
        )
        try:
            report = await self.target.hold(order)
        except FencedError as error:
            self.table.raise_token()
            raise AnswerLostError(error.message, step=_STEP) from error
        if report.incarnation < self.table.incarnation:
            raise AnswerLostError(
                'report of an earlier incarnation', step=_STEP
            )
        return report

    async def take_over(self) -> None:
        """Stop all that runs, then report what was ordered before as over.

        Orders of before may have reached the new incarnation; its reports
        tell. None is carried out any more after the first call with the new
        fencing token.
        """
        self.table.token += 1
        has_runs = True
        while has_runs:
            requested_at = self.clock.seconds()
            report = await self.request_report(0, renews=False)
            if self.table.is_other_incarnation(report):
                self.target_joined(report.incarnation, report.clock)
                continue
            self.report_ended(
                self.table.apply_report(
                    report, requested_at, self.clock.seconds()
                )
            )
            has_runs = bool(report.running)
            for run in report.running:
                logger.info('stops a run of before', run=run.name, step='adopt')
                await self.target.stop(run, self.table.token)
        self.report_all_lost('target was taken over')
        self.is_taken_over = True
        self.report_availability('')

    def report_ended(self, changes: ReportChanges) -> None:
        """Report the runs that are over.

        :param news: of the target.
        """
        for ended in changes.ended:
            self.report(*ended)

    def call_failed(self, error: JackdawridgeError) -> None:
        """Act on a call that was not answered.

        :param error: why.
        """
        self.unanswered_calls += 1
        if isinstance(error, (NotSentError, OtherIncarnationError)):
            # Nothing listens there any more, so nothing runs there either.
            self.is_present = not isinstance(error, OtherIncarnationError)
            self.is_taken_over = False
            self.report_availability(f'target is away: {error.message}')
            self.report_all_lost('target is away')
        elif self.unanswered_calls >= MAX_UNANSWERED_CALLS:
            self.report_availability('target does not answer')
            if self.clock.seconds() > self.table.all_ended_at:
                self.is_taken_over = False
                self.report_all_lost('lease has run out')

    def report_availability(self, reason: str) -> None:
        """Announce whether anything can be started.

        :param reason: why not, or empty.
        """
        if reason != self.unavailable_reason:
            self.unavailable_reason = reason
            logger.notice(reason or 'target answers', step=_STEP)
            self.availability_changed(reason)

    def report_all_lost(self, reason: str) -> None:
        """Report that all runs are over and their outcomes unknown.

        :param reason: for the entries.
        """
        for live in self.table.clear():
            self.report(live, 'lost', reason)

    def report(self, live: LiveRun, outcome: str, reason: str) -> None:
        """Tell the listener that a run is over.

        :param live: what was known of the run.
        :param outcome: as in `TaskStatus`, or `lost`.
        :param reason: of a failure.
        """
        if self.listener is None:
            return
        run_time = max(self.clock.seconds() - live.started_at, 0)
        self.listener.task_ended(
            TaskStatus(live.task_id, outcome, reason, b'', 0, 0, run_time, 0)
        )

    async def stop_run(self, run: Run) -> None:
        """Order the stop of a run until that is answered or it is over.

        :param run: live or under way.
        """
        while run in self.table.runs:
            try:
                await self.target.stop(run, self.table.token)
            except AnswerLostError:
                await pause(self.clock, RETRY_INTERVAL)
            except FencedError:
                self.table.raise_token()
            except JackdawridgeError as error:
                logger.info(error.message, step='stop', run=run.name)
                return
            else:
                return


def ignore(reason: str) -> None:
    """Do nothing.

    :param reason: why nothing can be started, or empty.
    """
