"""Messages that an entry and a side exchange about tasks."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

#: Cap'n Proto schema of the messages of this slice.
SCHEMA = Path(__file__).with_name('messages.capnp')


class TaskKey(NamedTuple):
    """Identifies one attempt to start one task."""

    ticket: str
    #: Index of the task within its job.
    task: int
    #: Number of the attempt's lease, unique within one incarnation of the
    #: entry.
    lease: int


class Start(NamedTuple):
    """Asks a side to start a task."""

    ticket: str
    task: int
    lease: int
    #: Kind of the task; sizes and run times are learned for each kind.
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
    #: Agreement whose quota the task is charged to, or empty.
    agreement: str
    #: Version of the agreement that was in force when the job was admitted.
    agreement_version: int
    payload: bytes

    def key(self) -> TaskKey:
        """Return the key that identifies this attempt."""
        return TaskKey(self.ticket, self.task, self.lease)


class StartBatch(NamedTuple):
    """Starts sent in one send window, in the order of their placement."""

    #: Batch number, counted from 1 on each link.
    number: int
    #: Newest send window that the entry has received on this link.
    window: int
    #: Offset of the configuration under which the entry placed the tasks.
    position: int
    starts: tuple[Start, ...]


class Room(NamedTuple):
    """Free capacity of a worker."""

    cores: float
    #: In MB.
    memory: float
    accelerators: int
    #: Number of tasks that run or are being started.
    running: int


class Refusal(NamedTuple):
    """Reports that a task was not and will not be started under this lease."""

    key: TaskKey
    reason: str


class Ending(NamedTuple):
    """Reports the outcome of a task that was started."""

    key: TaskKey
    #: `succeeded`, `failed` or `stopped`.
    outcome: str
    reason: str
    answer: bytes
    #: Peak CPU usage that the worker reported, in cores; 0 if it reported
    #: none.
    cores: float
    #: In MB.
    memory: float
    #: In seconds.
    run_time: float


class OutcomeBatch(NamedTuple):
    """Refusals and endings, resent by the side until they are acknowledged."""

    #: Batch number, ascending for each pair of an entry's and a side's
    #: incarnation.
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
    """Asks a side whether starts were carried out.

    It is the first message of an entry on a new link.
    """

    #: Incarnation of the side that the starts were sent to.
    incarnation: str
    keys: tuple[TaskKey, ...]


class Resolution(NamedTuple):
    """Answers a `Resolve`.

    Refusals and endings that the side keeps were sent again before it.
    """

    running: tuple[TaskKey, ...]
    #: Starts that had not arrived; the side refuses them from now on.
    fenced: tuple[TaskKey, ...]


class Heartbeat(NamedTuple):
    """Sent by a side to each linked entry once per heartbeat interval."""

    #: Number of the send window that this heartbeat opens.
    window: int
    #: Number of the last start batch that the side has handled.
    processed: int
    room: Room
    #: Whether the side refuses new work because it is leaving.
    draining: bool
    #: Offset up to which the side has read the configuration.
    position: int


class HeartbeatReply(NamedTuple):
    """Renews the leases of all tasks that the entry has at the side."""

    #: Window number of the heartbeat that this answers.
    window: int
    #: Number of the last outcome batch that the entry has handled.
    received: int
    #: Offset up to which the entry has read the configuration.
    position: int
    #: Time since the entry last confirmed that it has the newest
    #: configuration, in seconds.
    age: float
    #: Time by which the heartbeat arrived after the last of the instants at
    #: which the entry coalesces heartbeats, in seconds.
    phase: float = 0


class Offer(NamedTuple):
    """Offers held room to an entry that was refused."""

    cores: float
    #: In MB.
    memory: float
    accelerators: int
    #: Time for which the room is held for the entry, in seconds.
    hold: float


#: Message types by number; this slice owns the numbers 100 to 199.
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
