"""Detects sides whose workers fail their tasks or run them slowly."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

#: Largest fraction of the open sides that is limited at a time.
MAX_LIMITED_FRACTION = 0.3

#: Largest fraction of the sides with outcomes of a kind of task that are
#: blamed for its failures; if more of them fail it, the kind is blamed.
MAX_BLAMED_FRACTION = 0.3

#: Number of kinds of task whose outcomes are kept by side.
MAX_KINDS = 200

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

#: Log2 excess over the fleet above which a side is slow; 1 is twice as long.
SLOW_LOG2_EXCESS = 1.0

#: Log2 excess over the fleet up to which a slow side has recovered.
RECOVERED_LOG2_EXCESS = 0.5

#: Weight of the newest task in the long-term log2 excess of a side. It is
#: small, since single tasks differ more than kinds of workers do.
LONG_TERM_WEIGHT = 0.03

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
        #: Whether the newest task of each kind has failed at each side, by
        #: kind and side; the kinds that were first seen longest ago first.
        self.has_failed: OrderedDict[str, dict[str, bool]] = OrderedDict()
        #: Sides that are limited now.
        self.limited: set[str] = set()

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
        for outcomes in self.has_failed.values():
            outcomes.pop(side_id, None)

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
        outcomes = self.outcomes_of(kind)
        outcomes[side_id] = True
        failing_sides = [side for side, failed in outcomes.items() if failed]
        if len(failing_sides) > max(1, MAX_BLAMED_FRACTION * len(outcomes)):
            for failing_side in failing_sides:
                self.side_health(failing_side).clear_failures()
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
        self.outcomes_of(kind)[side_id] = False
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

    def outcomes_of(self, kind: str) -> dict[str, bool]:
        """Return whether the newest task of a kind has failed, by side.

        :param kind: kind of the tasks.
        """
        outcomes = self.has_failed.get(kind)
        if outcomes is None:
            outcomes = {}
            self.has_failed[kind] = outcomes
            if len(self.has_failed) > MAX_KINDS:
                self.has_failed.popitem(last=False)
        return outcomes

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
