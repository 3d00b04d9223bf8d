"""Requests to place tasks, and the results that callers get."""

from __future__ import annotations

from typing import NamedTuple

#: Identifies a task: ticket of its job, and its position in the job.
Key = tuple[str, int]


class Objective(NamedTuple):
    """Response time within which a job has to be answered."""

    #: Factor on the ideal response time of the job.
    stretch: float
    #: Time in seconds that is added to the product.
    allowance: float
    #: Jobs with the lowest number are shed last when room is short.
    priority: int = 0
    #: Time in seconds that the caller still waits for the answer; a repeated
    #: request leaves less, since its caller has waited before.
    patience: float = float('inf')


#: Stands for the objective of a job that names none.
NO_OBJECTIVE = Objective(0, 0)


class Request(NamedTuple):
    """A task to be placed, with the needs that its caller declared."""

    ticket: str
    #: Position of the task in its job.
    task: int
    team: str
    kind: str
    cores: float
    #: Memory in MB.
    memory: float
    accelerators: int
    #: Run time in seconds.
    run_time: float
    #: Service whose workers run the task; empty for any worker.
    service: str = ''
    #: Whether the task is retried after a failed run.
    reruns: bool = False

    @property
    def key(self) -> Key:
        """Return the key of the task."""
        return (self.ticket, self.task)


class Placement(NamedTuple):
    """The decision to start a task at a side."""

    side_id: str
    request: Request
    #: Number of cores to reserve.
    cores: float
    #: Memory to reserve, in MB.
    memory: float
    #: Expected run time in seconds.
    run_time: float
    reason: str


class UnplaceableTask(NamedTuple):
    """A queued task that will not be placed.

    Either no known worker can run it, or its job is shed.
    """

    request: Request
    reason: str


class Overload(NamedTuple):
    """The refusal of a job, none of whose tasks was queued."""

    #: Time in seconds after which the caller should retry.
    retry_after: float
    reason: str
