"""Status section with the jobs and sides of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.submission.engine import JobEngine


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
    )
