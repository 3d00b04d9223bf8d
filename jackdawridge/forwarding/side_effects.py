"""Effects that the request state of a side asks for.

The state does no input or output itself: it appends these to its outbox.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.forwarding.identity import EntryId, RequestKey
    from jackdawridge.forwarding.messages import Request, Response


class Run(NamedTuple):
    """Start a request at the minion."""

    key: RequestKey
    request: Request


class Stop(NamedTuple):
    """Stop a request that runs at the minion past its deadline."""

    key: RequestKey


class Refuse(NamedTuple):
    """Tell the entry that a request was not run and never will be."""

    key: RequestKey
    reason: str
    #: Delay after which a retry is worthwhile, in seconds; 0 for at once.
    retry_after: float


class ReportLost(NamedTuple):
    """Tell the entry that the response to a request is lost."""

    key: RequestKey
    reason: str


class ResendResponse(NamedTuple):
    """Send a retained response again."""

    key: RequestKey
    response: Response


class Resolved(NamedTuple):
    """Tell an entry the outcomes of its requests."""

    entry: EntryId
    running: tuple[int, ...]
    fenced: tuple[int, ...]
    lost: tuple[int, ...]


SideEffect = Run | Stop | Refuse | ReportLost | ResendResponse | Resolved
