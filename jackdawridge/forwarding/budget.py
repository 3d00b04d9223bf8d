"""Limits on repeated requests, and the latency after which to hedge."""

from __future__ import annotations

from collections import deque

#: Repeats earned by each request, as a fraction.
REPEAT_FRACTION = 0.1
#: Repeats available to a service that has had no requests yet.
INITIAL_REPEATS = 10
#: Highest number of repeats that can be saved up.
MAX_REPEATS = 100.0

#: Latencies that are remembered, and how many it takes to learn from them.
LATENCY_WINDOW = 512
MIN_LATENCIES = 64
#: New latencies after which the quantile is worked out again.
LATENCIES_PER_REFRESH = 32
#: Share of requests that are answered before a hedge is sent.
HEDGE_QUANTILE = 0.95
#: Shortest wait before a hedge, in seconds.
MIN_HEDGE_DELAY = 0.005


class RepeatBudget:
    """Token bucket that holds repeats to a fraction of the first tries."""

    def __init__(
        self,
        fraction: float = REPEAT_FRACTION,
        initial: float = INITIAL_REPEATS,
        maximum: float = MAX_REPEATS,
    ) -> None:
        """Start with the initial."""
        self.fraction = fraction
        self.maximum = maximum
        self.tokens = float(initial)

    def deposit(self) -> None:
        """Count a first try."""
        self.tokens = min(self.maximum, self.tokens + self.fraction)

    def spend(self) -> bool:
        """Take a repeat out of the budget and return whether it was there."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class LatencyWindow:
    """Quantile and mean of the last latencies of a service."""

    def __init__(self) -> None:
        """Start without latencies."""
        self.latencies: deque[float] = deque(maxlen=LATENCY_WINDOW)
        self.fresh = 0
        self.hedge_delay: float | None = None
        self.mean: float = 0

    def add(self, latency: float) -> None:
        """Learn from one answer.

        :param latency: in seconds.
        """
        self.latencies.append(latency)
        self.fresh += 1
        due = self.fresh >= LATENCIES_PER_REFRESH or not self.mean
        if due:
            self.refresh()

    def refresh(self) -> None:
        """Work out the quantile and the mean again."""
        self.fresh = 0
        ordered = sorted(self.latencies)
        self.mean = sum(ordered) / len(ordered)
        if len(ordered) >= MIN_LATENCIES:
            position = int(len(ordered) * HEDGE_QUANTILE)
            self.hedge_delay = max(ordered[position], MIN_HEDGE_DELAY)
