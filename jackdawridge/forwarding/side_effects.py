"""What the pure state of a side asks its acting parts to do."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.forwarding.identity import EntryId, RequestKey
    from jackdawridge.forwarding.messages import Request, Response


class Run(NamedTuple):
    """Pass a request to the minion."""

    key: RequestKey
    request: Request


class Stop(NamedTuple):
    """Give up a request that the minion works on."""

    key: RequestKey


class Refuse(NamedTuple):
    """Tell the entry that a request was not run and never will be."""

    key: RequestKey
    reason: str
    retry_after: float


class ReportLost(NamedTuple):
    """Tell the entry that the answer to a request is lost."""

    key: RequestKey
    reason: str


class ResendResponse(NamedTuple):
    """Send a kept response again."""

    key: RequestKey
    response: Response


class Resolved(NamedTuple):
    """Tell an entry what became of its requests."""

    entry: EntryId
    running: tuple[int, ...]
    fenced: tuple[int, ...]
    lost: tuple[int, ...]


SideEffect = Run | Stop | Refuse | ReportLost | ResendResponse | Resolved
