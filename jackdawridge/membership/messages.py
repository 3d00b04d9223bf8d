"""Messages by which processes get to know each other."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

#: Schema of the messages of this slice.
SCHEMA = Path(__file__).with_name('messages.capnp')


class State(enum.IntEnum):
    """What is known about the life of a member."""

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
    #: Peer address of an entry, else empty.
    address: str
    #: Service of the minion beside a side, else empty.
    service: str
    #: Cores of the worker.
    cores: float
    #: Memory of the worker in MB.
    memory: float
    #: Accelerators of the worker.
    accelerators: int
    #: Requests that the minion takes at a time.
    slots: int
    #: Orders the runs of one node; see `Member`.
    generation: int = 0
    #: Counts the refutations of this run.
    version: int = 0
    #: Whether the process is leaving.
    leaving: bool = False


class Precedence(NamedTuple):
    """Orders the records of one node; the highest one is the newest."""

    generation: int
    #: Decides between runs that chose the same generation.
    incarnation: str
    has_left: bool
    leaving: bool
    version: int
    state: int


class Member(NamedTuple):
    """What is known about one node; also its record on the wire."""

    node: str
    #: Orders the runs of one node: the larger one is the later one.
    generation: int
    #: Random id of the run.
    incarnation: str
    #: Raised by the member itself to refute a suspicion.
    version: int
    #: A value of `State`.
    state: int
    #: Whether the member is leaving and wants no new work.
    leaving: bool
    #: `entry` or `side`.
    role: str
    failure_domain: str
    #: Peer address of an entry, else empty.
    address: str
    #: Service of the minion beside a side, else empty.
    service: str

    def precedence(self) -> Precedence:
        """Return the key by which the newer of two records is told."""
        return Precedence(
            self.generation,
            self.incarnation,
            self.state == State.left,
            self.leaving,
            self.version,
            self.state,
        )

    def is_present(self) -> bool:
        """Return whether the member is alive or merely suspected."""
        return self.state in {State.alive, State.suspect}


class Gossip(NamedTuple):
    """News about members; asks for no answer."""

    members: tuple[Member, ...]


class Probe(NamedTuple):
    """Asks an entry for a `ProbeReply`."""

    number: int
    #: Digest of the sender's table of members.
    digest: int
    members: tuple[Member, ...]


class ProbeReply(NamedTuple):
    """Answers a `Probe`, or a `ProbeRequest` whose target has answered."""

    #: The number of the probe or request that is answered.
    number: int
    #: Digest of the sender's table; 0 if a target answered through it.
    digest: int
    members: tuple[Member, ...]


class ProbeRequest(NamedTuple):
    """Asks an entry to probe another on behalf of the sender."""

    number: int
    node: str


class SyncRequest(NamedTuple):
    """Asks an entry for its whole table."""

    #: Digest of the asker's table, for the log.
    digest: int


class TablePart(NamedTuple):
    """A part of the table of an entry."""

    #: A `Gossip`, encoded and compressed.
    content: bytes
    #: Whether no part follows.
    final: bool


#: Kind numbers 200 to 299 belong to this slice.
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
