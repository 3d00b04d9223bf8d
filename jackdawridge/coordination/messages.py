"""Messages between an entry and its lead, which places its tasks."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

#: Cap'n Proto schema of these messages.
SCHEMA = Path(__file__).with_name('messages.capnp')


#: Outcome of a task whose outcome is unknown, or that is no longer queued.
LOST = 'lost'
#: Outcome of a task whose start was refused.
REFUSED = 'refused'


class TaskGroup(NamedTuple):
    """Tasks of a job that declare the same resources."""

    kind: str
    cores: float
    #: Declared memory in MB.
    memory: float
    accelerators: int
    #: Declared run time in seconds.
    run_time: float
    #: Positions of the tasks within the job.
    tasks: tuple[int, ...]


class WaitingJob(NamedTuple):
    """Queued tasks of a job."""

    ticket: str
    team: str
    service: str
    #: Whether a task is queued again after a failed run.
    reruns: bool
    #: Allowed response time of the job in multiples of the expected run time of
    #: its longest task. This and the next three fields are its `Objective`.
    stretch: float
    #: Constant addition to the allowed response time, in seconds.
    allowance: float
    #: Priority of the job.
    priority: int
    #: Time in seconds for which the caller waits.
    patience: float
    #: Time since the job was submitted to its entry, in seconds.
    waited: float
    #: Whether a task of the job has been placed.
    has_begun: bool
    #: Side to which these tasks should not be sent again, or empty.
    avoided: str
    groups: tuple[TaskGroup, ...]


class RunningTask(NamedTuple):
    """A task that was placed before its entry had a lead."""

    #: The job, reduced to this task.
    job: WaitingJob
    #: Node of the side that runs the task.
    side: str
    #: Reserved cores.
    cores: float
    #: Reserved memory in MB.
    memory: float
    #: Expected run time in seconds.
    run_time: float
    #: Time since the task was placed, in seconds.
    age: float


class Delegation(NamedTuple):
    """Delegates placement to the receiver; lists all tasks of the sender."""

    #: Counts the delegations of the sender. Messages of an earlier term are
    #: ignored.
    term: int
    #: Nodes of the sides that the sender is linked to.
    sides: tuple[str, ...]
    jobs: tuple[WaitingJob, ...]
    running: tuple[RunningTask, ...]


class EndedTask(NamedTuple):
    """Reports that a task no longer runs or its start was refused."""

    ticket: str
    task: int
    #: `succeeded`, `failed`, `stopped`, `LOST` or `REFUSED`.
    outcome: str
    #: Reason of a refusal, otherwise empty.
    reason: str
    #: Highest measured use of cores, 0 if it wasn't measured.
    cores: float
    #: Highest measured use of memory in MB, 0 if it wasn't measured.
    memory: float
    #: Measured run time in seconds, 0 if it wasn't measured.
    run_time: float


class DelegationUpdate(NamedTuple):
    """Reports changes to the lead; an empty update only asks for an answer."""

    term: int
    #: Counts the updates of a term from 1.
    number: int
    ended: tuple[EndedTask, ...]
    jobs: tuple[WaitingJob, ...]
    #: Tickets of jobs whose queued tasks were dropped, before those in `jobs`
    #: were queued.
    dropped: tuple[str, ...]


class Grant(NamedTuple):
    """Decision to start a task at a side."""

    ticket: str
    task: int
    #: Node of the side that is to run the task.
    side: str
    #: Cores to reserve.
    cores: float
    #: Memory to reserve, in MB.
    memory: float
    #: Expected run time in seconds.
    run_time: float
    reason: str


class ShedDecision(NamedTuple):
    """Decision to shed a job, that is to answer it without its result."""

    ticket: str
    reason: str


class Decisions(NamedTuple):
    """Decisions of a lead for a delegator; answers all updates so far."""

    term: int
    #: Number of the last update that was applied, 0 for the delegation itself.
    number: int
    grants: tuple[Grant, ...]
    given_up: tuple[ShedDecision, ...]


class DelegationEnd(NamedTuple):
    """Rejects or ends a delegation of the receiver."""

    term: int
    reason: str
    #: Time in seconds for which the receiver should not delegate to the sender
    #: again.
    retry_after: float


#: Message kinds 700 to 799 are reserved for this package.
MESSAGES: Mapping[int, type] = MappingProxyType(
    {
        700: Delegation,
        701: DelegationUpdate,
        702: Decisions,
        703: DelegationEnd,
    }
)
