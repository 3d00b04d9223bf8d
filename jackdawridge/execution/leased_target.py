"""Interface of a target that runs tasks under a lease."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from jackdawridge.errors import JackdawridgeError


class Run(NamedTuple):
    """One attempt to run a task at a target."""

    #: Name of the task at the target.
    name: str
    #: Attempt number, which increases with each attempt at the same target.
    number: int


class RunEnd(NamedTuple):
    """The end of a run, which the target reports until it is confirmed."""

    #: Position among the ends of one incarnation of the target.
    position: int
    run: Run
    #: `succeeded`, `failed` or `stopped`.
    outcome: str
    reason: str


class TargetReport(NamedTuple):
    """The runs of a target, as it reports them."""

    #: Start time of the target in milliseconds since 1970; identifies its
    #: incarnation.
    incarnation: int
    #: Clock of the target when it answered: time since its start, in seconds.
    clock: float
    running: frozenset[Run]
    #: Unconfirmed ends in ascending order of position.
    ends: tuple[RunEnd, ...]


class HoldOrder(NamedTuple):
    """Renews the lease on all runs of a target and requests a report."""

    #: Fencing token; the target refuses the order if it has seen a higher one.
    fencing_token: int
    #: Position up to which the side has received the ends.
    confirmed: int
    #: End of the lease on the target's clock, in seconds; None to renew
    #: nothing.
    lease_until: float | None
    #: Longest time that the target delays the report until a run ends, in
    #: seconds.
    wait: float


class StartOrder(NamedTuple):
    """Asks a target to start a run."""

    run: Run
    payload: bytes
    #: End of the lease on the target's clock, in seconds; the order is refused
    #: if it arrives later.
    lease_until: float
    fencing_token: int


class StartVerdict(NamedTuple):
    """The target's answer to a start."""

    started: bool
    #: Reason of a refusal, or empty.
    reason: str


class FencedError(JackdawridgeError):
    """The target knows a higher fencing token and refused the order."""


class OtherIncarnationError(JackdawridgeError):
    """Another target than the one addressed answers at the address.

    The runs of the addressed one are over if it has answered there before.
    """


class LeasedTarget(Protocol):
    """Orders to a target.

    All raise `NotSentError` if nothing listens at the target's address,
    `FencedError`, `OtherIncarnationError`, or `AnswerLostError` if the order
    may have been carried out or may be carried out later.
    """

    def bind(self, target_id: str) -> None:
        """Address orders to the target with this id; any other refuses them."""

    def task_name(self, task_id: str) -> str:
        """Return the target's name of a task, given its id at the side."""

    async def identify(
        self, target_id: str, fencing_token: int
    ) -> TargetReport:
        """Return a report if the target has this id, without any lease."""

    async def hold(self, order: HoldOrder) -> TargetReport:
        """Renew the lease and return a report of the runs."""

    async def start(self, order: StartOrder) -> StartVerdict:
        """Start a run and return whether the target accepted it."""

    async def stop(self, run: Run, fencing_token: int) -> None:
        """Stop a run, and refuse its start if that arrives later."""
