"""Messages from entries to sides about the configuration in force."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

#: Schema of the messages of this package.
SCHEMA = Path(__file__).with_name('messages.capnp')


class DomainsOutOfService(NamedTuple):
    """Tells a side which failure domains are out of service."""

    domains: tuple[str, ...]


#: Message types by kind number; 600 to 699 are reserved for this package.
MESSAGES: Mapping[int, type] = MappingProxyType({600: DomainsOutOfService})
