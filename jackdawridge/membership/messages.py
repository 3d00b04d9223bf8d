"""Messages of the membership protocol."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

#: Schema of the messages of this package.
SCHEMA = Path(__file__).with_name('messages.capnp')


class State(enum.IntEnum):
    """State of a member as known to this process."""

    alive = 0
    suspect = 1
    dead = 2
    left = 3


class Introduction(NamedTuple):
    """The first message in each direction on every link."""

    #: `entry` or `side`.
    role: str
    #: Name of the process from its settings.
    node: str
    #: Random id of this run of the process.
    incarnation: str
    failure_domain: str
    #: Peer address of an entry; empty for a side.
    address: str
    #: Service of the minion beside a side; empty for an entry.
    service: str
    #: CPU cores of the worker.
    cores: float
    #: Memory of the worker, in MB.
    memory: float
    #: Number of accelerators of the worker.
    accelerators: int
    #: Maximum number of concurrent requests to the minion.
    slots: int
    #: Orders the runs of a node; see `Member`.
    generation: int = 0
    #: Number of times that this run has refuted a suspicion.
    version: int = 0
    #: Whether the process is leaving and takes no new work.
    leaving: bool = False
    #: Kind of the worker beside a side, as its target announces it; empty if
    #: unknown, and from processes that do not send it.
    worker_kind: str = ''
    #: Processor cores of an entry; 0 if unknown, and for a side.
    capacity: float = 0


class Precedence(NamedTuple):
    """Sort key of the records of one node; the newest has the highest key."""

    generation: int
    #: Breaks the tie between runs with the same generation.
    incarnation: str
    has_left: bool
    leaving: bool
    version: int
    state: int


class Member(NamedTuple):
    """The record of one node, in the member table and on the wire."""

    node: str
    #: Orders the runs of a node: a later run has a larger number.
    generation: int
    #: Random id of the run.
    incarnation: str
    #: Incremented by the member itself to refute a suspicion.
    version: int
    #: A value of `State`.
    state: int
    #: Whether the member is leaving and takes no new work.
    leaving: bool
    #: `entry` or `side`.
    role: str
    failure_domain: str
    #: Peer address of an entry; empty for a side.
    address: str
    #: Service of the minion beside a side; empty for an entry.
    service: str
    #: Processor cores of an entry; 0 if unknown, and for a side.
    capacity: float = 0

    def precedence(self) -> Precedence:
        """Return the key that orders this record among those of its node."""
        return Precedence(
            self.generation,
            self.incarnation,
            self.state == State.left,
            self.leaving,
            self.version,
            self.state,
        )

    def is_present(self) -> bool:
        """Return whether the member is alive or suspected."""
        return self.state in {State.alive, State.suspect}


class Gossip(NamedTuple):
    """Carries member updates; is not answered."""

    members: tuple[Member, ...]


class Probe(NamedTuple):
    """Requests a `ProbeReply` from an entry."""

    number: int
    #: Digest of the sender's member table.
    digest: int
    members: tuple[Member, ...]


class ProbeReply(NamedTuple):
    """Answers a `Probe`, or a `ProbeRequest` whose target has replied."""

    #: Number of the probe or of the request that is answered.
    number: int
    #: Digest of the sender's member table; 0 in answer to a `ProbeRequest`.
    digest: int
    members: tuple[Member, ...]


class ProbeRequest(NamedTuple):
    """Requests that an entry probe another on behalf of the sender."""

    number: int
    node: str


class SyncRequest(NamedTuple):
    """Requests the whole member table of an entry."""

    #: Digest of the requester's member table, for diagnosis.
    digest: int


class TablePart(NamedTuple):
    """One part of an entry's member table."""

    #: A `Gossip` message, encoded and compressed.
    content: bytes
    #: Whether this is the last part.
    final: bool


#: Message types by kind number; 200 to 299 are reserved for this package.
MESSAGES: Mapping[int, type] = MappingProxyType(
    {
        200: Introduction,
        201: Gossip,
        202: Probe,
        203: ProbeReply,
        204: ProbeRequest,
        205: SyncRequest,
        206: TablePart,
    }
)
