"""Messages with which processes replicate the configuration."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

#: Cap'n Proto schema of these messages.
SCHEMA = Path(__file__).with_name('messages.capnp')


class LogRecord(NamedTuple):
    """A change as it is stored in the log."""

    offset: int
    #: JSON text of the change.
    body: bytes


class ConfigurationUpdate(NamedTuple):
    """Sends a peer the changes between two positions."""

    #: Position that the receiver must have reached.
    after: int
    position: int
    #: The changes in between; records of other types are omitted.
    records: tuple[LogRecord, ...]


class ConfigurationSnapshot(NamedTuple):
    """Sends the whole state to a peer that is too far behind for an update."""

    position: int
    #: The state as packed by `snapshot.pack`.
    state: bytes


class ConfigurationRequest(NamedTuple):
    """Requests all changes after a position, including future ones."""

    #: Position of the sender.
    position: int


class ConfigurationApplied(NamedTuple):
    """Reports the position in force at a side."""

    position: int


class HeldDomain(NamedTuple):
    """A hold on a failure domain whose removal is in flight."""

    change_id: str
    failure_domain: str


class HoldUpdate(NamedTuple):
    """Distributes holds and their releases."""

    held: tuple[HeldDomain, ...]
    #: Change ids of the released holds.
    released: tuple[str, ...]


class LogStatusRequest(NamedTuple):
    """Asks an entry whether it can read the log."""

    number: int
    #: Position of the sender.
    position: int


class LogStatusReply(NamedTuple):
    """Replies to a `LogStatusRequest`."""

    number: int
    position: int
    #: Time since the last read that reached the end of the log, in seconds.
    log_age: float
    #: Whether the last read failed or is late.
    failing: bool
    #: Whether the entry's configuration was ever known to be current.
    ready: bool
    held: tuple[HeldDomain, ...]


class KnownEntries(NamedTuple):
    """Tells an entry the names of the other entries."""

    names: tuple[str, ...]
    #: Whether the sender is about to stop.
    leaving: bool


class OpenWorkRequest(NamedTuple):
    """Asks an entry for its open work under a version of an agreement."""

    number: int
    agreement: str
    version: int


class OpenWorkReply(NamedTuple):
    """Replies to an `OpenWorkRequest`."""

    number: int
    position: int
    #: Number of open jobs.
    work: int


class ConfirmationRequest(NamedTuple):
    """Asks an entry which sides of a failure domain confirmed a position."""

    number: int
    failure_domain: str
    position: int


class ConfirmationReply(NamedTuple):
    """Replies to a `ConfirmationRequest` with the names of sides."""

    number: int
    confirmed: tuple[str, ...]
    missing: tuple[str, ...]


#: Message types by kind number; 300 to 399 are reserved for this slice.
MESSAGES: Mapping[int, type] = MappingProxyType(
    {
        300: ConfigurationUpdate,
        301: ConfigurationSnapshot,
        302: ConfigurationRequest,
        303: ConfigurationApplied,
        304: HoldUpdate,
        305: LogStatusRequest,
        306: LogStatusReply,
        307: KnownEntries,
        308: OpenWorkRequest,
        309: OpenWorkReply,
        310: ConfirmationRequest,
        311: ConfirmationReply,
    }
)
