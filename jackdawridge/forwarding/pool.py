"""Minions, queue and budgets that an entry keeps for each service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from jackdawridge.forwarding.budget import LatencyWindow, RepeatBudget
from jackdawridge.forwarding.queues import TeamQueues

if TYPE_CHECKING:
    from jackdawridge.forwarding.exchange import Exchange
    from jackdawridge.forwarding.minions import MinionSet

#: Resends after a refusal that each request adds to the budget.
RESEND_FRACTION = 0.5
#: Resends in the budget of a service that has had no requests yet.
INITIAL_RESENDS = 64
#: Latency assumed before the first response of a service, in seconds.
INITIAL_LATENCY = 0.1
#: Shortest delay after which refused callers are told to retry, in seconds.
MIN_RETRY_DELAY = 1.0
#: Longest delay after which refused callers are told to retry, in seconds.
MAX_RETRY_DELAY = 30.0


class ServicePool:
    """Minions, waiting requests and budgets of one service.

    :param name: name of the service.
    :param minions: minions that serve it.
    :param queue_limit: highest number of waiting requests.
    """

    def __init__(
        self,
        name: str,
        minions: MinionSet,
        queue_limit: int,
    ) -> None:
        """Initialise without requests."""
        self.name = name
        self.minions = minions
        self.queues: TeamQueues[Exchange] = TeamQueues(queue_limit)
        #: Budget of repeats and hedges, which may run a request twice.
        self.repeats = RepeatBudget()
        #: Budget of resends of requests that were not run.
        self.resends = RepeatBudget(
            RESEND_FRACTION, INITIAL_RESENDS, 2 * INITIAL_RESENDS
        )
        self.latencies = LatencyWindow()

    def expected_wait(self, now: float) -> float:
        """Return the expected wait of a new request, in seconds.

        It is infinite if no minion is usable.

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
        """Return the delay after which a refused caller may retry, in seconds.

        :param now: local time in seconds.
        """
        wait = self.expected_wait(now)
        return min(max(wait, MIN_RETRY_DELAY), MAX_RETRY_DELAY)
