"""Messages about requests between entries and sides, and between entries."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

#: Schema of the messages.
SCHEMA = Path(__file__).with_name('messages.capnp')


#: Longest part of a body in one message, in bytes.
BODY_PART_BYTES = 65536
#: Size of the flow-control window of a response body, in bytes.
BODY_WINDOW_BYTES = 262144


class Header(NamedTuple):
    """One header of a request or response."""

    name: str
    value: str


class Load(NamedTuple):
    """Load of a minion, as its side reports it."""

    #: Number of requests running at the minion.
    in_use: int
    #: Number of requests waiting at the side for a slot.
    waiting: int
    #: Whether the side accepts new requests.
    accepting: bool


class Request(NamedTuple):
    """Asks a side to run a request at its minion."""

    #: Number of the attempt, increasing within an incarnation of the entry.
    number: int
    method: str
    #: Path and query that are sent to the minion.
    path: str
    headers: tuple[Header, ...]
    #: The body, or its first part.
    body: bytes
    #: Length of the whole body in bytes.
    length: int
    #: Time left until the deadline, in seconds.
    remaining: float
    #: Whether the request is idempotent, so that it may run twice.
    repeatable: bool


class RequestBody(NamedTuple):
    """A further part of the body of a request."""

    number: int
    #: Offset of this part in the body, in bytes.
    offset: int
    body: bytes


class Response(NamedTuple):
    """Response of the minion, with the body or its first part."""

    number: int
    status: int
    headers: tuple[Header, ...]
    body: bytes
    last: bool
    load: Load


class ResponseBody(NamedTuple):
    """A further part of the body of a response."""

    number: int
    offset: int
    body: bytes
    last: bool
    #: False if the minion closed the connection before the end.
    intact: bool


class Credit(NamedTuple):
    """Grants credit for more of a body.

    A side requests the part of a request body that begins at the offset. An
    entry allows a side to send a response body up to the offset.
    """

    number: int
    offset: int


class RequestRefused(NamedTuple):
    """States that a request was not run and never will be under its number."""

    number: int
    reason: str
    #: Delay after which a retry is worthwhile, in seconds; 0 for at once.
    retry_after: float
    load: Load


class RequestLost(NamedTuple):
    """States that a request may have run and that its response is lost."""

    number: int
    reason: str
    load: Load


class CancelRequests(NamedTuple):
    """Cancels requests whose answers are no longer awaited."""

    numbers: tuple[int, ...]


class ResolveRequests(NamedTuple):
    """Asks a side for the outcome of requests; sent first on a new link."""

    numbers: tuple[int, ...]


class RequestsResolved(NamedTuple):
    """Answers a `ResolveRequests`; retained responses are sent before it."""

    #: Requests that wait or run at the side.
    running: tuple[int, ...]
    #: Requests that had not arrived and are refused for good from now on.
    fenced: tuple[int, ...]
    #: Requests that may have run and whose response is no longer retained.
    lost: tuple[int, ...]


class LoadReport(NamedTuple):
    """Tells an entry whether a side accepts requests, after a change."""

    load: Load


class TicketedRequest(NamedTuple):
    """Forwards a ticketed request to the entry that issued the ticket."""

    #: Number chosen by the sender, returned in the answer.
    number: int
    ticket: str
    request_id: str
    service: str
    team: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    #: Time left until the deadline, in seconds.
    remaining: float


class TicketedAnswer(NamedTuple):
    """Complete answer to a `TicketedRequest`."""

    number: int
    status: int
    headers: tuple[Header, ...]
    body: bytes
    #: `not-run` or `unknown`; empty for a response of the minion.
    outcome: str
    #: Delay after which the caller may retry, in seconds; 0 to state none.
    retry_after: float


#: Message kinds; 400 to 499 are reserved for this package.
MESSAGES: Mapping[int, type] = MappingProxyType(
    {
        400: Request,
        401: RequestBody,
        402: Response,
        403: ResponseBody,
        404: Credit,
        405: RequestRefused,
        406: RequestLost,
        407: CancelRequests,
        408: ResolveRequests,
        409: RequestsResolved,
        410: LoadReport,
        420: TicketedRequest,
        421: TicketedAnswer,
    }
)
