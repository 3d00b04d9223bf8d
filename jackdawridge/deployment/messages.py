"""Messages between entries and sides about what is in force."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

SCHEMA = Path(__file__).with_name('messages.capnp')


class DomainsOut(NamedTuple):
    """Tells a side which failure domains an entry knows to be out."""

    domains: tuple[str, ...]


#: Kind numbers 600 to 699 belong to this slice.
MESSAGES: Mapping[int, type] = MappingProxyType({600: DomainsOut})
