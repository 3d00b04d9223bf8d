"""Sides whose workers fail what they start, or run it slowly."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

#: Largest part of the fleet that is limited to one task at a time.
MAX_LIMITED_PART = 0.3

#: Jobs that fail at a side before it is limited, where they run again
#: elsewhere: tasks fail by their own fault too.
SUSPECTS = 2
#: Wait before the first probe of a failing side, in seconds.
FIRST_PROBE = 4.0

#: Factor from one wait to the next.
PROBE_GROWTH = 3.0

#: Longest wait between probes, in seconds.
MAX_PROBE_WAIT = 60.0

#: Weight of the newest task in the speed of a side.
SPEED_WEIGHT = 0.1

#: The same at a slow side, which gets few tasks to be judged by.
PROBE_WEIGHT = 0.5

#: Wait for the next task of a side whose last one was slow, in seconds: the
#: job of each such task is late.
SLOW_PROBE = 1.0

#: Tasks after which the speed of a side is known.
MIN_SPEED_TASKS = 8

#: Smallest factor between a run time and its estimate.
MIN_FACTOR = 0.001

#: Octaves that a slow side is behind the fleet.
SLOW_OCTAVES = 1.0

#: Octaves below which a slow side counts as healthy again.
RECOVERED_OCTAVES = 0.5

#: Weight of the newest task in the pace of a side: workers differ by kind, and
#: single tasks differ more than they do.
PACE_WEIGHT = 0.03

#: Tasks after which the pace of a side is known to some hundredths.
MIN_PACED_TASKS = 30

#: Part of the sides that are as fast as the fastest kind or faster.
FAST_PART = 0.25

#: Largest pace; sides beyond it are found slow, and limited.
MAX_PACE = 2.0

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
        self.failed_number = -1
        self.probe_at = float('-inf')
        #: Jobs that failed here and run again elsewhere, the oldest first,
        #: less one for each success since.
        self.suspects: OrderedDict[str, None] = OrderedDict()
        #: Decayed mean of the octaves by which tasks exceed their estimate.
        self.octaves: float = 0
        #: The same over a longer time, since the side was limited last.
        self.pace_octaves: float = 0
        self.paced_tasks = 0
        self.tasks = 0
        #: Jobs whose tasks ran far over their estimate here, the oldest
        #: first, less one for each task that was in time since.
        self.late_jobs: OrderedDict[str, None] = OrderedDict()
        #: Whether there were several of them, and no task that was placed
        #: later has ended in its time.
        self.is_late = False
        #: Placement number of the newest task at that time.
        self.late_number = -1
        self.is_slow = False
        #: No placement before this time, while the side is late or slow.
        self.slow_until = float('-inf')

    def note_pace(self, octaves: float, usual: float) -> None:
        """Take in how long a task ran, unless the side is slow for a while.

        :param octaves: by which it exceeded its estimate.
        :param usual: the same for the fleet.
        """
        if self.is_behind():
            self.paced_tasks = 0
        if self.is_behind() or octaves - usual > SLOW_OCTAVES:
            return
        self.paced_tasks += 1
        weight = max(PACE_WEIGHT, 1 / self.paced_tasks)
        self.pace_octaves += weight * (octaves - self.pace_octaves)

    def is_failing(self) -> bool:
        """Return whether the side has failed what it started last."""
        return self.failures > 0

    def is_behind(self) -> bool:
        """Return whether the side runs its tasks slowly."""
        return self.is_slow or self.is_late

    def is_limited(self) -> bool:
        """Return whether the side should get one task at a time."""
        return self.is_failing() or self.is_behind()

    def closed_until(self) -> float:
        """Return the time before which the side should get nothing."""
        until = float('-inf')
        if self.is_failing():
            until = self.probe_at
        if self.is_behind():
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
        self.octaves: float = 0
        #: For each kind, sides at which it failed since it last succeeded.
        self.failing_kinds: dict[str, set[str]] = {}
        #: Sides that are limited.
        self.limited: set[str] = set()

    def of(self, side_id: str) -> SideHealth:
        """Return the health of a side.

        :param side_id: identifies the side.
        """
        health = self.sides.get(side_id)
        if health is None:
            health = SideHealth()
            self.sides[side_id] = health
        return health

    def forget(self, side_id: str) -> None:
        """Drop what is known about a side.

        :param side_id: identifies the side.
        """
        self.sides.pop(side_id, None)
        self.limited.discard(side_id)

    def failed(
        self, side_id: str, kind: str, number: int, now: float, ticket: str = ''
    ) -> None:
        """Take in that a task failed.

        :param side_id: where it ran.
        :param kind: of the task.
        :param number: of its placement.
        :param now: the time.
        :param ticket: of its job if the task runs again elsewhere. Such a job
            alone is no reason to limit a side.
        """
        where = self.failing_kinds.setdefault(kind, set())
        where.add(side_id)
        if len(where) > 1:
            for blamed in where:
                self.of(blamed).failures = 0
            return
        health = self.of(side_id)
        if ticket:
            health.suspects[ticket] = None
            if len(health.suspects) < SUSPECTS:
                return
        health.failed_number = max(health.failed_number, number)
        if now >= health.probe_at:
            health.failures += 1
            wait = FIRST_PROBE * PROBE_GROWTH ** (health.failures - 1)
            health.probe_at = now + min(wait, MAX_PROBE_WAIT)

    def succeeded(
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
        :param now: the time.
        """
        self.failing_kinds.pop(kind, None)
        health = self.of(side_id)
        if health.suspects:
            health.suspects.popitem(last=False)
        if number > health.failed_number:
            health.failures = 0
            health.probe_at = float('-inf')
        octaves = math.log2(max(factor, MIN_FACTOR))
        if health.is_behind():
            self.probed(health, number, octaves, now)
        elif health.late_jobs and octaves - self.octaves <= SLOW_OCTAVES:
            health.late_jobs.popitem(last=False)
        if side_id not in self.limited:
            self.octaves += SPEED_WEIGHT / 10 * (octaves - self.octaves)
        least = PROBE_WEIGHT if health.is_slow else SPEED_WEIGHT
        weight = max(least, 1 / (health.tasks + 1))
        health.octaves += weight * (octaves - health.octaves)
        health.tasks += 1
        health.note_pace(octaves, self.octaves)
        self.judge_speed(health)

    def paces(self) -> dict[str, float]:
        """Return the run times at each side over those at the faster ones."""
        known = {
            side_id: health.pace_octaves
            for side_id, health in self.sides.items()
            if health.paced_tasks >= MIN_PACED_TASKS
        }
        if not known:
            return {}
        ranked = sorted(known.values())
        fast = ranked[int(FAST_PART * (len(ranked) - 1))]
        return {
            side_id: min(2 ** max(octaves - fast, 0), MAX_PACE)
            for side_id, octaves in known.items()
        }

    def probed(
        self, health: SideHealth, number: int, octaves: float, now: float
    ) -> None:
        """Take in the run time of a task at a side that is late or slow.

        :param health: of the side.
        :param number: of the placement of the task.
        :param octaves: by which it exceeded its estimate.
        :param now: the time.
        """
        if octaves - self.octaves > SLOW_OCTAVES:
            health.slow_until = now + SLOW_PROBE
        elif number > health.late_number:
            health.is_late = False
            health.late_jobs.clear()

    def judge_speed(self, health: SideHealth) -> None:
        """Decide whether a side is slow.

        :param health: of the side.
        """
        behind = health.octaves - self.octaves
        limit = RECOVERED_OCTAVES if health.is_slow else SLOW_OCTAVES
        health.is_slow = health.tasks >= MIN_SPEED_TASKS and behind > limit

    def late(self, side_id: str, ticket: str, number: int) -> None:
        """Take in that a running task is far over its estimate.

        A side that was found late remains so until a task that was placed
        later has ended in its time: it gets too few to be late by them.

        :param side_id: where it runs.
        :param ticket: of its job.
        :param number: of the newest placement.
        """
        health = self.of(side_id)
        if health.is_late:
            return
        health.late_jobs[ticket] = None
        if len(health.late_jobs) >= LATE_JOBS:
            health.is_late = True
            health.late_number = number

    def is_limited(self, side_id: str) -> bool:
        """Return whether a side has given reason to be limited.

        :param side_id: identifies the side.
        """
        health = self.sides.get(side_id)
        return health is not None and health.is_limited()

    def judge(self, side_id: str, fleet: int) -> Verdict:
        """Return what follows for a side.

        :param side_id: identifies the side.
        :param fleet: number of sides that are open.
        """
        health = self.sides.get(side_id)
        if health is None or not health.is_limited():
            self.limited.discard(side_id)
            return HEALTHY
        if side_id not in self.limited:
            if len(self.limited) >= int(fleet * MAX_LIMITED_PART):
                return HEALTHY
            self.limited.add(side_id)
        behind = max(0, health.octaves - self.octaves)
        return Verdict(
            is_limited=True,
            closed_until=health.closed_until(),
            slowness=2**behind,
        )
