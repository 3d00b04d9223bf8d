"""Messages between entries about jobs."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

#: Schema of the messages of this slice.
SCHEMA = Path(__file__).with_name('messages.capnp')


class JobCall(NamedTuple):
    """Passes a caller's request about a ticket to the entry that issued it."""

    #: Chosen by the sender, returned in the reply.
    number: int
    #: `PUT`, `GET` or `DELETE`.
    method: str
    ticket: str
    #: Time for which the caller waits for the answer, in seconds.
    wait: float
    body: bytes


class JobReply(NamedTuple):
    """Answers a `JobCall`."""

    number: int
    #: Status of HTTP.
    status: int
    #: `not-run`, `ran` or `unknown`; empty where it does not apply.
    outcome: str
    #: Time after which to ask again in seconds, 0 if it is of no use.
    retry_after: float
    body: bytes


#: Kind numbers 500 to 599 belong to this slice.
MESSAGES: Mapping[int, type] = MappingProxyType({500: JobCall, 501: JobReply})
