"""Messages between an entry and a side about tasks."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

#: Schema of the messages of this slice.
SCHEMA = Path(__file__).with_name('messages.capnp')


class TaskKey(NamedTuple):
    """Identifies one attempt to start one task."""

    ticket: str
    #: Position of the task in its job.
    task: int
    #: Number of the lease, unique within the entry's incarnation.
    lease: int


class Start(NamedTuple):
    """Asks a side to start a task."""

    ticket: str
    task: int
    lease: int
    #: Kind of the task, by which sizes and run times are learned.
    kind: str
    team: str
    #: Cores to reserve.
    cores: float
    #: Memory to reserve, in MB.
    memory: float
    #: Accelerators to reserve.
    accelerators: int
    #: Expected run time in seconds.
    run_time: float
    #: Agreement that the task is counted under, or empty.
    agreement: str
    #: Version of the agreement, pinned at admission.
    agreement_version: int
    payload: bytes

    def key(self) -> TaskKey:
        """Return the key of this attempt."""
        return TaskKey(self.ticket, self.task, self.lease)


class StartBatch(NamedTuple):
    """Starts that share a window, in the order of their placement."""

    #: Counts the batches of a link from 1.
    number: int
    #: Newest window number that the entry has seen on this link.
    window: int
    #: Offset of the configuration that the entry placed under.
    position: int
    starts: tuple[Start, ...]


class Room(NamedTuple):
    """What a worker can take now."""

    cores: float
    #: In MB.
    memory: float
    accelerators: int
    #: Tasks that run or are being started.
    running: int


class Refusal(NamedTuple):
    """Says that a task was not started and never will be under this lease."""

    key: TaskKey
    reason: str


class Ending(NamedTuple):
    """Says how a task that was started has ended."""

    key: TaskKey
    #: `succeeded`, `failed` or `stopped`.
    outcome: str
    reason: str
    answer: bytes
    #: Highest use that the worker reported; 0 if it reported none.
    cores: float
    #: In MB.
    memory: float
    #: In seconds.
    run_time: float


class OutcomeBatch(NamedTuple):
    """Refusals and endings, kept by the side until they are acknowledged."""

    #: Counts the batches of a pair of incarnations from 1.
    number: int
    #: Number of the last start batch that the side has handled.
    processed: int
    room: Room
    refusals: tuple[Refusal, ...]
    endings: tuple[Ending, ...]


class CancelBatch(NamedTuple):
    """Asks a side to stop all tasks of some jobs."""

    tickets: tuple[str, ...]


class StopBatch(NamedTuple):
    """Asks a side to stop single tasks, which then run elsewhere."""

    keys: tuple[TaskKey, ...]


class Resolve(NamedTuple):
    """Asks a side what became of starts; sent first on a new link."""

    #: Run of the side that the starts were sent to.
    incarnation: str
    keys: tuple[TaskKey, ...]


class Resolution(NamedTuple):
    """Answers a `Resolve`; endings were sent again before it."""

    running: tuple[TaskKey, ...]
    #: Starts that had not arrived and are now refused for good.
    fenced: tuple[TaskKey, ...]


class Heartbeat(NamedTuple):
    """Sent by a side to each of its entries at a fixed interval."""

    #: Number of the send window that this heartbeat opens.
    window: int
    #: Number of the last start batch that the side has handled.
    processed: int
    room: Room
    #: Whether the side is leaving and takes no new work.
    draining: bool
    #: Offset up to which the side knows the configuration.
    position: int


class HeartbeatReply(NamedTuple):
    """Renews all task leases of an entry at a side."""

    #: The window number of the heartbeat that is answered.
    window: int
    #: Number of the last outcome batch that the entry has handled.
    received: int
    #: Offset up to which the entry knows the configuration.
    position: int
    #: Time since the entry knew that nothing newer exists, in seconds.
    age: float
    #: Time since the last moment at which the entry takes heartbeats together,
    #: in seconds.
    phase: float = 0


class Offer(NamedTuple):
    """Tells an entry that was refused about room reserved for it."""

    cores: float
    #: In MB.
    memory: float
    accelerators: int
    #: Time for which the room stays reserved, in seconds.
    hold: float


#: Kind numbers 100 to 199 belong to this slice.
MESSAGES: Mapping[int, type] = MappingProxyType(
    {
        100: StartBatch,
        101: OutcomeBatch,
        102: CancelBatch,
        103: Resolve,
        104: Resolution,
        105: Heartbeat,
        106: HeartbeatReply,
        107: Offer,
        108: StopBatch,
    }
)
