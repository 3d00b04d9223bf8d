"""Waiting jobs, and what determines their order in the queue of a team."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.request import NO_OBJECTIVE, Objective

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from jackdawridge.placement.learning import Learner
    from jackdawridge.placement.request import Request

#: Offset in seconds that sorts late jobs behind all others.
LATE_ORDER_OFFSET = 1e9


class Standing(NamedTuple):
    """Standing of a job: deadline, size and objective, for its queue order."""

    #: Sort key of the job: the latest start that meets its objective, or the
    #: target end if it has none.
    deadline: float
    #: Time at which the job was first queued.
    queued_at: float
    #: Work by which headroom is determined, in seconds of the whole capacity;
    #: 0 for a job with few tasks.
    headroom_work: float = 0
    #: Time from which a start would yield an answer of no use to the caller.
    expires_at: float = float('inf')
    #: Work in seconds of the whole capacity, whatever the number of tasks.
    total_work: float = 0
    #: Fraction of the whole capacity that all its tasks take together.
    share: float = 0
    #: Jobs with the lowest number are shed last when room is short.
    priority: int = 0
    #: Whether the job can no longer meet its objective.
    is_late: bool = False
    objective: Objective = NO_OBJECTIVE
    #: Expected run time in seconds of its longest task at a worker of usual
    #: speed.
    longest_run_time: float = 0


class Group(NamedTuple):
    """Tasks of a job that declare the same needs."""

    sample: Request
    requests: deque[Request]


class Job:
    """The waiting tasks of one job.

    :param requests: requests of the tasks, at least one.
    :param sequence: breaks ties, ascending in the order of arrival.
    """

    def __init__(self, requests: Sequence[Request], sequence: int) -> None:
        """Group the tasks by their declared needs."""
        self.team = requests[0].team
        self.service = requests[0].service
        self.ticket = requests[0].ticket
        self.sequence = sequence
        self.standing = Standing(0, 0)
        self.groups: dict[tuple[object, ...], Group] = {}
        self.queued = 0
        for request in requests:
            self.group(request).requests.append(request)
            self.queued += 1
        #: Number of tasks when the job was queued.
        self.size = self.queued
        #: Whether a task of the job has been placed.
        self.has_begun = False
        #: Sides that the entry of the job reaches, if another entry decides;
        #: None if all sides may be used.
        self.reachable_sides: Collection[str] | None = None

    def order(self) -> tuple[float, int]:
        """Return the sort key of the job among those of its team."""
        standing = self.standing
        if standing.is_late:
            return (LATE_ORDER_OFFSET + standing.expires_at, self.sequence)
        return (standing.deadline, self.sequence)

    def group(self, request: Request) -> Group:
        """Return the group of a task, and create it if necessary.

        :param request: request of a task of this job.
        """
        alike = request[3:]
        group = self.groups.get(alike)
        if group is None:
            group = Group(request, deque())
            self.groups[alike] = group
        return group

    def waiting(self) -> list[Request]:
        """Return the requests of all waiting tasks."""
        return [
            request
            for group in self.groups.values()
            for request in group.requests
        ]

    def first(self) -> Request:
        """Return the request of one waiting task."""
        return next(
            group.requests[0]
            for group in self.groups.values()
            if group.requests
        )

    def longest_first(self, learner: Learner) -> list[Group]:
        """Return the groups with waiting tasks, the longest tasks first.

        :param learner: estimates run times.
        """
        groups = [group for group in self.groups.values() if group.requests]
        if len(groups) > 1:
            groups.sort(key=lambda group: -learner.need(group.sample).run_time)
        return groups
