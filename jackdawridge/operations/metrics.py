"""Prometheus metrics of jobs, tasks and linked sides."""

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
    from jackdawridge.coordination.component import CoordinationStatus
    from jackdawridge.submission.engine import JobEngine
    from jackdawridge.submission.jobs import JobAnswer

#: Upper bounds of the buckets for answer times, in seconds. Tasks run for 50 ms
#: to several seconds.
ANSWER_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 8, 15)


def make_registry() -> CollectorRegistry:
    """Return a registry with the standard metrics of the process."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    return registry


class JobMetrics:
    """Counts the answered jobs of an entry by their final state.

    :param registry: registry for the metrics of the process.
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
        """Count an answered job.

        :param answer: the answer to the job.
        """
        self.jobs.labels(answer.state, answer.started.value).inc()


class CallerMetrics:
    """Records the answer times of attended jobs by their verdict.

    :param registry: registry for the metrics of the process.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the histogram."""
        self.answer_time = Histogram(
            'jackdawridge_attended_job_seconds',
            'Time from the arrival of a job to the answer',
            ['verdict'],
            registry=registry,
            buckets=ANSWER_BUCKETS,
        )

    def count(self, verdict: str, seconds: float) -> None:
        """Record an answer.

        :param verdict: the verdict on the job, a value of `Verdict`.
        :param seconds: time from the arrival of the job to the answer.
        """
        self.answer_time.labels(verdict).observe(seconds)


def register_job_metrics(
    events: Events, registry: CollectorRegistry, engine: JobEngine
) -> None:
    """Register the metrics of the jobs, tasks and sides of an entry.

    :param events: events of the process, of which finished jobs are counted.
    :param registry: registry for the metrics of the process.
    :param engine: job engine whose present state the gauges show.
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
        'interfering_pairs',
        'Pairs of kinds of which one is found to slow the other down',
        lambda: len(engine.placer.separation.pairs()),
    )
    add_gauge(
        registry,
        'separated_tasks',
        'Tasks placed apart from kinds that they interfere with, so far',
        lambda: engine.placer.separation.separated,
    )
    add_gauge(
        registry,
        'linked_sides',
        'Sides in touch',
        lambda: sum(record.ready for record in engine.orders.sides.values()),
    )
    add_gauge(
        registry,
        'slowest_worker_kind_factor',
        'Run times at the slowest kind of worker over those at the fastest; 1'
        ' while kinds are not told apart',
        lambda: max(engine.placer.worker_kinds.factors.values(), default=1),
    )


def register_coordination_metrics(
    registry: CollectorRegistry, status: Callable[[], CoordinationStatus]
) -> None:
    """Register the metrics that tell which entry decides for which.

    :param registry: registry for the metrics of the process.
    :param status: returns the present status of the coordination.
    """
    add_gauge(
        registry,
        'has_lead',
        'Whether another entry places the tasks of this one',
        lambda: bool(status().lead),
    )
    add_gauge(
        registry,
        'delegating_entries',
        'Entries whose tasks this entry places',
        lambda: status().delegators,
    )


def add_gauge(
    registry: CollectorRegistry,
    name: str,
    description: str,
    read_value: Callable[[], float],
) -> None:
    """Register a gauge whose value is computed when it is collected.

    :param registry: registry for the metrics of the process.
    :param name: name of the metric without the prefix `jackdawridge_`.
    :param description: help text of the metric.
    :param read_value: returns the present value.
    """
    gauge = Gauge(f'jackdawridge_{name}', description, registry=registry)
    gauge.set_function(read_value)
