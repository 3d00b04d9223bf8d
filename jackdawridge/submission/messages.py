"""Messages between entries about tickets and jobs."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

#: Cap'n Proto schema of these messages.
SCHEMA = Path(__file__).with_name('messages.capnp')


class JobCall(NamedTuple):
    """Forwards a request about a ticket to the entry that issued it."""

    #: Number chosen by the sender and returned in the reply.
    number: int
    #: `PUT`, `GET` or `DELETE`.
    method: str
    ticket: str
    #: Time in seconds for which the caller waits for the answer.
    wait: float
    body: bytes


class JobReply(NamedTuple):
    """Answers a `JobCall`."""

    number: int
    #: HTTP status code.
    status: int
    #: `not-run`, `ran` or `unknown`; empty where it does not apply.
    outcome: str
    #: Time in seconds after which to retry, 0 if retrying is of no use.
    retry_after: float
    body: bytes


#: Message kinds 500 to 599 are reserved for this package.
MESSAGES: Mapping[int, type] = MappingProxyType({500: JobCall, 501: JobReply})
