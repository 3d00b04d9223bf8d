"""Names of processes and requests within this slice."""

from __future__ import annotations

from typing import NamedTuple


class SideId(NamedTuple):
    """Names one run of a side."""

    node: str
    incarnation: str


class EntryId(NamedTuple):
    """Names one run of an entry."""

    node: str
    incarnation: str


class RequestKey(NamedTuple):
    """Identifies a request at a side."""

    entry: EntryId
    number: int
