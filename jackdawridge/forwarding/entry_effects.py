"""Effects that the request state of an entry asks for.

The state does no input or output itself: it appends these to its outbox.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.forwarding.identity import SideId
    from jackdawridge.forwarding.messages import Response


class Outcome(enum.Enum):
    """Whether a request that ends without a response may have run."""

    #: The minion has not run it and never will.
    not_run = 'not-run'
    #: The minion may have run it.
    unknown = 'unknown'


class ErrorReply(NamedTuple):
    """Error that a caller gets in place of a response."""

    #: HTTP status code.
    status: int
    reason: str
    #: Delay after which the caller may retry, in seconds; 0 to state none.
    retry_after: float = 0


class Transmit(NamedTuple):
    """Send a message to a side."""

    side: SideId
    message: Any
    #: Number of the attempt that the message starts, 0 if it starts none.
    number: int = 0


class Respond(NamedTuple):
    """Start the answer to a caller."""

    key: int
    side: SideId
    response: Response


class ContinueAnswer(NamedTuple):
    """Send a further part of an answer to a caller."""

    key: int
    body: bytes
    last: bool


class Abort(NamedTuple):
    """Abort an answer that has started and cannot be completed."""

    key: int
    reason: str


class GiveUp(NamedTuple):
    """Answer a caller with an error in place of a response."""

    key: int
    outcome: Outcome
    error_reply: ErrorReply


class LogDecision(NamedTuple):
    """Log and count a routing decision."""

    step: str
    side: str
    reason: str
    request_id: str
    number: int


EntryEffect = Transmit | Respond | ContinueAnswer | Abort | GiveUp | LogDecision
