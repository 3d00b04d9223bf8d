"""State of the runs at a target, without any I/O."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.execution.lease_grants import LeaseGrants
from jackdawridge.execution.leased_target import Run

if TYPE_CHECKING:
    from collections.abc import Collection

    from jackdawridge.execution.lease_grants import LeaseTiming
    from jackdawridge.execution.leased_target import RunEnd, TargetReport

#: Increment of a refused fencing token, repeated until the target accepts it.
TOKEN_STEP = 1_000_000
#: Largest number of ends in a report; a report with that many may be
#: incomplete.
MAX_ENDS = 500

_MILLISECONDS = 1000


class LiveRun(NamedTuple):
    """A run that was ordered and is not known to have ended."""

    task_id: str
    #: Local time at which it was ordered, or confirmed if it was, in seconds.
    started_at: float
    #: Whether the target has confirmed that it runs.
    is_confirmed: bool


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
        self.runs: dict[Run, LiveRun] = {}
        self.token = 0
        self.reset(0, 0)

    def target_joined(self, incarnation: int, clock: float, now: float) -> None:
        """Reset the table for a target that this side begins to use.

        The runs stay live: orders of this side may have reached the target.

        :param incarnation: start time of the target in milliseconds since
            1970.
        :param clock: time on the target's clock, in seconds since its start.
        :param now: local time in seconds.
        """
        self.reset(incarnation, clock)
        self.leases.target_joined(now)

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

    def is_live(self, name: str) -> bool:
        """Return whether a task runs at the target or is being started.

        :param name: name of the task at the target.
        """
        return any(run.name == name for run in self.runs)

    def add_run(self, name: str, task_id: str, now: float) -> Run:
        """Add and return a run, numbered above all earlier ones.

        :param name: name of the task at the target.
        :param task_id: id of the task at the side.
        :param now: local time in seconds.
        """
        clock = int((now + self.clock_offset) * _MILLISECONDS)
        self.last_run_number = max(self.last_run_number + 1, clock)
        run = Run(name, self.last_run_number)
        self.runs[run] = LiveRun(task_id, now, is_confirmed=False)
        return run

    def confirm(self, run: Run, now: float) -> None:
        """Record that the target runs an attempt that was ordered.

        :param run: run that was ordered.
        :param now: local time in seconds.
        """
        live = self.runs.get(run)
        if live is not None and not live.is_confirmed:
            self.runs[run] = LiveRun(live.task_id, now, is_confirmed=True)

    def remove_run(self, run: Run) -> None:
        """Remove a run that never started or has ended.

        :param run: run to remove; an unknown one is ignored.
        """
        self.runs.pop(run, None)

    def clear(self) -> tuple[LiveRun, ...]:
        """Remove and return all runs."""
        runs = tuple(self.runs.values())
        self.runs.clear()
        return runs

    def runs_of(self, ids: Collection[str]) -> list[Run]:
        """Return the live runs of tasks.

        :param ids: ids of the tasks at the side.
        """
        id_set = set(ids)
        return [
            run for run, live in self.runs.items() if live.task_id in id_set
        ]

    def may_be_running(self, run: Run) -> bool:
        """Return whether a run is not known to have ended.

        :param run: run that was ordered or reported.
        """
        return run in self.runs or run in self.leases.unknown_since

    def grant_lease(self, now: float) -> float | None:
        """Return the end of a lease that starts now, on the target's clock.

        None if no time is left.

        :param now: local time in seconds.
        """
        lease = self.leases.grant(now)
        return None if lease is None else now + self.clock_offset + lease

    def raise_token(self) -> None:
        """Raise the fencing token after the target refused it."""
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
            ended.extend(self.remove_missing(requested_at, report.running))
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
            live = self.runs.pop(end.run, None)
            if live is not None:
                ended.append(EndedRun(live, end.outcome, end.reason))
        return ended

    def remove_missing(
        self, requested_at: float, running: frozenset[Run]
    ) -> list[EndedRun]:
        """Remove and return confirmed runs that a report does not list.

        Such a run has ended although its end was not reported.

        :param requested_at: local time at which the report was requested, in
            seconds.
        :param running: runs that the report lists.
        """
        missing = [
            run
            for run, live in self.runs.items()
            if live.is_confirmed
            and live.started_at < requested_at
            and run not in running
        ]
        reason = 'target does not know the run'
        return [
            EndedRun(self.runs.pop(run_key), 'lost', reason)
            for run_key in missing
        ]

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
