"""What the pure state of an entry asks its acting parts to do."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.forwarding.identity import SideId
    from jackdawridge.forwarding.messages import Response


class Outcome(enum.Enum):
    """What a caller is told about a request that got no answer."""

    #: The minion has not run it and never will.
    not_run = 'not-run'
    #: The minion may have run it.
    unknown = 'unknown'


class ErrorReply(NamedTuple):
    """Why a request is given up."""

    status: int
    reason: str
    #: Time after which it is worth asking again, in seconds; 0 if never.
    retry_after: float = 0


class Transmit(NamedTuple):
    """Send a message to a side."""

    side: SideId
    message: Any
    #: Number of the attempt that the message begins, 0 if it begins none.
    number: int = 0


class Respond(NamedTuple):
    """Begin the answer to a caller."""

    key: int
    side: SideId
    response: Response


class ContinueAnswer(NamedTuple):
    """Send a further part of an answer to a caller."""

    key: int
    body: bytes
    last: bool


class Abort(NamedTuple):
    """Cut off an answer that cannot be completed."""

    key: int
    reason: str


class GiveUp(NamedTuple):
    """Tell a caller that there will be no answer."""

    key: int
    outcome: Outcome
    error_reply: ErrorReply


class LogDecision(NamedTuple):
    """Write the log line of a routing decision."""

    step: str
    side: str
    reason: str
    request_id: str
    number: int


EntryEffect = Transmit | Respond | ContinueAnswer | Abort | GiveUp | LogDecision
