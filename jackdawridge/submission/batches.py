"""Splitting of the starts for one side into batches of bounded size."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from jackdawridge.placement.request import Placement

#: Highest number of payload bytes in a batch of starts, unless a single payload
#: is larger.
MAX_BATCH_BYTES = 1048576
#: Highest number of starts in a batch.
MAX_BATCH_STARTS = 256


def split_batches(
    placements: Sequence[Placement], size_of: Callable[[Placement], int]
) -> Iterator[list[Placement]]:
    """Yield the placements in groups that fit into one batch each.

    :param placements: placements at one side, at least one.
    :param size_of: returns the length of a placement's payload in bytes.
    """
    batch: list[Placement] = []
    free_bytes = MAX_BATCH_BYTES
    for placement in placements:
        size = size_of(placement)
        if batch and (size > free_bytes or len(batch) >= MAX_BATCH_STARTS):
            yield batch
            batch = []
            free_bytes = MAX_BATCH_BYTES
        batch.append(placement)
        free_bytes -= size
    yield batch
