"""Durations of the leases that a side grants its target, without any I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.execution.leased_target import Run

#: Shortest lease with which a run is started, in seconds.
MIN_START_LEASE = 0.2


class LeaseTiming(NamedTuple):
    """Durations of the lease on the runs, in seconds, and the clock drift."""

    lease: float
    #: Interval between two renewals.
    renewal: float
    #: Fraction by which the target's clock may run slow.
    drift: float
    #: Time that the target needs to stop its runs after the lease has expired.
    stop: float
    #: Longest lease that the target grants; it shortens longer ones.
    target_limit: float

    def longest(self, lease: float) -> float:
        """Return the longest local time until runs under a lease have ended.

        :param lease: duration of the lease on the target's clock, in seconds.
        """
        return lease * (1 + self.drift) + self.stop


class LeaseGrants:
    """Bounds the leases at a target by the times at which runs must have ended.

    The lease is common to all runs at the target, so that none may outlast it.

    :param timing: durations of the lease.
    """

    def __init__(self, timing: LeaseTiming) -> None:
        """Start without a lease and without a deadline."""
        self.timing = timing
        #: Returns the local time by which some run must have ended, given the
        #: present one, in seconds.
        self.find_deadline: Callable[[float], float] = no_deadline
        #: Local time at which a run was first reported that this side has not
        #: ordered, in seconds, by run. It gets no more time than the lease of
        #: then.
        self.unknown_since: dict[Run, float] = {}
        #: Local time at which all runs have ended unless the lease is renewed.
        self.all_ended_at = float('-inf')

    def target_joined(self, now: float) -> None:
        """Assume the longest lease at a target that this side begins to use.

        An earlier side may have granted it, or an order that this side sent
        before it knew of the target's restart: the end of the lease in such an
        order is a time on the clock of the earlier incarnation.

        :param now: local time in seconds.
        """
        self.unknown_since = {}
        self.all_ended_at = max(
            self.all_ended_at,
            now + self.timing.longest(self.timing.target_limit),
        )

    def deadline(self, now: float) -> float:
        """Return the local time by which some run must have ended, in seconds.

        :param now: local time in seconds.
        """
        unknown_since = min(self.unknown_since.values(), default=float('inf'))
        return min(
            self.find_deadline(now),
            unknown_since + self.timing.longest(self.timing.lease),
        )

    def duration(self, now: float) -> float:
        """Return the duration of a lease from now on, on the target's clock.

        In seconds; not positive if no time is left.

        :param now: local time in seconds.
        """
        rest = self.deadline(now) - now - self.timing.stop
        return min(self.timing.lease, rest / (1 + self.timing.drift))

    def allows_start(self, now: float) -> bool:
        """Return whether a run that starts now ends by its deadline.

        The present lease may have been granted before the entry of the run was
        known, for a longer time.

        :param now: local time in seconds.
        """
        if self.duration(now) < MIN_START_LEASE:
            return False
        return self.all_ended_at <= self.deadline(now)

    def grant(self, now: float) -> float | None:
        """Return the duration of a lease that is granted now.

        None if no time is left.

        :param now: local time in seconds.
        """
        lease = self.duration(now)
        if lease <= 0:
            return None
        self.all_ended_at = max(
            self.all_ended_at, now + self.timing.longest(lease)
        )
        return lease


def no_deadline(now: float) -> float:
    """Return that no run has to end.

    :param now: local time in seconds.
    """
    return float('inf')
