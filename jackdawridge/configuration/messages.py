"""Messages by which processes keep each other's configuration current."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

#: Schema of the messages of this slice.
SCHEMA = Path(__file__).with_name('messages.capnp')


class LogRecord(NamedTuple):
    """A change as it stands in the log."""

    offset: int
    #: Its JSON text.
    body: bytes


class ConfigurationUpdate(NamedTuple):
    """Brings a peer from one position to another."""

    #: Position that the peer must have reached already.
    after: int
    position: int
    #: The changes in between; other records are left out.
    records: tuple[LogRecord, ...]


class ConfigurationSnapshot(NamedTuple):
    """Brings a peer that is far behind to a position."""

    position: int
    #: The state, packed by `snapshot.pack`.
    state: bytes


class ConfigurationRequest(NamedTuple):
    """Asks a peer for what is newer, then and from then on."""

    #: Position of the asker.
    position: int


class ConfigurationApplied(NamedTuple):
    """Tells an entry what is in force at a side."""

    position: int


class HeldDomain(NamedTuple):
    """A failure domain whose removal is being published."""

    change_id: str
    failure_domain: str


class HoldUpdate(NamedTuple):
    """Spreads holds and their release."""

    held: tuple[HeldDomain, ...]
    #: Change ids that are settled.
    released: tuple[str, ...]


class LogQuestion(NamedTuple):
    """Asks an entry whether the log answers it."""

    number: int
    #: Position of the asker.
    position: int


class LogAnswer(NamedTuple):
    """Answers a `LogQuestion`."""

    number: int
    position: int
    #: Time since the last read that reached the end of the log, in seconds.
    log_age: float
    #: Whether the log did not answer the last read in time.
    failing: bool
    #: Whether the entry has ever known a current configuration.
    ready: bool
    held: tuple[HeldDomain, ...]


class KnownEntries(NamedTuple):
    """Tells an entry which other entries there are."""

    names: tuple[str, ...]
    #: Whether the sender is about to end.
    leaving: bool


class WorkQuestion(NamedTuple):
    """Asks an entry for its open work under a version of an agreement."""

    number: int
    agreement: str
    version: int


class WorkAnswer(NamedTuple):
    """Answers a `WorkQuestion`."""

    number: int
    position: int
    #: Pieces of work.
    work: int


class ConfirmationQuestion(NamedTuple):
    """Asks an entry which sides of a failure domain have reached an offset."""

    number: int
    failure_domain: str
    position: int


class ConfirmationAnswer(NamedTuple):
    """Answers a `ConfirmationQuestion` by the names of sides."""

    number: int
    confirmed: tuple[str, ...]
    missing: tuple[str, ...]


#: Kind numbers 300 to 399 belong to this slice.
MESSAGES: Mapping[int, type] = MappingProxyType(
    {
        300: ConfigurationUpdate,
        301: ConfigurationSnapshot,
        302: ConfigurationRequest,
        303: ConfigurationApplied,
        304: HoldUpdate,
        305: LogQuestion,
        306: LogAnswer,
        307: KnownEntries,
        308: WorkQuestion,
        309: WorkAnswer,
        310: ConfirmationQuestion,
        311: ConfirmationAnswer,
    }
)
