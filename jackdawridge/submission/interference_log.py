"""Logs the kinds of tasks that are found to slow each other down."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.placement.interference import PairChange

logger = get_logger('interference')


def log_pair_changes(changes: Iterable[PairChange]) -> None:
    """Log pairs of kinds that were found or forgotten.

    :param changes: changes since the last call, with what they follow from.
    """
    for change in changes:
        step = 'pair found' if change.is_found else 'pair forgotten'
        logger.info(
            step,
            step=step,
            kind=change.pair.kind,
            neighbour=change.pair.neighbour,
            slowdown=round(change.slowdown, 3),
            score=round(change.score, 2),
            samples=round(change.samples),
        )
