"""A clock for trials in memory."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class Loop:
    """A clock that jumps to the next timed call."""

    def __init__(self) -> None:
        """Begin at time 0."""
        self.now: float = 0
        self.heap: list[tuple[float, int, Callable[..., None], Any]] = []
        self.sequence = itertools.count()

    def later(
        self, delay: float, call: Callable[..., None], *args: object
    ) -> None:
        """Call a function after a delay.

        :param delay: in seconds.
        :param call: the function.
        :param args: its arguments.
        """
        entry = (self.now + delay, next(self.sequence), call, args)
        heapq.heappush(self.heap, entry)

    def run(self, until: float) -> None:
        """Make all calls up to a time.

        :param until: the time.
        """
        while self.heap and self.heap[0][0] <= until:
            timed = heapq.heappop(self.heap)
            self.now = timed[0]
            timed[2](*timed[3])
