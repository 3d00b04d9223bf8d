"""JSON bodies of the requests and responses of the stand-ins."""

from __future__ import annotations

from typing import NamedTuple, TypedDict


class Order(TypedDict):
    """A task that a worker is asked to start."""

    id: str
    kind: str
    payload: bytes
    #: Declared use: cores, memory in MB and accelerators.
    cores: float
    memory: float
    accelerators: int
    #: Time after which the task is stopped unless its lease is renewed, in
    #: seconds.
    lease: float


class StartRequest(TypedDict):
    """Body of a request to start tasks."""

    tasks: list[Order]


class Behaviour(TypedDict, total=False):
    """Simulated behaviour that the payload of a task or request gives."""

    #: Run time at full speed, in seconds.
    seconds: float
    #: Actual cores and memory in MB, if not as declared.
    cores: float
    memory: float
    answer: str
    #: Whether the task fails when its run time is over.
    fail: bool
    #: Length to which the answer of a minion is repeated, in bytes.
    size: int


class StartResult(TypedDict):
    """Outcome of a request to start a task: `running` or `refused`."""

    id: str
    state: str
    reason: str


class TaskReport(TypedDict):
    """Report of a task that runs or has ended."""

    id: str
    #: `running`, `succeeded`, `failed` or `stopped`.
    state: str
    reason: str
    answer: bytes
    #: Actual cores and memory in MB.
    cores: float
    memory: float
    #: Time since the start, in seconds.
    run_time: float


class TaskEvent(TaskReport):
    """A line of the event stream about a task that has ended."""

    number: int


class Usage(TypedDict):
    """Use of a task as reported after a lag."""

    id: str
    cores: float
    memory: float


class TaskIds(TypedDict):
    """Body of a request to stop or suspend tasks."""

    ids: list[str]


class ThrottleRequest(TaskIds):
    """Body of a request to limit tasks to a share of their speed."""

    share: float


class RenewRequest(TypedDict, total=False):
    """Body of a request to renew leases, of some tasks or of all."""

    ids: list[str]
    all: bool
    #: New time to expiry, in seconds.
    lease: float


class ForgetRequest(TypedDict):
    """Body of a request to drop the events of ended tasks."""

    #: Number of the last event to drop.
    through: int


class TrimRequest(TypedDict):
    """Body of a request to drop the first records of a stream."""

    #: Offset of the first record to retain.
    before: int


class RecordedStart(TypedDict):
    """A start as a stand-in recorded it."""

    id: str
    #: Time of the machine's monotonic clock, in seconds.
    time: float


class RecordedEnd(RecordedStart):
    """An end as a stand-in recorded it."""

    #: `succeeded`, `failed`, `stopped` or `lost`.
    state: str
    reason: str


class Record(TypedDict):
    """All starts and ends at a stand-in, in order."""

    node: str
    failure_domain: str
    starts: list[RecordedStart]
    ends: list[RecordedEnd]


class LogRecord(NamedTuple):
    """A record of a stream."""

    offset: int
    #: Time of the append, in seconds.
    time: float
    body: bytes
