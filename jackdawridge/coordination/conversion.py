"""Conversion between queued tasks and the messages that describe them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.coordination.messages import TaskGroup, WaitingJob
from jackdawridge.placement.request import Objective, Request

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jackdawridge.placement.queued_jobs import Job, Standing


def tasks_message(
    requests: Sequence[Request],
    standing: Standing,
    now: float,
    *,
    has_begun: bool = True,
    avoided: str = '',
) -> WaitingJob:
    """Return the message that describes tasks of one job.

    :param requests: queued or running tasks, at least one.
    :param standing: objective and arrival time of the job.
    :param now: current time in seconds.
    :param has_begun: whether a task of the job has been placed.
    :param avoided: side to which the tasks should not be sent again, or empty.
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
        groups=tuple(map(group_message, alike.values())),
    )


def job_message(job: Job, now: float) -> WaitingJob:
    """Return the message that describes all queued tasks of a job.

    :param job: job with at least one queued task.
    :param now: current time in seconds.
    """
    return tasks_message(
        job.waiting(), job.standing, now, has_begun=job.has_begun
    )


def group_message(requests: list[Request]) -> TaskGroup:
    """Return the message that describes tasks with the same declaration.

    :param requests: the tasks, at least one.
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
    """Return the tasks that a message describes.

    :param job: message from another entry.
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
    """Return the response time objective of a job.

    :param job: message from another entry.
    """
    return Objective(job.stretch, job.allowance, job.priority, job.patience)
