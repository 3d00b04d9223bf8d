"""Conversion between queued jobs and what is said of them to a lead."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.coordination.messages import TaskGroup, WaitingJob
from jackdawridge.placement.request import Objective, Request

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jackdawridge.placement.queued_jobs import Job, Standing


def describe(
    requests: Sequence[Request],
    standing: Standing,
    now: float,
    *,
    has_begun: bool = True,
    avoided: str = '',
) -> WaitingJob:
    """Return what is said of tasks that wait, or that run.

    :param requests: at least one, all of one job.
    :param standing: of the job.
    :param now: the time in seconds.
    :param has_begun: whether a task of the job was placed.
    :param avoided: side that they should not go to again, or empty.
    """
    first = requests[0]
    alike: dict[tuple[object, ...], list[Request]] = {}
    for request in requests:
        alike.setdefault(request[3:], []).append(request)
    return WaitingJob(
        first.ticket,
        first.team,
        first.service,
        first.reruns,
        *standing.objective,
        waited=max(now - standing.queued_at, 0),
        has_begun=has_begun,
        avoided=avoided,
        groups=tuple(map(group_of, alike.values())),
    )


def describe_job(job: Job, now: float) -> WaitingJob:
    """Return what is said of all tasks of a job that wait.

    :param job: with at least one.
    :param now: the time in seconds.
    """
    return describe(job.waiting(), job.standing, now, has_begun=job.has_begun)


def group_of(requests: list[Request]) -> TaskGroup:
    """Return what is said of tasks that are declared alike.

    :param requests: at least one.
    """
    sample = requests[0]
    return TaskGroup(
        sample.kind,
        sample.cores,
        sample.memory,
        sample.accelerators,
        sample.run_time,
        tuple(request.task for request in requests),
    )


def requests_of(job: WaitingJob) -> list[Request]:
    """Return the tasks that a message speaks of.

    :param job: from another entry.
    """
    return [
        Request(
            job.ticket,
            task,
            job.team,
            group.kind,
            group.cores,
            group.memory,
            group.accelerators,
            group.run_time,
            job.service,
            job.reruns,
        )
        for group in job.groups
        for task in group.tasks
    ]


def objective_of(job: WaitingJob) -> Objective:
    """Return how long a job may take.

    :param job: from another entry.
    """
    return Objective(job.stretch, job.allowance, job.priority, job.patience)
