"""Messages between an entry and a side about requests to a minion."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

#: Schema of the messages of this slice.
SCHEMA = Path(__file__).with_name('messages.capnp')


#: Longest part of a body in one message, in bytes.
BODY_PART_BYTES = 65536
#: Bytes of a response that a side sends ahead of the entry's credit.
BODY_WINDOW_BYTES = 262144


class Header(NamedTuple):
    """One header of a request or response."""

    name: str
    value: str


class Load(NamedTuple):
    """How busy a minion is, as its side knows it."""

    #: Requests that the minion works on.
    in_use: int
    #: Requests that wait at the side for a slot.
    waiting: int
    #: Whether the side takes new requests.
    accepting: bool


class Request(NamedTuple):
    """Asks a side to pass a request to its minion."""

    #: Number of the attempt, which rises within the entry's incarnation.
    number: int
    method: str
    #: Path and query as the minion is to see them.
    path: str
    headers: tuple[Header, ...]
    #: The body, or its first part.
    body: bytes
    #: Length of the whole body in bytes.
    length: int
    #: Time left for the whole request, in seconds.
    remaining: float
    #: Whether running the request twice does no harm.
    repeatable: bool


class RequestBody(NamedTuple):
    """A further part of the body of a request."""

    number: int
    #: Position of this part in the body.
    offset: int
    body: bytes


class Response(NamedTuple):
    """Answers a request, with the body or its first part."""

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
    #: False if the minion's response broke off.
    intact: bool


class Credit(NamedTuple):
    """Asks for more of a body.

    A side asks for the part of a request's body that begins at the offset; an
    entry lets a side send a response's body up to the offset.
    """

    number: int
    offset: int


class RequestRefused(NamedTuple):
    """Says that a request was not run and never will be under its number."""

    number: int
    reason: str
    #: Time after which it is worth asking again, in seconds; 0 if at once.
    retry_after: float
    load: Load


class RequestLost(NamedTuple):
    """Says that a request was sent to the minion and its answer was lost."""

    number: int
    reason: str
    load: Load


class CancelRequests(NamedTuple):
    """Tells a side that nobody waits for some requests any more."""

    numbers: tuple[int, ...]


class ResolveRequests(NamedTuple):
    """Asks a side what became of requests; sent first on a new link."""

    numbers: tuple[int, ...]


class RequestsResolved(NamedTuple):
    """Answers a `ResolveRequests`; kept responses were sent before it."""

    running: tuple[int, ...]
    #: Requests that had not arrived and are now refused for good.
    fenced: tuple[int, ...]
    #: Requests that may have run and whose answer is gone.
    lost: tuple[int, ...]


class LoadReport(NamedTuple):
    """Tells an entry that a side begins or ceases to take requests."""

    load: Load


class TicketedRequest(NamedTuple):
    """Passes a request under a ticket to the entry that issued the ticket."""

    #: Chosen by the sender, returned in the answer.
    number: int
    ticket: str
    request_id: str
    service: str
    team: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    #: Time left for the whole request, in seconds.
    remaining: float


class TicketedAnswer(NamedTuple):
    """Answers a `TicketedRequest`, whole."""

    number: int
    status: int
    headers: tuple[Header, ...]
    body: bytes
    #: `not-run` or `unknown`; empty for an answer of the minion.
    outcome: str
    #: Time after which it is worth asking again, in seconds; 0 if never.
    retry_after: float


#: Kind numbers 400 to 499 belong to this slice.
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
