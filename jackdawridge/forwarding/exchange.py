"""State of one request at an entry, from its arrival to its answer."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple, Protocol

from automat import TypeMachineBuilder

if TYPE_CHECKING:
    from jackdawridge.forwarding.identity import SideId
    from jackdawridge.forwarding.messages import Header
    from jackdawridge.forwarding.minions import Minion

#: Highest number of attempts per request, refused ones included.
MAX_SENDS = 8


class Phase(enum.Enum):
    """Phase of a request."""

    #: No attempt is in flight.
    waiting = 'waiting'
    #: One or more attempts are in flight.
    trying = 'trying'
    #: The answer has started.
    answering = 'answering'
    #: The caller has its complete answer or has disconnected.
    done = 'done'


class Lifecycle(Protocol):
    """Inputs to the state machine of a request."""

    def attempt_started(self) -> None:
        """Handle the start of an attempt."""

    def attempts_ended(self) -> None:
        """Handle the end of the last attempt without an answer."""

    def answer_started(self) -> None:
        """Handle the start of the answer."""

    def finish(self) -> None:
        """Handle the end of the answer, or its abandonment."""

    def phase(self) -> Phase:
        """Return the current phase."""


class _NoState:
    """Empty data of the state machine, which has no state besides its phase."""


def _build() -> TypeMachineBuilder[Lifecycle, _NoState]:
    """Return the builder of the state machine."""
    builder = TypeMachineBuilder(Lifecycle, _NoState)
    waiting = builder.state(Phase.waiting.value)
    trying = builder.state(Phase.trying.value)
    answering = builder.state(Phase.answering.value)
    done = builder.state(Phase.done.value)
    waiting.upon(Lifecycle.attempt_started).to(trying).returns(None)
    waiting.upon(Lifecycle.finish).to(done).returns(None)
    trying.upon(Lifecycle.attempt_started).loop().returns(None)
    trying.upon(Lifecycle.attempts_ended).to(waiting).returns(None)
    trying.upon(Lifecycle.answer_started).to(answering).returns(None)
    trying.upon(Lifecycle.finish).to(done).returns(None)
    answering.upon(Lifecycle.finish).to(done).returns(None)
    waiting.upon(Lifecycle.phase).loop().returns(Phase.waiting)
    trying.upon(Lifecycle.phase).loop().returns(Phase.trying)
    answering.upon(Lifecycle.phase).loop().returns(Phase.answering)
    done.upon(Lifecycle.phase).loop().returns(Phase.done)
    return builder


_make_lifecycle = _build().build()


class Call(NamedTuple):
    """Request of a caller."""

    #: Id of the request in logs and in the headers sent to the minion.
    request_id: str
    service: str
    team: str
    method: str
    #: Path and query that are sent to the minion.
    path: str
    headers: tuple[Header, ...]
    body: bytes
    #: Whether the request is idempotent, so that it may run twice.
    repeatable: bool
    #: Whether the request may be hedged.
    hedging: bool
    #: Local time by which the caller wants its answer, in seconds.
    deadline: float


class Attempt(NamedTuple):
    """One attempt to have a request run at a side."""

    number: int
    exchange: Exchange
    minion: Minion
    #: Local time in seconds.
    sent_at: float


class Exchange:
    """State of one request.

    :param key: number of the request, unique within the entry.
    :param call: request of the caller.
    """

    def __init__(self, key: int, call: Call) -> None:
        """Initialise as waiting."""
        self.key = key
        self.call = call
        self.lifecycle: Lifecycle = _make_lifecycle(_NoState())
        #: Attempts whose response may still become the answer, by number.
        self.attempts: dict[int, Attempt] = {}
        #: Number of attempts so far.
        self.sends = 0
        self.hedged = False
        #: Whether an attempt ended with an unknown outcome.
        self.may_have_run = False
        #: Sides that failed or refused the request, avoided by later attempts.
        self.avoided: set[SideId] = set()

    @property
    def phase(self) -> Phase:
        """Current phase of the request."""
        return self.lifecycle.phase()

    def may_resend(self, now: float) -> bool:
        """Return whether attempts and time are left for another attempt.

        :param now: local time in seconds.
        """
        return self.sends < MAX_SENDS and now < self.call.deadline

    def may_hedge(self, now: float) -> bool:
        """Return whether a second, concurrent attempt is allowed.

        :param now: local time in seconds.
        """
        call = self.call
        allowed = call.hedging and call.repeatable
        if not allowed or self.hedged or len(self.attempts) != 1:
            return False
        return self.phase is Phase.trying and self.may_resend(now)
