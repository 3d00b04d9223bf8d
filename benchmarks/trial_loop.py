"""The event loop of the simulation."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class EventLoop:
    """Makes scheduled calls in order, advancing a simulated clock to each."""

    def __init__(self) -> None:
        """Start the clock at 0 without scheduled calls."""
        self.now: float = 0
        self.scheduled_calls: list[
            tuple[float, int, Callable[..., None], Any]
        ] = []
        self.sequence = itertools.count()

    def call_later(
        self, delay: float, call: Callable[..., None], *args: object
    ) -> None:
        """Schedule a call of a function.

        :param delay: simulated delay, in seconds.
        :param call: function to call.
        :param args: arguments of the call.
        """
        scheduled = (self.now + delay, next(self.sequence), call, args)
        heapq.heappush(self.scheduled_calls, scheduled)

    def run(self, until: float) -> None:
        """Make all calls that are scheduled up to a time.

        :param until: simulated time, in seconds.
        """
        while self.scheduled_calls and self.scheduled_calls[0][0] <= until:
            scheduled = heapq.heappop(self.scheduled_calls)
            self.now = scheduled[0]
            scheduled[2](*scheduled[3])
