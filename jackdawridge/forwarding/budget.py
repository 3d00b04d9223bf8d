"""Budget of repeated requests and the delay before a request is hedged."""

from __future__ import annotations

from collections import deque

#: Repeats that each first try adds to the budget.
REPEAT_FRACTION = 0.1
#: Repeats in the budget of a service that has had no requests yet.
INITIAL_REPEATS = 10
#: Highest number of repeats in the budget.
MAX_REPEATS = 100.0

#: Number of latest latencies from which quantile and mean are computed.
LATENCY_WINDOW = 512
#: Number of latencies below which no request is hedged.
MIN_LATENCIES = 64
#: Number of new latencies after which quantile and mean are recomputed.
LATENCIES_PER_REFRESH = 32
#: Fraction of requests that are answered before they would be hedged.
HEDGE_QUANTILE = 0.95
#: Shortest delay before a request is hedged, in seconds.
MIN_HEDGE_DELAY = 0.005


class RepeatBudget:
    """Token bucket that limits repeats to a fraction of the first tries.

    :param fraction: tokens that each first try adds.
    :param initial: tokens at the start.
    :param maximum: highest number of tokens.
    """

    def __init__(
        self,
        fraction: float = REPEAT_FRACTION,
        initial: float = INITIAL_REPEATS,
        maximum: float = MAX_REPEATS,
    ) -> None:
        """Initialise with the initial tokens."""
        self.fraction = fraction
        self.maximum = maximum
        self.tokens = float(initial)

    def deposit(self) -> None:
        """Add the tokens of a first try."""
        self.tokens = min(self.maximum, self.tokens + self.fraction)

    def spend(self) -> bool:
        """Spend one token and return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class LatencyWindow:
    """Quantile and mean of the latest latencies of a service."""

    def __init__(self) -> None:
        """Initialise without latencies."""
        self.latencies: deque[float] = deque(maxlen=LATENCY_WINDOW)
        self.fresh = 0
        self.hedge_delay: float | None = None
        self.mean: float = 0

    def add(self, latency: float) -> None:
        """Add the latency of a response.

        :param latency: latency in seconds.
        """
        self.latencies.append(latency)
        self.fresh += 1
        due = self.fresh >= LATENCIES_PER_REFRESH or not self.mean
        if due:
            self.refresh()

    def refresh(self) -> None:
        """Recompute the hedge delay and the mean latency."""
        self.fresh = 0
        ordered = sorted(self.latencies)
        self.mean = sum(ordered) / len(ordered)
        if len(ordered) >= MIN_LATENCIES:
            position = int(len(ordered) * HEDGE_QUANTILE)
            self.hedge_delay = max(ordered[position], MIN_HEDGE_DELAY)
