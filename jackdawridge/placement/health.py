"""Detects sides whose workers fail their tasks or run them slowly."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.kind_outcomes import KindOutcomes
from jackdawridge.placement.side_health import SLOW_LOG2_EXCESS, SideHealth

if TYPE_CHECKING:
    from jackdawridge.placement.request import Key

#: Largest fraction of the open sides that is limited at a time.
MAX_LIMITED_FRACTION = 0.3

#: Number of jobs that fail at a side before it is limited, if their tasks are
#: retried elsewhere: a single job may fail through its own fault.
MIN_SUSPECT_JOBS = 2
#: Time before the first probe of a failing side, in seconds.
FIRST_PROBE_WAIT = 4.0

#: Backoff factor between the waits for successive probes.
PROBE_BACKOFF_FACTOR = 3.0

#: Maximum time between probes, in seconds.
MAX_PROBE_WAIT = 60.0

#: Weight of the newest task in the log2 excess of a side.
EXCESS_WEIGHT = 0.1

#: The same weight at a slow side, which runs only few tasks.
SLOW_SIDE_WEIGHT = 0.5

#: Time in seconds before the next probe of a side whose last task was slow.
#: The job of each slow probe is late, so that probes are kept rare.
SLOW_PROBE_WAIT = 1.0

#: Number of tasks before a side may be found slow by its log2 excess.
MIN_EXCESS_TASKS = 8

#: Lower bound of the ratio of a run time to its estimate.
MIN_RUN_TIME_RATIO = 0.001

#: Log2 excess over the fleet up to which a slow side has recovered.
RECOVERED_LOG2_EXCESS = 0.5

#: Number of tasks after which the run time factor of a side is accurate to a
#: few hundredths.
MIN_LONG_TERM_TASKS = 30

#: Quantile of the long-term log2 excess that represents the fastest kind of
#: worker.
FAST_QUANTILE = 0.25

#: Maximum run time factor; slower sides are found slow and limited.
MAX_RUN_TIME_FACTOR = 2.0

#: Number of jobs with a late task before a side counts as late. Jobs are
#: counted since the tasks of one job are alike; the number is small since an
#: entry has few of them at each side.
MIN_LATE_JOBS = 2


class Verdict(NamedTuple):
    """Limits of one side that follow from its health."""

    is_limited: bool
    #: Time before which nothing is placed at the side.
    closed_until: float
    #: Run times at the side over those in the fleet, at least 1.
    slowness: float


HEALTHY = Verdict(is_limited=False, closed_until=float('-inf'), slowness=1)


class FleetHealth:
    """Evaluates the health of sides by comparison with each other.

    Only a small fraction of the sides is limited at a time. If a kind of task
    fails at a large fraction of the sides that run it, the kind is blamed and
    not the sides.
    """

    def __init__(self) -> None:
        """Initialise without sides."""
        self.sides: dict[str, SideHealth] = {}
        self.log2_excess: float = 0
        self.kind_outcomes = KindOutcomes()
        #: Sides that are limited now.
        self.limited: set[str] = set()
        #: Keys of running tasks that have counted against their side as late;
        #: a task counts again at each check unless kinds are told apart.
        self.late_keys: set[Key] = set()

    def side_health(self, side_id: str) -> SideHealth:
        """Return the health of a side, and create it if necessary.

        :param side_id: identifier of the side.
        """
        health = self.sides.get(side_id)
        if health is None:
            health = SideHealth()
            self.sides[side_id] = health
        return health

    def forget(self, side_id: str) -> None:
        """Discard the health of a side.

        :param side_id: identifier of the side.
        """
        self.sides.pop(side_id, None)
        self.limited.discard(side_id)
        self.kind_outcomes.forget(side_id)

    def record_failure(
        self, side_id: str, kind: str, number: int, now: float, ticket: str = ''
    ) -> None:
        """Record a failed task.

        :param side_id: identifier of the side that ran the task.
        :param kind: kind of the task.
        :param number: placement number of the task.
        :param now: current time in seconds.
        :param ticket: ticket of its job if the task is retried elsewhere, else
            empty. A single such job does not limit a side.
        """
        self.kind_outcomes.record(kind, side_id, has_failed=True)
        blameless = self.kind_outcomes.sides_without_fault(kind)
        if blameless:
            for blameless_side in blameless:
                self.side_health(blameless_side).clear_failures()
            return
        health = self.side_health(side_id)
        health.last_failed_number = max(health.last_failed_number, number)
        if ticket:
            health.suspect_jobs[ticket] = None
            if len(health.suspect_jobs) < MIN_SUSPECT_JOBS:
                return
        if now >= health.next_probe_at:
            health.failures += 1
            wait = FIRST_PROBE_WAIT * PROBE_BACKOFF_FACTOR ** (
                health.failures - 1
            )
            health.next_probe_at = now + min(wait, MAX_PROBE_WAIT)

    def record_success(
        self,
        side_id: str,
        kind: str,
        number: int,
        factor: float,
        now: float = 0,
    ) -> None:
        """Record a successful task.

        :param side_id: identifier of the side that ran the task.
        :param kind: kind of the task.
        :param number: placement number of the task.
        :param factor: ratio of its run time to the estimate.
        :param now: current time in seconds.
        """
        self.kind_outcomes.record(kind, side_id, has_failed=False)
        health = self.side_health(side_id)
        if number > health.last_failed_number:
            health.clear_failures()
            if health.suspect_jobs:
                health.suspect_jobs.popitem(last=False)
        log2_excess = math.log2(max(factor, MIN_RUN_TIME_RATIO))
        if health.is_slow_or_late():
            self.record_probe(health, number, log2_excess, now)
        elif (
            health.late_jobs
            and log2_excess - self.log2_excess <= SLOW_LOG2_EXCESS
        ):
            health.late_jobs.popitem(last=False)
        if side_id not in self.limited:
            self.log2_excess += (
                EXCESS_WEIGHT / 10 * (log2_excess - self.log2_excess)
            )
        min_weight = SLOW_SIDE_WEIGHT if health.is_slow else EXCESS_WEIGHT
        weight = max(min_weight, 1 / (health.tasks + 1))
        health.log2_excess += weight * (log2_excess - health.log2_excess)
        health.tasks += 1
        health.observe_long_term(log2_excess, self.log2_excess)
        self.update_is_slow(health)

    def run_time_factors(self) -> dict[str, float]:
        """Return the ratio of the run times at each side to the fast sides.

        Sides with too few tasks are left out.
        """
        known = {
            side_id: health.long_term_excess
            for side_id, health in self.sides.items()
            if health.long_term_tasks >= MIN_LONG_TERM_TASKS
        }
        if not known:
            return {}
        ranked = sorted(known.values())
        fast = ranked[int(FAST_QUANTILE * (len(ranked) - 1))]
        return {
            side_id: min(2 ** max(log2_excess - fast, 0), MAX_RUN_TIME_FACTOR)
            for side_id, log2_excess in known.items()
        }

    def restart_run_times(self) -> None:
        """Forget the run times at all sides; failures are kept.

        Call this after a change of what run times are compared with.
        """
        self.log2_excess = 0
        for health in self.sides.values():
            health.restart_run_times()

    def record_probe(
        self, health: SideHealth, number: int, log2_excess: float, now: float
    ) -> None:
        """Record the run time of a task at a side that is late or slow.

        :param health: health of the side.
        :param number: placement number of the task.
        :param log2_excess: log2 ratio of its run time to the estimate.
        :param now: current time in seconds.
        """
        if log2_excess - self.log2_excess > SLOW_LOG2_EXCESS:
            health.slow_until = now + SLOW_PROBE_WAIT
        elif number > health.late_since_number:
            health.is_late = False
            health.late_jobs.clear()

    def update_is_slow(self, health: SideHealth) -> None:
        """Update whether a side is slow, with hysteresis.

        :param health: health of the side.
        """
        excess_over_fleet = health.log2_excess - self.log2_excess
        limit = RECOVERED_LOG2_EXCESS if health.is_slow else SLOW_LOG2_EXCESS
        health.is_slow = (
            health.tasks >= MIN_EXCESS_TASKS and excess_over_fleet > limit
        )

    def record_late(self, side_id: str, ticket: str, number: int) -> None:
        """Record that a running task is far over its estimate.

        A late side stays late until a task placed later ends in time: it gets
        too few tasks to be found late again by them.

        :param side_id: identifier of the side that runs the task.
        :param ticket: ticket of the job.
        :param number: placement number of the newest placement.
        """
        health = self.side_health(side_id)
        if health.is_late:
            return
        health.late_jobs[ticket] = None
        if len(health.late_jobs) >= MIN_LATE_JOBS:
            health.is_late = True
            health.late_since_number = number

    def is_limited(self, side_id: str) -> bool:
        """Return whether a side should be limited by its own health.

        :param side_id: identifier of the side.
        """
        health = self.sides.get(side_id)
        return health is not None and health.is_limited()

    def evaluate(self, side_id: str, open_sides: int) -> Verdict:
        """Return the limits of a side.

        A side with poor health stays unlimited while too many others are
        limited.

        :param side_id: identifier of the side.
        :param open_sides: number of open sides.
        """
        health = self.sides.get(side_id)
        if health is None or not health.needs_probe():
            self.limited.discard(side_id)
            return HEALTHY
        if side_id not in self.limited:
            if len(self.limited) >= int(open_sides * MAX_LIMITED_FRACTION):
                return HEALTHY
            self.limited.add(side_id)
        excess_over_fleet = max(0, health.log2_excess - self.log2_excess)
        return Verdict(
            is_limited=True,
            closed_until=health.closed_until(),
            slowness=2**excess_over_fleet,
        )
