"""JSON bodies that the stand-ins take and give."""

from __future__ import annotations

from typing import NamedTuple, TypedDict


class Order(TypedDict):
    """A task that a worker is asked to start."""

    id: str
    kind: str
    payload: bytes
    #: Declared cores, memory in MB and accelerators.
    cores: float
    memory: float
    accelerators: int
    #: Time after which the task is stopped unless renewed, in seconds.
    lease: float


class StartRequest(TypedDict):
    """Body of a request to start tasks."""

    tasks: list[Order]


class Behaviour(TypedDict, total=False):
    """What the payload of a task or a request tells the stand-in to do."""

    #: Run time at full speed, in seconds.
    seconds: float
    #: Real use, which may differ from what was declared.
    cores: float
    memory: float
    answer: str
    #: Whether the task fails in the end.
    fail: bool
    #: Length to which the answer of a minion is repeated, in bytes.
    size: int


class StartResult(TypedDict):
    """Says whether a worker started a task."""

    id: str
    state: str
    reason: str


class TaskReport(TypedDict):
    """Describes a task that runs or has ended."""

    id: str
    #: `running`, `succeeded`, `failed` or `stopped`.
    state: str
    reason: str
    answer: bytes
    #: Real use.
    cores: float
    memory: float
    #: In seconds.
    run_time: float


class TaskEvent(TaskReport):
    """A line of the event stream about a task that has ended."""

    number: int


class Usage(TypedDict):
    """What a task uses, as seen some time ago."""

    id: str
    cores: float
    memory: float


class Ids(TypedDict):
    """Names tasks; the body of a request to stop them."""

    ids: list[str]


class Throttle(Ids):
    """Body of a request to limit tasks to a share of their speed."""

    share: float


class Renewal(TypedDict, total=False):
    """Body of a request to renew leases, of some tasks or of all."""

    ids: list[str]
    all: bool
    #: In seconds.
    lease: float


class Forget(TypedDict):
    """Body of a request to drop the reports of ended tasks."""

    #: Number of the last event that may be forgotten.
    through: int


class Trim(TypedDict):
    """Body of a request to drop the first records of a stream."""

    #: Offset of the first record to keep.
    before: int


class RecordedStart(TypedDict):
    """A start as a stand-in saw it."""

    id: str
    #: Time of the machine's monotonic clock, in seconds.
    time: float


class RecordedEnd(RecordedStart):
    """An end as a stand-in saw it."""

    #: `succeeded`, `failed`, `stopped` or `lost`.
    state: str
    reason: str


class Record(TypedDict):
    """Everything that a stand-in started and ended, in order."""

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
