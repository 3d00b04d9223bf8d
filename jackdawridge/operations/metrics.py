"""Metrics of tasks, jobs and control, for Prometheus."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    ProcessCollector,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.submission.jobs import JobAnswer


def make_registry() -> CollectorRegistry:
    """Return a registry with the figures of the process itself."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    return registry


class JobMetrics:
    """Counts the jobs of an entry.

    :param registry: of the process.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the counter."""
        self.jobs = Counter(
            'jackdawridge_jobs',
            'Jobs that have got their answer',
            ['state', 'started'],
            registry=registry,
        )

    def count(self, answer: JobAnswer) -> None:
        """Count an answer.

        :param answer: of a job.
        """
        self.jobs.labels(answer.state, answer.started.value).inc()


def add_gauge(
    registry: CollectorRegistry,
    name: str,
    text: str,
    read: Callable[[], float],
) -> None:
    """Register a gauge that is read when it is collected.

    :param registry: of the process.
    :param name: without the prefix of the system.
    :param text: for the collector's users.
    :param read: returns the value.
    """
    gauge = Gauge(f'jackdawridge_{name}', text, registry=registry)
    gauge.set_function(read)
