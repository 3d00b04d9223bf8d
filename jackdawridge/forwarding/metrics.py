"""Prometheus metrics of forwarded requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Histogram

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

#: Upper bounds of the histogram buckets, in seconds.
_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


class ForwardingMetrics:
    """Metrics of the requests at an entry.

    :param registry: Prometheus registry of the process.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        self.steps = Counter(
            'jackdawridge_request_steps',
            'Decisions about requests: sent, hedged, refused, lost',
            ['step'],
            registry=registry,
        )
        self.answers = Histogram(
            'jackdawridge_request_seconds',
            'Time to the end of the answer to a caller',
            ['outcome'],
            registry=registry,
            buckets=_BUCKETS,
        )

    def attempted(self, step: str) -> None:
        """Count a step of an attempt.

        :param step: name of the step, such as `send` or `hedge`.
        """
        self.steps.labels(step).inc()

    def answered(self, outcome: str, seconds: float) -> None:
        """Observe the end of an answer.

        :param outcome: outcome of the request for its caller.
        :param seconds: time from the arrival of the request, in seconds.
        """
        self.answers.labels(outcome).observe(seconds)
