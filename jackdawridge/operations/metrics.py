"""Metrics of tasks, jobs and control, for Prometheus."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.application import Events
    from jackdawridge.submission.engine import JobEngine
    from jackdawridge.submission.jobs import JobAnswer

#: Upper bounds in seconds: tasks last from 50 ms to several seconds.
ANSWER_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 8, 15)


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


class CallerMetrics:
    """Counts what callers who wait for their jobs are told, and when.

    :param registry: of the process.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the histogram."""
        self.seconds = Histogram(
            'jackdawridge_attended_job_seconds',
            'Time from the arrival of a job to the answer',
            ['verdict'],
            registry=registry,
            buckets=ANSWER_BUCKETS,
        )

    def count(self, verdict: str, seconds: float) -> None:
        """Count an answer.

        :param verdict: what became of the job.
        :param seconds: from its arrival to the answer.
        """
        self.seconds.labels(verdict).observe(seconds)


def watch_jobs(
    events: Events, registry: CollectorRegistry, engine: JobEngine
) -> None:
    """Show the jobs of an entry in its metrics.

    :param events: of the process.
    :param registry: of the process.
    :param engine: owns the jobs.
    """
    events.connect('job_finished', JobMetrics(registry).count)
    add_gauge(
        registry,
        'open_jobs',
        'Jobs without an answer',
        lambda: len(engine.jobs),
    )
    add_gauge(
        registry,
        'queued_tasks',
        'Tasks that wait for room',
        lambda: engine.placer.queues.queued,
    )
    add_gauge(
        registry,
        'linked_sides',
        'Sides in touch',
        lambda: sum(record.ready for record in engine.orders.sides.values()),
    )


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
