"""What callers of the placement hand in and get back."""

from __future__ import annotations

from typing import NamedTuple

#: Ticket and position of a task in its job.
Key = tuple[str, int]


class Objective(NamedTuple):
    """How long a job may take to be answered in time."""

    #: Factor on the expected run time of its longest task.
    stretch: float
    #: Time besides, in seconds.
    allowance: float
    #: Jobs with the lowest number are refused last when room is short.
    priority: int = 0
    #: Time for which the caller waits for the answer, in seconds. One who comes
    #: again has waited before.
    patience: float = float('inf')


#: Of jobs that name no objective.
NO_OBJECTIVE = Objective(0, 0)


class Request(NamedTuple):
    """A task that is to be placed, with what its caller declared."""

    ticket: str
    #: Position of the task in its job.
    task: int
    team: str
    kind: str
    cores: float
    #: In MB.
    memory: float
    accelerators: int
    #: In seconds.
    run_time: float
    #: Service whose workers run the task; any worker if it is empty.
    service: str = ''
    #: Whether the task runs again where a run of it has failed.
    reruns: bool = False

    @property
    def key(self) -> Key:
        """Return what identifies the task."""
        return (self.ticket, self.task)


class Placement(NamedTuple):
    """The decision to start a task at a side."""

    side_id: str
    request: Request
    #: Cores to reserve.
    cores: float
    #: Memory to reserve, in MB.
    memory: float
    #: Expected run time in seconds.
    run_time: float
    reason: str


class Impossible(NamedTuple):
    """A task that no known worker can ever run."""

    request: Request
    reason: str


class Overload(NamedTuple):
    """Says that a job was not queued; none of its tasks was."""

    #: Time in seconds after which the caller should ask again.
    retry_after: float
    reason: str
