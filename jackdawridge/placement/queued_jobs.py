"""Jobs that wait, and where each stands in the order of its team."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.request import NO_OBJECTIVE, Objective

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from jackdawridge.placement.learning import Learner
    from jackdawridge.placement.request import Request

#: Added to the places of late jobs, which come after all others.
LATE_ORDER_OFFSET = 1e9


class Standing(NamedTuple):
    """Where a job stands in the order of its team."""

    deadline: float
    #: When the job was queued first.
    queued_at: float
    #: Its work, in seconds of the whole room; 0 if it has few tasks.
    headroom_work: float = 0
    #: Time from which an answer would be of no use to the caller.
    expires_at: float = float('inf')
    #: Its work, in seconds of the whole room, whatever its size.
    total_work: float = 0
    #: Part of the whole room that its tasks take when all run.
    share: float = 0
    #: Jobs with the lowest number are refused last when room is short.
    priority: int = 0
    #: Whether the job can no longer be answered in time.
    is_late: bool = False
    objective: Objective = NO_OBJECTIVE
    #: Expected run time of its longest task at a worker of the usual speed,
    #: in seconds.
    longest_run_time: float = 0


class Group(NamedTuple):
    """Tasks of a job that are declared alike."""

    sample: Request
    requests: deque[Request]


class Job:
    """The tasks of one job that wait.

    :param requests: at least one.
    :param sequence: breaks ties in the order of arrival.
    """

    def __init__(self, requests: Sequence[Request], sequence: int) -> None:
        """Group tasks that are declared alike."""
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
        #: Tasks when the job was queued.
        self.size = self.queued
        #: Whether a task of the job was placed.
        self.has_begun = False
        #: Sides that its entry reaches, if another one decides; else all.
        self.reach: Collection[str] | None = None

    def order(self) -> tuple[float, int]:
        """Return where the job stands among those of its team."""
        standing = self.standing
        if standing.is_late:
            return (LATE_ORDER_OFFSET + standing.expires_at, self.sequence)
        return (standing.deadline, self.sequence)

    def group(self, request: Request) -> Group:
        """Return the group of a task.

        :param request: a task of this job.
        """
        alike = request[3:]
        group = self.groups.get(alike)
        if group is None:
            group = Group(request, deque())
            self.groups[alike] = group
        return group

    def waiting(self) -> list[Request]:
        """Return all tasks that wait."""
        return [
            request
            for group in self.groups.values()
            for request in group.requests
        ]

    def first(self) -> Request:
        """Return a task that waits."""
        return next(
            group.requests[0]
            for group in self.groups.values()
            if group.requests
        )

    def longest_first(self, learner: Learner) -> list[Group]:
        """Return the groups, those with the longest tasks first.

        :param learner: estimates run times.
        """
        groups = [group for group in self.groups.values() if group.requests]
        if len(groups) > 1:
            groups.sort(key=lambda group: -learner.need(group.sample).run_time)
        return groups
