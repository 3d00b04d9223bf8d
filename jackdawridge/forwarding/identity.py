"""Identities of processes and requests."""

from __future__ import annotations

from typing import NamedTuple


class SideId(NamedTuple):
    """Identifies one run of a side."""

    node: str
    incarnation: str


class EntryId(NamedTuple):
    """Identifies one run of an entry."""

    node: str
    incarnation: str


class RequestKey(NamedTuple):
    """Identifies a request at a side."""

    entry: EntryId
    #: Number of the attempt at the entry.
    number: int
