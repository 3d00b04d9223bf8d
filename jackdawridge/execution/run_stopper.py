"""Stops runs at a target that may leave orders unanswered."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from jackdawridge.errors import JackdawridgeError
from jackdawridge.execution.hedged_call import HedgedCall
from jackdawridge.execution.leased_target import FencedError
from jackdawridge.execution.worker import AnswerLostError
from jackdawridge.logs import get_logger
from jackdawridge.util.clock import pause

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.execution.leased_target import LeasedTarget, Run
    from jackdawridge.execution.run_table import RunTable
    from jackdawridge.util.clock import Clock

logger = get_logger('worker')

#: Time without an answer after which a stop is ordered again beside the first
#: order, in seconds. An order is given up much later.
HEDGE_DELAY = 0.02
#: Wait before a stop is ordered again after a failure, in seconds.
RETRY_INTERVAL = 0.01
#: The same at a target that answers no call, whose runs end with the lease.
SILENT_RETRY_INTERVAL = 0.1


class RunStopper:
    """Orders the stop of runs until it is answered.

    :param clock: reactor that runs the timers.
    :param target: target that runs the tasks.
    :param table: runs at the target.
    :param is_answering: returns whether the target answers calls.
    """

    def __init__(
        self,
        clock: Clock,
        target: LeasedTarget,
        table: RunTable,
        is_answering: Callable[[], bool],
    ) -> None:
        """Initialise the stopper without calling the target."""
        self.clock = clock
        self.target = target
        self.table = table
        self.is_answering = is_answering

    async def stop(self, run: Run) -> None:
        """Order the stop of a run until that is answered or the run has ended.

        :param run: run that is not known to have ended.
        """
        is_done = False
        while self.table.may_be_running(run) and not is_done:
            is_done = await self.order_stop(run)

    async def order_stop(self, run: Run) -> bool:
        """Order a stop; return whether it need not be ordered again.

        :param run: run to stop.
        """
        order = HedgedCall(
            self.clock, partial(self.call, run), partial(self.is_urgent, run)
        )
        try:
            await order.start(HEDGE_DELAY)
        except AnswerLostError:
            answers = self.is_answering()
            await pause(
                self.clock,
                RETRY_INTERVAL if answers else SILENT_RETRY_INTERVAL,
            )
            return False
        except FencedError:
            return False
        except JackdawridgeError as error:
            logger.info(error.message, step='stop', run=run.name)
        return True

    async def call(self, run: Run) -> None:
        """Call the target once.

        :param run: run to stop.
        """
        token = self.table.token
        try:
            await self.target.stop(run, token)
        except FencedError:
            self.table.raise_token(token)
            raise

    def is_urgent(self, run: Run) -> bool:
        """Return whether a second call beside the first is worth its cost.

        :param run: run to stop.
        """
        return self.is_answering() and self.table.may_be_running(run)
