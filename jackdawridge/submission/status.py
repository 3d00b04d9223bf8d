"""What operators see of the jobs of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.submission.engine import JobEngine


class EngineStatus(NamedTuple):
    """The jobs and sides of an entry."""

    open_jobs: int
    kept_answers: int
    queued_tasks: int
    #: Starts that were decided, came back refused, and offers of room.
    placed: int
    refused: int
    offered: int
    #: Nodes of the sides that work may be placed at.
    sides: list[str]


def describe_engine(engine: JobEngine) -> EngineStatus:
    """Return the status of the jobs.

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
