"""State of the runs at a target, without any I/O."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from result import Err, Ok, Result

from jackdawridge.execution.lease_grants import LeaseGrants
from jackdawridge.execution.leased_target import Run, StartOrder
from jackdawridge.execution.live_runs import LiveRuns

if TYPE_CHECKING:
    from jackdawridge.execution.lease_grants import LeaseTiming
    from jackdawridge.execution.leased_target import RunEnd, TargetReport
    from jackdawridge.execution.live_runs import LiveRun

#: Increment of a refused fencing token, repeated until the target accepts it.
TOKEN_STEP = 1_000_000
#: Largest number of ends in a report; a report with that many may be
#: incomplete.
MAX_ENDS = 500
#: Reason to refuse a start while the lease is not renewed.
RUNS_MUST_END = 'other runs must end first'

_MILLISECONDS = 1000


class EndedRun(NamedTuple):
    """A run that has ended."""

    live: LiveRun
    outcome: str
    reason: str


class ReportChanges(NamedTuple):
    """What a report of the target changes."""

    ended: tuple[EndedRun, ...]
    #: Runs that this side has not ordered, without those reported before.
    unknown_runs: tuple[Run, ...]


class RunTable:
    """The live runs of one incarnation of a target.

    :param timing: durations of the lease.
    """

    def __init__(self, timing: LeaseTiming) -> None:
        """Initialise the table without a target."""
        self.leases = LeaseGrants(timing)
        self.runs = LiveRuns()
        self.token = 0
        self.reset(0, 0)

    def target_joined(self, incarnation: int, clock: float, now: float) -> None:
        """Reset the table for a target that this side begins to use.

        The runs stay live until the take-over, since orders of this side may
        have reached the target, but nothing more is ordered for them.

        :param incarnation: start time of the target in milliseconds since
            1970.
        :param clock: time on the target's clock, in seconds since its start.
        :param now: local time in seconds.
        """
        self.reset(incarnation, clock)
        self.leases.target_joined(now)
        self.runs.leave_behind()

    def reset(self, incarnation: int, clock: float) -> None:
        """Reset the table for a new incarnation of the target.

        Its fencing token exceeds those of all earlier sides and incarnations,
        so that none of their orders is carried out after the first order of
        this side.

        :param incarnation: start time of the target in milliseconds since
            1970.
        :param clock: time on the target's clock, in seconds since its start.
        """
        self.incarnation = incarnation
        self.token = max(self.token + 1, first_token(incarnation, clock))
        #: Runs whose ends were received last. A report that was overtaken by
        #: another one may still list them as running.
        self.recent_ends: deque[Run] = deque(maxlen=MAX_ENDS)
        #: Position up to which ends were received.
        self.last_end_position = 0
        #: Target's clock minus local clock, in seconds.
        self.clock_offset: float = 0
        #: Attempt number of the newest run.
        self.last_run_number = 0
        self.reported_runs: frozenset[Run] = frozenset()
        #: Local time at which the newest report was requested, in seconds.
        self.report_requested_at = float('-inf')

    def add_run(self, name: str, task_id: str, now: float) -> Run:
        """Add and return a run whose start is about to be ordered.

        :param name: name of the task at the target.
        :param task_id: id of the task at the side.
        :param now: local time in seconds.
        """
        run = self.next_attempt(name, now)
        self.runs.add(run, task_id, now)
        return run

    def next_attempt(self, name: str, now: float) -> Run:
        """Return a run of a task, numbered above all earlier ones.

        :param name: name of the task at the target.
        :param now: local time in seconds.
        """
        clock = int((now + self.clock_offset) * _MILLISECONDS)
        self.last_run_number = max(self.last_run_number + 1, clock)
        return Run(name, self.last_run_number)

    def renumber(self, run: Run, now: float) -> Run:
        """Replace a run that will never start by another attempt; return that.

        A run that is not live any more, or was left behind, gets no other
        attempt: it is returned as it is and can't be ordered.

        :param run: run that was ordered and certainly never starts.
        :param now: local time in seconds.
        """
        if not self.runs.is_current(run):
            return run
        attempt = self.next_attempt(run.name, now)
        self.runs.replace(run, attempt, now)
        return attempt

    def order(
        self, run: Run, payload: bytes, now: float
    ) -> Result[StartOrder, str]:
        """Return the order to start a run, or why it must not be ordered.

        Every start is ordered by what this returns, right before it is sent. It
        may have waited since its admission, while its run was reported as lost
        and the task was started elsewhere.

        :param run: run that was admitted.
        :param payload: what the target is asked to run.
        :param now: local time in seconds.
        """
        reason = self.runs.refusal(run, now)
        if reason:
            return Err(reason)
        lease = None
        if self.leases.allows_start(now):
            lease = self.grant_lease(now)
        if lease is None:
            return Err(RUNS_MUST_END)
        self.runs.record_order(run)
        return Ok(StartOrder(run, payload, lease, self.token))

    def may_be_running(self, run: Run) -> bool:
        """Return whether a run may be at work until it is stopped.

        The take-over ends the runs that were left behind. To stop these by
        number at the present incarnation could block its own, whose numbers
        begin anew.

        :param run: run that was ordered or reported.
        """
        return self.runs.is_current(run) or run in self.leases.unknown_since

    def grant_lease(self, now: float) -> float | None:
        """Return the end of a lease that starts now, on the target's clock.

        None if no time is left.

        :param now: local time in seconds.
        """
        lease = self.leases.grant(now)
        return None if lease is None else now + self.clock_offset + lease

    def raise_token(self, refused: int) -> None:
        """Raise the fencing token after the target refused it.

        An order that was sent with an earlier token says nothing of this one.

        :param refused: fencing token of the order that was refused.
        """
        if refused == self.token:
            self.token += TOKEN_STEP

    def is_other_incarnation(self, report: TargetReport) -> bool:
        """Return whether a report is of another incarnation of the target.

        :param report: report of the target.
        """
        return report.incarnation != self.incarnation

    def apply_report(
        self, report: TargetReport, requested_at: float, received: float
    ) -> ReportChanges:
        """Update the table by a report and return what has changed.

        :param report: report of the target.
        :param requested_at: local time at which it was requested, in seconds.
        :param received: local time at which it arrived, in seconds.
        """
        # The report was in flight for a moment, so the target's clock is ahead
        # of this estimate and a lease ends slightly earlier there.
        self.clock_offset = report.clock - received
        if requested_at >= self.report_requested_at:
            # An older report may arrive on another connection after a newer
            # one.
            self.reported_runs = report.running
            self.report_requested_at = requested_at
        ended = self.apply_ends(report.ends)
        if len(report.ends) < MAX_ENDS:
            reason = 'target does not know the run'
            ended.extend(
                EndedRun(live, 'lost', reason)
                for live in self.runs.remove_missing(
                    requested_at, report.running
                )
            )
        return ReportChanges(tuple(ended), self.update_unknown(received))

    def update_unknown(self, now: float) -> tuple[Run, ...]:
        """Update the unknown runs by the newest report; return the new ones.

        :param now: local time in seconds.
        """
        before = self.leases.unknown_since
        unknown = {
            run: before.get(run, now)
            for run in self.reported_runs
            if run not in self.runs and run not in self.recent_ends
        }
        self.leases.unknown_since = unknown
        return tuple(run for run in unknown if run not in before)

    def apply_ends(self, ends: tuple[RunEnd, ...]) -> list[EndedRun]:
        """Remove the runs that have ended and return those that were live.

        :param ends: ends that the target reports; some may have been reported
            before.
        """
        ended = []
        for end in ends:
            if end.position <= self.last_end_position:
                continue
            self.last_end_position = end.position
            self.recent_ends.append(end.run)
            live = self.runs.remove(end.run)
            if live is not None:
                ended.append(EndedRun(live, end.outcome, end.reason))
        return ended

    def is_absent_since(self, run: Run, since: float) -> bool:
        """Return whether a report requested after a time does not list a run.

        :param run: run that was ordered.
        :param since: local time in seconds.
        """
        return (
            self.report_requested_at > since and run not in self.reported_runs
        )


def first_token(incarnation: int, clock: float) -> int:
    """Return the lowest fencing token of a side that begins to use a target.

    It exceeds those of the sides before.

    :param incarnation: start time of the target in milliseconds since 1970.
    :param clock: time on the target's clock, in seconds since its start.
    """
    return incarnation + int(clock * _MILLISECONDS)
