"""What a side knows of the runs at its target, without input or output."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.execution.leases import Run

if TYPE_CHECKING:
    from collections.abc import Collection

    from jackdawridge.execution.leases import RunEnd, TargetReport

#: Added to a fencing token that was refused, until one is taken.
TOKEN_STEP = 1_000_000
#: Most ends in a report; in a full one, ends may be missing.
MAX_ENDS = 500

_MILLISECONDS = 1000


class LeaseTiming(NamedTuple):
    """Times of the lease on what runs, in seconds."""

    lease: float
    #: Interval at which it is renewed.
    renewal: float
    #: Part by which the clock of the target may be slow.
    drift: float
    #: Time that the target takes to end what runs.
    stop: float


class LiveRun(NamedTuple):
    """A run that was ordered and is not known to be over."""

    task_id: str
    #: When it was ordered or confirmed, in seconds.
    started_at: float
    #: Whether the target has said that it runs.
    is_confirmed: bool


class EndedRun(NamedTuple):
    """A run that is over."""

    live: LiveRun
    outcome: str
    reason: str


class ReportChanges(NamedTuple):
    """What a report tells that was not known."""

    ended: tuple[EndedRun, ...]
    #: Runs that nobody here has ordered.
    unknown_runs: tuple[Run, ...]


class RunTable:
    """The live runs of one incarnation of a target.

    :param timing: of the lease.
    """

    def __init__(self, timing: LeaseTiming) -> None:
        """Begin without a target."""
        self.timing = timing
        self.runs: dict[Run, LiveRun] = {}
        self.token = 0
        self.reset(0, 0)

    def reset(self, incarnation: int, clock: float) -> None:
        """Begin anew with an incarnation of which nothing is known.

        Its fencing token is above those of all sides and incarnations before,
        so that none of their orders is carried out after the first one here.

        :param incarnation: of the target: when it has started, in
            milliseconds.
        :param clock: of the target, in seconds from then on.
        """
        self.incarnation = incarnation
        minimum = incarnation + int(clock * _MILLISECONDS)
        self.token = max(self.token + 1, minimum)
        #: Position up to which ends were seen.
        self.last_end_position = 0
        #: The target's clock less the local one.
        self.clock_offset: float = 0
        #: Number of the newest run.
        self.last_run_number = 0
        #: Local time at which all that runs is over unless it is renewed.
        self.all_ended_at = float('-inf')
        self.reported: frozenset[Run] = frozenset()
        #: When the newest report was asked for.
        self.report_requested_at = float('-inf')

    def is_live(self, name: str) -> bool:
        """Return whether a task runs here or is being started.

        :param name: by which the target knows the task.
        """
        return any(run.name == name for run in self.runs)

    def add_run(self, name: str, task_id: str, now: float) -> Run:
        """Return a new run, numbered above all before.

        :param name: by which the target knows the task.
        :param task_id: by which the side knows it.
        :param now: local time in seconds.
        """
        clock = int((now + self.clock_offset) * _MILLISECONDS)
        self.last_run_number = max(self.last_run_number + 1, clock)
        run = Run(name, self.last_run_number)
        self.runs[run] = LiveRun(task_id, now, is_confirmed=False)
        return run

    def confirm(self, run: Run, now: float) -> None:
        """Note that the target runs what was ordered.

        :param run: that was ordered.
        :param now: local time in seconds.
        """
        live = self.runs.get(run)
        if live is not None and not live.is_confirmed:
            self.runs[run] = LiveRun(live.task_id, now, is_confirmed=True)

    def remove_run(self, run: Run) -> None:
        """Forget a run that never started or is over.

        :param run: any run.
        """
        self.runs.pop(run, None)

    def clear(self) -> tuple[LiveRun, ...]:
        """Forget all runs and return them."""
        runs = tuple(self.runs.values())
        self.runs.clear()
        return runs

    def runs_of(self, ids: Collection[str]) -> list[Run]:
        """Return the live runs of tasks.

        :param ids: by which the side knows the tasks.
        """
        wanted = set(ids)
        return [
            run for run, live in self.runs.items() if live.task_id in wanted
        ]

    def grant_lease(self, now: float) -> float:
        """Return the end of a lease that begins now, on the target's clock.

        :param now: local time in seconds.
        """
        longest = self.timing.lease * (1 + self.timing.drift)
        self.all_ended_at = max(
            self.all_ended_at, now + longest + self.timing.stop
        )
        return now + self.clock_offset + self.timing.lease

    def raise_token(self) -> None:
        """Use a higher fencing token after one was refused."""
        self.token += TOKEN_STEP

    def is_other_incarnation(self, report: TargetReport) -> bool:
        """Return whether a report is of another incarnation.

        :param report: of the target.
        """
        return report.incarnation != self.incarnation

    def apply_report(
        self, report: TargetReport, requested_at: float, received: float
    ) -> ReportChanges:
        """Take a report in and return what is new.

        :param report: of the target.
        :param asked: local time at which it was asked for, in seconds.
        :param received: local time at which it arrived, in seconds.
        """
        # The answer was on its way for a moment, so that the target's clock is
        # ahead of this; a lease ends a moment earlier for it.
        self.clock_offset = report.clock - received
        if requested_at >= self.report_requested_at:
            # An older answer may arrive on another connection after a newer.
            self.reported = report.running
            self.report_requested_at = requested_at
        ended = self.apply_ends(report.ends)
        if len(report.ends) < MAX_ENDS:
            ended.extend(self.remove_missing(requested_at, report.running))
        unknown_runs = tuple(
            run for run in report.running if run not in self.runs
        )
        return ReportChanges(tuple(ended), unknown_runs)

    def apply_ends(self, ends: tuple[RunEnd, ...]) -> list[EndedRun]:
        """Forget the runs that are over and return those to report.

        :param ends: of the target, of which some may be known.
        """
        ended = []
        for end in ends:
            if end.position <= self.last_end_position:
                continue
            self.last_end_position = end.position
            live = self.runs.pop(end.run, None)
            if live is not None:
                ended.append(EndedRun(live, end.outcome, end.reason))
        return ended

    def remove_missing(
        self, requested_at: float, running: frozenset[Run]
    ) -> list[EndedRun]:
        """Forget and return runs that are over without an end in the list.

        :param asked: local time at which the report was asked for.
        :param running: that are in the report.
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
        """Return whether a report asked for since a time lacks a run.

        :param run: that was ordered.
        :param since: local time in seconds.
        """
        return self.report_requested_at > since and run not in self.reported
