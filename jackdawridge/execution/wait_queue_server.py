"""Admits or refuses queued starts in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.execution.wait_queue import MAX_WAIT_TIME

if TYPE_CHECKING:
    from jackdawridge.execution.outcome_sender import OutcomeSender
    from jackdawridge.execution.starter import Starter
    from jackdawridge.execution.state import SideState
    from jackdawridge.util.clock import Clock, DelayedCall


#: Delay in seconds that makes the first start overdue when the timer fires,
#: whatever the rounding.
TIMER_MARGIN = 0.001


class WaitQueueServer:
    """Serves the wait queue before each flush of outcomes, and on a timer.

    :param clock: reactor that runs the timer.
    :param state: state of the side, with the queue.
    :param starter: hands admitted starts to the worker.
    :param sender: sends outcomes.
    """

    def __init__(
        self,
        clock: Clock,
        state: SideState,
        starter: Starter,
        sender: OutcomeSender,
    ) -> None:
        """Register for each flush of outcomes."""
        self.clock = clock
        self.state = state
        self.starter = starter
        self.sender = sender
        self.timer: DelayedCall | None = None
        sender.before_flush.append(self.serve)

    def serve(self) -> None:
        """Hand queued starts to the worker, as far as they fit."""
        self.starter.add(self.state.admit_waiting(self.clock.seconds()))
        self.schedule_serving()

    def schedule_serving(self) -> None:
        """Schedule a flush before queued starts have waited too long."""
        is_scheduled = self.timer is not None and self.timer.active()
        waiters = self.state.room.wait_queue.waiters
        if waiters and not is_scheduled:
            waited = self.clock.seconds() - waiters[0].waiting_since
            self.timer = self.clock.callLater(
                max(MAX_WAIT_TIME - waited, 0) + TIMER_MARGIN,
                self.sender.flush_soon,
            )
