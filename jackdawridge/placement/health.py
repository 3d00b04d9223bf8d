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

#: Tasks after which the speed of a side is known.
MIN_SPEED_TASKS = 8

#: Smallest factor between a run time and its estimate.
MIN_FACTOR = 0.001

#: Octaves that a slow side is behind the fleet.
SLOW_OCTAVES = 1.0

#: Octaves below which a slow side counts as healthy again.
RECOVERED_OCTAVES = 0.5

#: Tasks of a side that have to be late before it counts as slow.
MIN_LATE_TASKS = 3

#: Part of the running tasks of a side that have to be late.
LATE_PART = 0.25


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
        self.tasks = 0
        #: Whether many running tasks are far over their estimate.
        self.is_late = False
        self.is_slow = False

    def is_failing(self) -> bool:
        """Return whether the side has failed what it started last."""
        return self.failures > 0

    def is_limited(self) -> bool:
        """Return whether the side should get one task at a time."""
        return self.is_failing() or self.is_slow or self.is_late


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
        self, side_id: str, kind: str, number: int, factor: float
    ) -> None:
        """Take in that a task succeeded.

        :param side_id: where it ran.
        :param kind: of the task.
        :param number: of its placement.
        :param factor: its run time over the estimate.
        """
        self.failing_kinds.pop(kind, None)
        health = self.of(side_id)
        if health.suspects:
            health.suspects.popitem(last=False)
        if number > health.failed_number:
            health.failures = 0
            health.probe_at = float('-inf')
        octaves = math.log2(max(factor, MIN_FACTOR))
        weight = max(SPEED_WEIGHT, 1 / (health.tasks + 1))
        health.octaves += weight * (octaves - health.octaves)
        health.tasks += 1
        self.octaves += SPEED_WEIGHT / 10 * (octaves - self.octaves)
        self.judge_speed(health)

    def judge_speed(self, health: SideHealth) -> None:
        """Decide whether a side is slow.

        :param health: of the side.
        """
        behind = health.octaves - self.octaves
        limit = RECOVERED_OCTAVES if health.is_slow else SLOW_OCTAVES
        health.is_slow = health.tasks >= MIN_SPEED_TASKS and behind > limit

    def late_tasks(self, side_id: str, late: int, running: int) -> None:
        """Take in how many running tasks are far over their estimate.

        :param side_id: where they run.
        :param late: how many are.
        :param running: how many run.
        """
        many = late >= MIN_LATE_TASKS and late >= running * LATE_PART
        self.of(side_id).is_late = many

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
        closed_until = health.probe_at if health.is_failing() else float('-inf')
        behind = max(0, health.octaves - self.octaves)
        return Verdict(
            is_limited=True, closed_until=closed_until, slowness=2**behind
        )
