"""One caller's request at an entry, from its arrival to its answer."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple, Protocol

from automat import TypeMachineBuilder

if TYPE_CHECKING:
    from jackdawridge.forwarding.identity import SideId
    from jackdawridge.forwarding.messages import Header
    from jackdawridge.forwarding.minions import Minion

#: Most times that one request is sent to sides, refusals included.
MAX_SENDS = 8


class Phase(enum.Enum):
    """Where a request is."""

    #: No attempt is under way.
    waiting = 'waiting'
    #: One or more attempts are under way.
    trying = 'trying'
    #: The answer has begun.
    answering = 'answering'
    #: The caller has its final answer or is gone.
    done = 'done'


class Lifecycle(Protocol):
    """Inputs to the state machine of a request."""

    def attempt_started(self) -> None:
        """Note that an attempt is under way."""

    def attempts_ended(self) -> None:
        """Note that no attempt is under way any more."""

    def answer_started(self) -> None:
        """Note that an answer has begun."""

    def finish(self) -> None:
        """Note that nothing more is owed to the caller."""

    def phase(self) -> Phase:
        """Return where the request is."""


class _NoState:
    """The machine keeps nothing besides its state."""


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
    """What a caller asks for."""

    #: Names the request in logs and to the minion.
    request_id: str
    service: str
    team: str
    method: str
    #: Path and query for the minion.
    path: str
    headers: tuple[Header, ...]
    body: bytes
    #: Whether running the request twice does no harm.
    repeatable: bool
    #: Whether a slow request is sent to a second minion.
    hedging: bool
    #: Time by which the caller wants its answer, in seconds.
    deadline: float


class Attempt(NamedTuple):
    """One request on its way to a side and back."""

    number: int
    exchange: Exchange
    minion: Minion
    sent_at: float


class Exchange:
    """The state of one request.

    :param key: number of the request within the entry.
    :param call: what the caller asks for.
    """

    def __init__(self, key: int, call: Call) -> None:
        """Start waiting."""
        self.key = key
        self.call = call
        self.lifecycle: Lifecycle = _make_lifecycle(_NoState())
        #: Attempts that may still bring an answer.
        self.attempts: dict[int, Attempt] = {}
        #: Times that the request was sent.
        self.sends = 0
        self.hedged = False
        #: Whether a minion may have run the request without an answer.
        self.may_have_run = False
        #: Sides that have failed or refused the request.
        self.avoided: set[SideId] = set()

    @property
    def phase(self) -> Phase:
        """Where the request is."""
        return self.lifecycle.phase()

    def may_resend(self, now: float) -> bool:
        """Return whether the request can be sent once more at all.

        :param now: in seconds.
        """
        return self.sends < MAX_SENDS and now < self.call.deadline

    def may_hedge(self, now: float) -> bool:
        """Return whether a second attempt beside the first is allowed.

        :param now: in seconds.
        """
        call = self.call
        allowed = call.hedging and call.repeatable
        if not allowed or self.hedged or len(self.attempts) != 1:
            return False
        return self.phase is Phase.trying and self.may_resend(now)
