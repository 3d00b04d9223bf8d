"""Messages between an entry and the one that decides for it, its lead."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

#: Schema of the messages of this slice.
SCHEMA = Path(__file__).with_name('messages.capnp')


#: Outcome of a task of which nothing will be known, or that waits no more.
LOST = 'lost'
#: Outcome of a task that was not started.
REFUSED = 'refused'


class TaskGroup(NamedTuple):
    """Tasks of a job that are declared alike."""

    kind: str
    cores: float
    #: In MB.
    memory: float
    accelerators: int
    #: In seconds.
    run_time: float
    #: Positions of the tasks in the job.
    tasks: tuple[int, ...]


class WaitingJob(NamedTuple):
    """Tasks of a job that wait for a place."""

    ticket: str
    team: str
    service: str
    #: Whether a task runs again where a run of it has failed.
    reruns: bool
    #: Of the job's `Objective`.
    stretch: float
    #: The same, in seconds.
    allowance: float
    #: The same.
    priority: int
    #: The same, in seconds.
    patience: float
    #: Time since the job came to its entry, in seconds.
    waited: float
    #: Whether a task of the job was placed.
    has_begun: bool
    #: Side that these tasks should not go to again, or empty.
    avoided: str
    groups: tuple[TaskGroup, ...]


class RunningTask(NamedTuple):
    """A task that was placed before its entry had a lead."""

    #: The job with this task alone.
    job: WaitingJob
    #: Node of the side.
    side: str
    #: Cores that are reserved.
    cores: float
    #: Memory that is reserved, in MB.
    memory: float
    #: Expected run time in seconds.
    run_time: float
    #: Time since it was placed, in seconds.
    age: float


class Delegation(NamedTuple):
    """Asks an entry to decide for the sender; says all that there is."""

    #: Counts the delegations of the sender. What is sent under an earlier one
    #: is void.
    term: int
    #: Nodes of the sides that the sender reaches.
    sides: tuple[str, ...]
    jobs: tuple[WaitingJob, ...]
    running: tuple[RunningTask, ...]


class EndedTask(NamedTuple):
    """Says that a task runs no longer, or was not started."""

    ticket: str
    task: int
    #: `succeeded`, `failed`, `stopped`, `LOST` or `REFUSED`.
    outcome: str
    #: Of a refusal.
    reason: str
    #: Highest use that was seen; 0 if none was.
    cores: float
    #: In MB.
    memory: float
    #: In seconds.
    run_time: float


class News(NamedTuple):
    """Tells a lead what has changed; sent without any to hear from it."""

    term: int
    #: Counts the news of a term from 1.
    number: int
    ended: tuple[EndedTask, ...]
    jobs: tuple[WaitingJob, ...]
    #: Tickets of jobs that need no place any more.
    dropped: tuple[str, ...]


class Grant(NamedTuple):
    """The decision to start a task at a side."""

    ticket: str
    task: int
    #: Node of the side.
    side: str
    #: Cores to reserve.
    cores: float
    #: Memory to reserve, in MB.
    memory: float
    #: Expected run time in seconds.
    run_time: float
    reason: str


class GivenUp(NamedTuple):
    """The decision to answer a job without its result."""

    ticket: str
    reason: str


class Decisions(NamedTuple):
    """What a lead has decided for an entry; answers all news."""

    term: int
    #: Of the newest news that was taken in; 0 for the delegation itself.
    number: int
    grants: tuple[Grant, ...]
    given_up: tuple[GivenUp, ...]


class Dismissal(NamedTuple):
    """Says that an entry does not decide for the receiver."""

    term: int
    reason: str
    #: Time for which the receiver should not ask again, in seconds.
    retry_after: float


#: Kind numbers 700 to 799 belong to this slice.
MESSAGES: Mapping[int, type] = MappingProxyType(
    {
        700: Delegation,
        701: News,
        702: Decisions,
        703: Dismissal,
    }
)
