"""Sides whose workers fail what they start, or run it slowly."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

#: Largest part of the fleet that is limited to one task at a time.
MAX_LIMITED_FRACTION = 0.3

#: Jobs that fail at a side before it is limited, where they run again
#: elsewhere: tasks fail by their own fault too.
MIN_SUSPECT_JOBS = 2
#: Wait before the first probe of a failing side, in seconds.
FIRST_PROBE_WAIT = 4.0

#: Factor from one wait to the next.
PROBE_BACKOFF_FACTOR = 3.0

#: Longest wait between probes, in seconds.
MAX_PROBE_WAIT = 60.0

#: Weight of the newest task in the speed of a side.
EXCESS_WEIGHT = 0.1

#: The same at a slow side, which gets few tasks to be judged by.
SLOW_SIDE_WEIGHT = 0.5

#: Wait for the next task of a side whose last one was slow, in seconds: the
#: job of each such task is late.
SLOW_PROBE_WAIT = 1.0

#: Tasks after which the speed of a side is known.
MIN_EXCESS_TASKS = 8

#: Smallest factor between a run time and its estimate.
MIN_RUN_TIME_RATIO = 0.001

#: Octaves that a slow side is behind the fleet.
SLOW_OCTAVES = 1.0

#: Octaves below which a slow side counts as healthy again.
RECOVERED_LOG2_EXCESS = 0.5

#: Weight of the newest task in the pace of a side: workers differ by kind, and
#: single tasks differ more than they do.
LONG_TERM_WEIGHT = 0.03

#: Tasks after which the pace of a side is known to some hundredths.
MIN_LONG_TERM_TASKS = 30

#: Part of the sides that are as fast as the fastest kind or faster.
FAST_QUANTILE = 0.25

#: Largest pace; sides beyond it are found slow, and limited.
MAX_RUN_TIME_FACTOR = 2.0

#: Jobs that have to be late at a side before it counts as slow: the tasks of
#: one job are alike, and an entry has few of them at each side.
LATE_JOBS = 2


class SideHealth:
    """The recent outcomes at one side."""

    def __init__(self) -> None:
        """Begin healthy."""
        #: Failures since the last success of a task started after them.
        self.failures = 0
        #: Placement number of the newest task that failed.
        self.last_failed_number = -1
        self.next_probe_at = float('-inf')
        #: Jobs that failed here and run again elsewhere, the oldest first,
        #: less one for each success since.
        self.suspect_jobs: OrderedDict[str, None] = OrderedDict()
        #: Decayed mean of the octaves by which tasks exceed their estimate.
        self.log2_excess: float = 0
        #: The same over a longer time, since the side was limited last.
        self.long_term_excess: float = 0
        self.long_term_tasks = 0
        self.tasks = 0
        #: Jobs whose tasks ran far over their estimate here, the oldest
        #: first, less one for each task that was in time since.
        self.late_jobs: OrderedDict[str, None] = OrderedDict()
        #: Whether there were several of them, and no task that was placed
        #: later has ended in its time.
        self.is_late = False
        #: Placement number of the newest task at that time.
        self.late_since_number = -1
        self.is_slow = False
        #: No placement before this time, while the side is late or slow.
        self.slow_until = float('-inf')

    def observe_long_term(
        self, log2_excess: float, fleet_log2_excess: float
    ) -> None:
        """Take in how long a task ran, unless the side is slow for a while.

        :param log2_excess: by which it exceeded its estimate.
        :param fleet_log2_excess: the same for the fleet.
        """
        if self.is_slow_or_late():
            self.long_term_tasks = 0
        if (
            self.is_slow_or_late()
            or log2_excess - fleet_log2_excess > SLOW_OCTAVES
        ):
            return
        self.long_term_tasks += 1
        weight = max(LONG_TERM_WEIGHT, 1 / self.long_term_tasks)
        self.long_term_excess += weight * (log2_excess - self.long_term_excess)

    def is_failing(self) -> bool:
        """Return whether the side has failed what it started last."""
        return self.failures > 0

    def is_slow_or_late(self) -> bool:
        """Return whether the side runs its tasks slowly."""
        return self.is_slow or self.is_late

    def is_limited(self) -> bool:
        """Return whether the side should get one task at a time."""
        return self.is_failing() or self.is_slow_or_late()

    def closed_until(self) -> float:
        """Return the time before which the side should get nothing."""
        until = float('-inf')
        if self.is_failing():
            until = self.next_probe_at
        if self.is_slow_or_late():
            until = max(until, self.slow_until)
        return until


class Verdict(NamedTuple):
    """What follows from the health of one side."""

    is_limited: bool
    #: No placement before this time.
    closed_until: float
    slowness: float


HEALTHY = Verdict(is_limited=False, closed_until=float('-inf'), slowness=1)


class FleetHealth:
    """Judges sides against each other.

    A side is limited only as long as few others are. A kind of task that
    fails at one side after the other is at fault itself.
    """

    def __init__(self) -> None:
        """Begin without sides."""
        self.sides: dict[str, SideHealth] = {}
        self.log2_excess: float = 0
        #: For each kind, sides at which it failed since it last succeeded.
        self.failing_kinds: dict[str, set[str]] = {}
        #: Sides that are limited.
        self.limited: set[str] = set()

    def side_health(self, side_id: str) -> SideHealth:
        """Return the health of a side.

        :param side_id: identifier of the side.
        """
        health = self.sides.get(side_id)
        if health is None:
            health = SideHealth()
            self.sides[side_id] = health
        return health

    def forget(self, side_id: str) -> None:
        """Drop what is known about a side.

        :param side_id: identifier of the side.
        """
        self.sides.pop(side_id, None)
        self.limited.discard(side_id)

    def record_failure(
        self, side_id: str, kind: str, number: int, now: float, ticket: str = ''
    ) -> None:
        """Take in that a task failed.

        :param side_id: where it ran.
        :param kind: of the task.
        :param number: of its placement.
        :param now: current time in seconds.
        :param ticket: of its job if the task runs again elsewhere. Such a job
            alone is no reason to limit a side.
        """
        failing_sides = self.failing_kinds.setdefault(kind, set())
        failing_sides.add(side_id)
        if len(failing_sides) > 1:
            for blamed in failing_sides:
                self.side_health(blamed).failures = 0
            return
        health = self.side_health(side_id)
        if ticket:
            health.suspect_jobs[ticket] = None
            if len(health.suspect_jobs) < MIN_SUSPECT_JOBS:
                return
        health.last_failed_number = max(health.last_failed_number, number)
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
        """Take in that a task succeeded.

        :param side_id: where it ran.
        :param kind: of the task.
        :param number: of its placement.
        :param factor: its run time over the estimate.
        :param now: current time in seconds.
        """
        self.failing_kinds.pop(kind, None)
        health = self.side_health(side_id)
        if health.suspect_jobs:
            health.suspect_jobs.popitem(last=False)
        if number > health.last_failed_number:
            health.failures = 0
            health.next_probe_at = float('-inf')
        log2_excess = math.log2(max(factor, MIN_RUN_TIME_RATIO))
        if health.is_slow_or_late():
            self.record_probe(health, number, log2_excess, now)
        elif (
            health.late_jobs and log2_excess - self.log2_excess <= SLOW_OCTAVES
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
        """Return the run times at each side over those at the faster ones."""
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
        """Take in the run time of a task at a side that is late or slow.

        :param health: of the side.
        :param number: of the placement of the task.
        :param log2_excess: by which it exceeded its estimate.
        :param now: current time in seconds.
        """
        if log2_excess - self.log2_excess > SLOW_OCTAVES:
            health.slow_until = now + SLOW_PROBE_WAIT
        elif number > health.late_since_number:
            health.is_late = False
            health.late_jobs.clear()

    def update_is_slow(self, health: SideHealth) -> None:
        """Decide whether a side is slow.

        :param health: of the side.
        """
        excess_over_fleet = health.log2_excess - self.log2_excess
        limit = RECOVERED_LOG2_EXCESS if health.is_slow else SLOW_OCTAVES
        health.is_slow = (
            health.tasks >= MIN_EXCESS_TASKS and excess_over_fleet > limit
        )

    def record_late(self, side_id: str, ticket: str, number: int) -> None:
        """Take in that a running task is far over its estimate.

        A side that was found late remains so until a task that was placed
        later has ended in its time: it gets too few to be late by them.

        :param side_id: where it runs.
        :param ticket: ticket of the job.
        :param number: of the newest placement.
        """
        health = self.side_health(side_id)
        if health.is_late:
            return
        health.late_jobs[ticket] = None
        if len(health.late_jobs) >= LATE_JOBS:
            health.is_late = True
            health.late_since_number = number

    def is_limited(self, side_id: str) -> bool:
        """Return whether a side has given reason to be limited.

        :param side_id: identifier of the side.
        """
        health = self.sides.get(side_id)
        return health is not None and health.is_limited()

    def evaluate(self, side_id: str, open_sides: int) -> Verdict:
        """Return what follows for a side.

        :param side_id: identifier of the side.
        :param open_sides: number of sides that are open.
        """
        health = self.sides.get(side_id)
        if health is None or not health.is_limited():
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
