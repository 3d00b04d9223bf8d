"""Gives starts that wait at a side their turn in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.execution.wait_queue import WAIT_TIME

if TYPE_CHECKING:
    from jackdawridge.execution.outcome_sender import OutcomeSender
    from jackdawridge.execution.starter import Starter
    from jackdawridge.execution.state import SideState
    from jackdawridge.util.clock import Clock, DelayedCall


class WaitQueueServer:
    """Serves the line before outcomes are sent, and when time is up.

    :param clock: the reactor.
    :param state: of the side.
    :param starter: hands starts to the worker.
    :param sender: of outcomes.
    """

    def __init__(
        self,
        clock: Clock,
        state: SideState,
        starter: Starter,
        sender: OutcomeSender,
    ) -> None:
        """Serve at each sending of outcomes."""
        self.clock = clock
        self.state = state
        self.starter = starter
        self.sender = sender
        self.timer: DelayedCall | None = None
        sender.before_flush.append(self.serve)

    def serve(self) -> None:
        """Hand starts that waited to the worker, as far as they fit."""
        self.starter.add(self.state.admit_waiting(self.clock.seconds()))
        self.schedule_serving()

    def schedule_serving(self) -> None:
        """Look again before starts have waited too long."""
        is_scheduled = self.timer is not None and self.timer.active()
        if self.state.room.wait_queue.waiters and not is_scheduled:
            self.timer = self.clock.callLater(
                WAIT_TIME / 2, self.sender.flush_soon
            )
