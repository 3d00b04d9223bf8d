"""Messages by which processes get to know each other."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

#: Schema of the messages of this slice.
SCHEMA = Path(__file__).with_name('messages.capnp')


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


#: Kind numbers 200 to 299 belong to this slice.
MESSAGES: Mapping[int, type] = MappingProxyType({200: Introduction})
