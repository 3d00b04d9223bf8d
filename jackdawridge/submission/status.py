"""Status section with the jobs and sides of an entry."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.submission.engine import JobEngine


class InterferingPair(NamedTuple):
    """A kind of task that is slowed down by another kind."""

    kind: str
    neighbour: str
    #: Factor on its run time beside a worker full of the other kind.
    slowdown: float


class EngineStatus(NamedTuple):
    """Jobs and sides of an entry, as operators see them."""

    open_jobs: int
    kept_answers: int
    queued_tasks: int
    #: Number of starts that were placed, of starts that were refused, and of
    #: offers that were received.
    placed: int
    refused: int
    offered: int
    #: Nodes of the sides where tasks may be placed.
    sides: list[str]
    #: Pairs that are kept apart where there is room.
    interfering_pairs: list[InterferingPair]


def engine_status(engine: JobEngine) -> EngineStatus:
    """Return the status section of an engine.

    :param engine: owns the jobs.
    """
    return EngineStatus(
        len(engine.jobs),
        len(engine.answers.kept),
        engine.placer.queues.queued,
        engine.placer.placed,
        engine.placer.refusals,
        engine.placer.offered,
        sorted(
            record.node
            for record in engine.orders.sides.values()
            if record.ready
        ),
        [
            InterferingPair(*pair, round(math.exp(log_slowdown), 3))
            for pair, log_slowdown in engine.placer.separation.pairs().items()
        ],
    )
