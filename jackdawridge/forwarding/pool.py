"""What an entry keeps for each service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from jackdawridge.forwarding.budget import LatencyWindow, RepeatBudget
from jackdawridge.forwarding.queues import TeamQueues

if TYPE_CHECKING:
    from jackdawridge.forwarding.exchange import Exchange
    from jackdawridge.forwarding.minions import MinionSet

#: Requests that may be sent again after 'not run', as a fraction of all.
RESEND_FRACTION = 0.5
#: Such requests available to a service that has had none yet.
INITIAL_RESENDS = 64
#: Latency that is expected of a service before its first answer, in seconds.
INITIAL_LATENCY = 0.1
#: Shortest time after which refused callers are asked to return, in seconds.
MIN_RETRY_DELAY = 1.0
#: Longest such time, in seconds.
MAX_RETRY_DELAY = 30.0


class Pool:
    """The minions, waiting requests and budgets of one service.

    :param name: the service.
    :param minions: that serve it.
    :param queue_limit: most requests that wait.
    """

    def __init__(
        self,
        name: str,
        minions: MinionSet,
        queue_limit: int,
    ) -> None:
        """Start without minions and requests."""
        self.name = name
        self.minions = minions
        self.queues: TeamQueues[Exchange] = TeamQueues(queue_limit)
        #: Budget of repeats that may run a request twice.
        self.repeats = RepeatBudget()
        #: Budget of requests that are sent on after 'not run'.
        self.resends = RepeatBudget(
            RESEND_FRACTION, INITIAL_RESENDS, 2 * INITIAL_RESENDS
        )
        self.latencies = LatencyWindow()

    def expected_wait(self, now: float) -> float:
        """Return how long a new request would wait, infinite if for ever.

        :param now: local time in seconds.
        """
        usable = self.minions.usable(now)
        if not usable:
            return math.inf
        if not self.queues.size:
            return 0
        slots = sum(minion.slots for minion in usable)
        latency = self.latencies.mean or INITIAL_LATENCY
        return self.queues.size * latency / slots

    def retry_after(self, now: float) -> float:
        """Return when a refused caller may come back, in seconds.

        :param now: local time in seconds.
        """
        wait = self.expected_wait(now)
        return min(max(wait, MIN_RETRY_DELAY), MAX_RETRY_DELAY)
