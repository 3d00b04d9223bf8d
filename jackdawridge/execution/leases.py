"""A target that runs tasks under leases and numbers what it is told."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from jackdawridge.errors import JackdawridgeError


class Run(NamedTuple):
    """One attempt to run a task at a target."""

    #: By which the target knows the task.
    name: str
    #: Rises with each attempt at one target.
    number: int


class RunEnd(NamedTuple):
    """The end of a run, which the target repeats until it is confirmed."""

    #: Counts the ends of one incarnation of the target.
    position: int
    run: Run
    #: `succeeded`, `failed` or `stopped`.
    outcome: str
    reason: str


class TargetReport(NamedTuple):
    """What a target says of its runs."""

    #: When the target has started, in milliseconds since 1970.
    incarnation: int
    #: Of the target when it answered, in seconds.
    clock: float
    running: frozenset[Run]
    #: Those that are not confirmed, in their order.
    ends: tuple[RunEnd, ...]


class HoldOrder(NamedTuple):
    """Renews the lease on all that runs and asks for a report."""

    #: Refused if the target has seen a higher one.
    fencing_token: int
    #: Position up to which ends are confirmed.
    confirmed: int
    #: On the target's clock in seconds, None to renew nothing.
    lease_until: float | None
    #: Time that the target waits for a new end, in seconds.
    wait: float


class StartOrder(NamedTuple):
    """Asks a target to start a run."""

    run: Run
    payload: bytes
    #: On the target's clock in seconds; not carried out later than that.
    lease_until: float
    fencing_token: int


class StartVerdict(NamedTuple):
    """What a target has answered to a start."""

    started: bool
    #: Why not, or empty.
    reason: str


class FencedError(JackdawridgeError):
    """The target has seen a higher fencing token and has done nothing."""


class OtherIncarnationError(JackdawridgeError):
    """The target at the address is not the one that the order is for."""


class LeasedTarget(Protocol):
    """Orders to a target.

    All raise `NotSentError` if nothing listens at the target's address,
    `FencedError`, `OtherIncarnationError`, or `AnswerLostError` if the order
    may have been carried out or may be carried out later.
    """

    def aim(self, target_id: str) -> None:
        """Send orders to the target with an id and to no other."""

    def name_of(self, task_id: str) -> str:
        """Return the name of a task by the id that the side uses."""

    async def hold(self, order: HoldOrder) -> TargetReport:
        """Renew the lease and return what runs."""

    async def start(self, order: StartOrder) -> StartVerdict:
        """Start a run."""

    async def stop(self, run: Run, fencing_token: int) -> None:
        """Stop a run, or keep it from ever starting."""
