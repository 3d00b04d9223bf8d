"""Health of one side, from the outcomes of its tasks."""

from __future__ import annotations

from collections import OrderedDict

#: Weight of the newest task in the long-term log2 excess of a side. It is
#: small, since single tasks differ more than kinds of workers do.
LONG_TERM_WEIGHT = 0.03

#: Log2 excess over the fleet above which a side is slow; 1 is twice as long.
SLOW_LOG2_EXCESS = 1.0


class SideHealth:
    """Health of one side, from the recent outcomes of its tasks."""

    def __init__(self) -> None:
        """Initialise a healthy side."""
        #: Number of failures since the last success of a task placed later.
        self.failures = 0
        #: Placement number of the newest task that failed.
        self.last_failed_number = -1
        self.next_probe_at = float('-inf')
        #: Tickets of jobs that failed here and are retried elsewhere, the
        #: oldest first; each success of a task placed later removes one.
        self.suspect_jobs: OrderedDict[str, None] = OrderedDict()
        #: Moving average of the log2 ratio of run times to their estimates.
        self.log2_excess: float = 0
        #: The same over more tasks, since the side was last slow or late.
        self.long_term_excess: float = 0
        self.long_term_tasks = 0
        self.tasks = 0
        #: Tickets of jobs with a task far over its estimate here, the oldest
        #: first; each task that ends in time removes one.
        self.late_jobs: OrderedDict[str, None] = OrderedDict()
        #: Whether there were `MIN_LATE_JOBS` of them, and no task placed later
        #: has ended in time.
        self.is_late = False
        #: Placement number of the newest task when the side became late.
        self.late_since_number = -1
        self.is_slow = False
        #: Time before which a late or slow side gets no task.
        self.slow_until = float('-inf')

    def observe_long_term(
        self, log2_excess: float, fleet_log2_excess: float
    ) -> None:
        """Update the long-term log2 excess, unless the side is slow or late.

        Single tasks far over their estimate are left out.

        :param log2_excess: log2 ratio of the run time to its estimate.
        :param fleet_log2_excess: moving average of that over the fleet.
        """
        if self.is_slow_or_late():
            self.long_term_tasks = 0
        if (
            self.is_slow_or_late()
            or log2_excess - fleet_log2_excess > SLOW_LOG2_EXCESS
        ):
            return
        self.long_term_tasks += 1
        weight = max(LONG_TERM_WEIGHT, 1 / self.long_term_tasks)
        self.long_term_excess += weight * (log2_excess - self.long_term_excess)

    def restart_run_times(self) -> None:
        """Forget the run times and that the side was slow or late."""
        self.log2_excess = 0
        self.long_term_excess = 0
        self.long_term_tasks = 0
        self.tasks = 0
        self.late_jobs.clear()
        self.is_late = False
        self.is_slow = False
        self.slow_until = float('-inf')

    def clear_failures(self) -> None:
        """Forget the failures, and allow a probe at once."""
        self.failures = 0
        self.next_probe_at = float('-inf')

    def is_failing(self) -> bool:
        """Return whether the side has failed its recent tasks."""
        return self.failures > 0

    def is_slow_or_late(self) -> bool:
        """Return whether the side runs tasks slowly."""
        return self.is_slow or self.is_late

    def is_limited(self) -> bool:
        """Return whether the side has failed or runs slowly."""
        return self.is_failing() or self.is_slow_or_late()

    def needs_probe(self) -> bool:
        """Return whether the side should get one short task at a time.

        A first failed job alone does not limit a side, but a worker that fails
        its tasks at once looks empty and would be sent many more.
        """
        return self.is_limited() or bool(self.suspect_jobs)

    def closed_until(self) -> float:
        """Return the time before which the side should get no task."""
        until = float('-inf')
        if self.is_failing():
            until = self.next_probe_at
        if self.is_slow_or_late():
            until = max(until, self.slow_until)
        return until
