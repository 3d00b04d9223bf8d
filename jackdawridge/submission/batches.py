"""Splits what is placed at one side into batches of bounded size."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from jackdawridge.placement.request import Placement

#: Most bytes of payload in one batch of starts.
MAX_BATCH_BYTES = 1048576
#: Most starts in one batch.
MAX_BATCH_STARTS = 256


def split_batches(
    placements: Sequence[Placement], size_of: Callable[[Placement], int]
) -> Iterator[list[Placement]]:
    """Return placements in parts that fit into one batch each.

    :param placements: for one side, at least one.
    :param size_of: returns the length of a payload in bytes.
    """
    part: list[Placement] = []
    room = MAX_BATCH_BYTES
    for placement in placements:
        size = size_of(placement)
        if part and (size > room or len(part) >= MAX_BATCH_STARTS):
            yield part
            part = []
            room = MAX_BATCH_BYTES
        part.append(placement)
        room -= size
    yield part
