"""Queries over the starts that the stand-ins recorded."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from jackdawridge.standins.messages import Record

_SEPARATOR = '|'
_NEVER = float('inf')


class TaskName(NamedTuple):
    """Identifies a task of a job across its leases."""

    ticket: str
    task: int


class WorkerStart(NamedTuple):
    """One start of a task at a worker."""

    name: TaskName
    #: Number of the lease.
    lease: int
    node: str
    failure_domain: str
    #: Time of the machine's monotonic clock, in seconds.
    time: float


class DoubleStart(NamedTuple):
    """A task that was started more than once."""

    name: TaskName
    starts: tuple[WorkerStart, ...]


def list_starts(records: Iterable[Record]) -> Iterator[WorkerStart]:
    """Yield each start of each worker.

    :param records: the records of all workers.
    :raises ValueError: if an id is not `ticket|task|lease`.
    """
    for record in records:
        for start in record['starts']:
            ticket, task, lease = start['id'].split(_SEPARATOR)
            yield WorkerStart(
                TaskName(ticket, int(task)),
                int(lease),
                record['node'],
                record['failure_domain'],
                start['time'],
            )


def find_double_starts(records: Iterable[Record]) -> list[DoubleStart]:
    """Return the tasks that were started more than once.

    :param records: the records of all workers.
    """
    by_name: dict[TaskName, list[WorkerStart]] = defaultdict(list)
    for start in list_starts(records):
        by_name[start.name].append(start)
    return [
        DoubleStart(name, tuple(starts))
        for name, starts in by_name.items()
        if len(starts) > 1
    ]


def find_late_starts(
    records: Iterable[Record],
    failure_domain: str,
    after: float,
    before: float = _NEVER,
) -> list[WorkerStart]:
    """Return the starts in a failure domain between two times.

    :param records: the records of all workers.
    :param failure_domain: the failure domain that was out of service.
    :param after: the earlier time of the machine's monotonic clock, in
        seconds.
    :param before: the later time, such as that of the failure domain's
        return to service.
    """
    return [
        start
        for start in list_starts(records)
        if start.failure_domain == failure_domain
        and after < start.time < before
    ]


def find_started_tasks(records: Iterable[Record], ticket: str) -> set[int]:
    """Return the positions of the tasks of a job that were started.

    :param records: the records of all workers.
    :param ticket: the ticket of the job.
    """
    return {
        start.name.task
        for start in list_starts(records)
        if start.name.ticket == ticket
    }


def count_starts(records: Iterable[Record]) -> int:
    """Return the number of starts.

    :param records: the records of all workers.
    """
    return sum(len(record['starts']) for record in records)
