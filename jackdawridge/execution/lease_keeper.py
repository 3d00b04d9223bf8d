"""Renews the lease on the runs of a target and reports their ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import ensureDeferred

from jackdawridge.errors import JackdawridgeError
from jackdawridge.execution.hedged_call import HedgedCall
from jackdawridge.execution.leased_target import (
    FencedError,
    HoldOrder,
    OtherIncarnationError,
)
from jackdawridge.execution.run_stopper import RunStopper
from jackdawridge.execution.run_table import RunTable
from jackdawridge.execution.target_binding import (
    EarlierTargetError,
    TargetBinding,
)
from jackdawridge.execution.worker import (
    AnswerLostError,
    NotSentError,
    TaskStatus,
)
from jackdawridge.logs import get_logger
from jackdawridge.util.clock import pause

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from jackdawridge.execution.lease_grants import LeaseTiming
    from jackdawridge.execution.leased_target import (
        LeasedTarget,
        Run,
        TargetReport,
    )
    from jackdawridge.execution.live_runs import LiveRun
    from jackdawridge.execution.run_table import ReportChanges
    from jackdawridge.execution.worker import WorkerListener
    from jackdawridge.util.clock import Clock

logger = get_logger('worker')

#: Wait before the target is called again after a failure, in seconds.
RETRY_INTERVAL = 0.1
#: Number of unanswered calls after which the lease is no longer renewed, so
#: that the time is known at which every run has ended.
MAX_UNANSWERED_CALLS = 3
#: Time without an answer after which a report is requested again beside the
#: first request while tasks run, in seconds. The first is given up much later.
REPORT_HEDGE_DELAY = 0.05
#: Nothing is started until the runs that an earlier side left are stopped.
TAKE_OVER_PENDING = 'target is being taken over'

_STEP = 'hold'


class LeaseKeeper:
    """Renews the lease on all runs at a target and reports their ends.

    :param clock: reactor that runs the timers.
    :param target: target that runs the tasks.
    :param timing: durations of the lease.
    """

    def __init__(
        self, clock: Clock, target: LeasedTarget, timing: LeaseTiming
    ) -> None:
        """Initialise the keeper without calling the target."""
        self.clock = clock
        self.target = target
        self.timing = timing
        #: Called whenever the availability of the target changes, with the
        #: reason why nothing can be started, or an empty string.
        self.availability_changed: Callable[[str], None] = ignore_availability
        self.table = RunTable(timing)
        self.stopper = RunStopper(clock, target, self.table, self.is_answering)
        self.listener: WorkerListener | None = None
        self.binding = TargetBinding(target)
        #: Whether the runs that an earlier side left were stopped.
        self.is_taken_over = False
        self.unanswered_calls = 0
        #: Whether the lease is not renewed, so that all runs end.
        self.is_lease_withheld = False
        #: Reason why nothing can be started, or empty.
        self.unavailable_reason = TAKE_OVER_PENDING
        self.closed = False

    def is_answering(self) -> bool:
        """Return whether the target answers calls, as far as is known."""
        return self.unanswered_calls < MAX_UNANSWERED_CALLS

    def follow(self, listener: WorkerListener) -> None:
        """Renew the lease and report all ends until `closed` is set.

        :param listener: receives the ends of the runs.
        """
        self.listener = listener
        ensureDeferred(self.renew_forever())

    def is_joined(self, target_id: str, incarnation: int) -> bool:
        """Return whether an incarnation of a target is the one in use.

        :param target_id: id of the target.
        :param incarnation: start time of the target in milliseconds since
            1970.
        """
        return (
            self.binding.is_present
            and self.binding.target_id == target_id
            and self.table.incarnation == incarnation
        )

    def target_joined(self, incarnation: int, clock: float) -> None:
        """Start to use a new incarnation of the target, after a take-over.

        :param incarnation: start time of the target in milliseconds since
            1970.
        :param clock: time on the target's clock, in seconds since its start.
        """
        self.table.target_joined(incarnation, clock, self.clock.seconds())
        self.is_taken_over = False
        self.report_availability(TAKE_OVER_PENDING)
        self.binding.target_joined()

    async def renew_forever(self) -> None:
        """Renew the lease until `closed` is set."""
        while not self.closed:
            if not self.binding.is_present:
                await pause(self.clock, RETRY_INTERVAL)
                continue
            wait = await self.renew_safely()
            if wait:
                await pause(self.clock, wait)

    async def renew_safely(self) -> float:
        """Renew the lease once and handle every error.

        All runs end without the lease, so no error may end the loop.

        :returns: wait before the next renewal, in seconds.
        """
        try:
            await self.renew_once()
        except EarlierTargetError as error:
            logger.info(error.message, step=_STEP)
            return 0
        except JackdawridgeError as error:
            self.call_failed(error)
            # The remaining lease shrinks while there is no answer, so the call
            # is repeated at once.
            is_urgent = isinstance(error, AnswerLostError)
            return 0 if is_urgent and self.is_answering() else RETRY_INTERVAL
        except Exception:
            logger.exception('lease was not renewed; trying again', step=_STEP)
            return RETRY_INTERVAL
        return 0

    async def renew_once(self) -> None:
        """Renew the lease once, after a take-over if that is pending."""
        if not self.is_taken_over:
            await self.take_over()
        # An end that is reported late makes its whole job late.
        renewal = HedgedCall(
            self.clock,
            lambda: self.refresh(self.timing.renewal),
            lambda: bool(self.table.runs),
        )
        await renewal.start(REPORT_HEDGE_DELAY)
        self.unanswered_calls = 0
        if self.is_taken_over:
            self.report_availability('')

    async def refresh(self, wait: float) -> None:
        """Request a report, report the ended runs and stop unknown ones.

        The lease is renewed unless too many calls went unanswered.

        :param wait: longest time that the target delays the report until a run
            ends, in seconds.
        """
        requested_at = self.clock.seconds()
        report = await self.request_report(wait, renews=self.is_answering())
        if self.table.is_other_incarnation(report):
            self.target_joined(report.incarnation, report.clock)
            return
        changes = self.table.apply_report(
            report, requested_at, self.clock.seconds()
        )
        self.report_ended(changes)
        for run in changes.unknown_runs:
            logger.warning(
                'run was not started by this side; stopping it', run=run.name
            )
            ensureDeferred(self.stopper.stop(run))

    async def request_report(
        self, wait: float, *, renews: bool
    ) -> TargetReport:
        """Request a report from the target.

        :param wait: longest time that the target delays the report until a run
            ends, in seconds.
        :param renews: whether the lease is renewed.
        :raises EarlierTargetError: if another target or incarnation was joined
            meanwhile.
        :raises AnswerLostError: if the fencing token was refused, or the report
            is of an earlier incarnation.
        """
        lease = self.table.grant_lease(self.clock.seconds()) if renews else None
        self.log_withheld_lease(is_withheld=renews and lease is None)
        order = HoldOrder(
            self.table.token, self.table.last_end_position, lease, wait
        )
        try:
            report = await self.binding.ask(self.target.hold(order))
        except FencedError as error:
            self.table.raise_token(order.fencing_token)
            raise AnswerLostError(error.message, step=_STEP) from error
        if report.incarnation < self.table.incarnation:
            raise AnswerLostError(
                'report of an earlier incarnation', step=_STEP
            )
        return report

    def log_withheld_lease(self, *, is_withheld: bool) -> None:
        """Log when the lease is withheld so that runs end, and when no longer.

        :param is_withheld: whether runs must have ended by now.
        """
        if is_withheld and not self.is_lease_withheld:
            logger.warning(
                'runs were not stopped in time; the lease is not renewed',
                step=_STEP,
                runs=len(self.table.runs),
            )
        self.is_lease_withheld = is_withheld

    async def take_over(self) -> None:
        """Stop all runs of the target and report earlier orders as lost.

        Earlier orders may have reached the new incarnation, which its reports
        show. Once the target has received the first call with the new fencing
        token, it refuses all earlier orders.
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
                logger.info(
                    'run was left by an earlier side; stopping it',
                    run=run.name,
                    step='adopt',
                )
                await self.binding.ask(self.target.stop(run, self.table.token))
        self.report_lost(self.table.runs.clear(), 'target was taken over')
        self.is_taken_over = True
        self.report_availability('')

    def run_started(self, run: Run) -> None:
        """Confirm a run that the target has started; tell the listener.

        It is told at once, since the answer to the start waits for the others
        of its batch, and a stop may wait for the confirmation.

        :param run: run that was ordered.
        """
        live = self.table.runs.confirm(run, self.clock.seconds())
        if live is not None and self.listener is not None:
            self.listener.task_started(live.task_id)

    def report_ended(self, changes: ReportChanges) -> None:
        """Report the runs that have ended.

        :param changes: what the newest report of the target changes.
        """
        for ended in changes.ended:
            self.report(*ended)

    def call_failed(self, error: JackdawridgeError) -> None:
        """Update the availability after a failed call.

        :param error: reason of the failure.
        """
        self.unanswered_calls += 1
        runs = self.table.runs
        is_replaced = isinstance(error, OtherIncarnationError)
        if is_replaced or isinstance(error, NotSentError):
            # The target doesn't listen at the address, so nothing runs there
            # either. Another one refuses orders that are still open; its next
            # incarnation would carry them out.
            self.binding.is_present = not is_replaced
            self.is_taken_over = False
            self.report_availability(f'target is away: {error.message}')
            lost = runs.clear() if is_replaced else runs.clear_settled()
            self.report_lost(lost, 'target is away')
        elif not self.is_answering():
            self.report_availability('target does not answer')
            if self.clock.seconds() > self.table.leases.all_ended_at:
                self.is_taken_over = False
                self.report_lost(runs.clear(), 'lease has run out')

    def report_availability(self, reason: str) -> None:
        """Log and announce a change of the target's availability.

        :param reason: reason why nothing can be started, or empty.
        """
        if reason != self.unavailable_reason:
            self.unavailable_reason = reason
            logger.notice(reason or 'target answers', step=_STEP)
            self.availability_changed(reason)

    def report_lost(self, lost: Iterable[LiveRun], reason: str) -> None:
        """Report that runs have ended with an unknown outcome.

        :param lost: runs that are no longer live.
        :param reason: reason to send to the entries.
        """
        for live in lost:
            self.report(live, 'lost', reason)

    def report(self, live: LiveRun, outcome: str, reason: str) -> None:
        """Report the end of a run to the listener.

        :param live: state of the run.
        :param outcome: outcome as in `TaskStatus`, or `lost`.
        :param reason: reason of a failure, or empty.
        """
        if self.listener is None:
            return
        run_time = max(self.clock.seconds() - live.started_at, 0)
        self.listener.task_ended(
            TaskStatus(live.task_id, outcome, reason, b'', 0, 0, run_time, 0)
        )


def ignore_availability(reason: str) -> None:
    """Ignore a change of the target's availability.

    :param reason: reason why nothing can be started, or empty.
    """
