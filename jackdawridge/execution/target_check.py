"""Asks the target itself whether a heartbeat is its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import ensureDeferred

from jackdawridge.errors import JackdawridgeError
from jackdawridge.execution.leased_target import (
    FencedError,
    OtherIncarnationError,
)
from jackdawridge.execution.run_table import TOKEN_STEP, first_token
from jackdawridge.logs import get_logger
from jackdawridge.util.clock import pause

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.execution.target_binding import TargetBinding
    from jackdawridge.execution.target_record import TargetHeartbeat
    from jackdawridge.util.clock import Clock

logger = get_logger('target')

#: Wait before the target is asked again after a failure, in seconds.
RETRY_INTERVAL = 0.1
#: Highest number of calls for one heartbeat. The target's next heartbeat comes
#: soon after that.
MAX_CALLS = 15

_STEP = 'heartbeat'


class TargetCheck:
    """Asks the target itself whether a heartbeat is its own.

    A heartbeat may be late, or come from another writer. What the target that
    is in use runs must not depend on it.

    :param clock: reactor that runs the timers.
    :param binding: target in use, which answers under its own id only.
    :param confirmed: called with each heartbeat that the target confirms, and
        the fencing token that it has accepted.
    """

    def __init__(
        self,
        clock: Clock,
        binding: TargetBinding,
        confirmed: Callable[[TargetHeartbeat, int], None],
    ) -> None:
        """Initialise the check without a heartbeat."""
        self.clock = clock
        self.binding = binding
        self.confirmed = confirmed
        #: Heartbeat that was received last; earlier ones are not checked again.
        self.newest: TargetHeartbeat | None = None
        #: Lowest fencing token of the next call: the target has refused all
        #: lower ones.
        self.token = 0

    def begin(self, heartbeat: TargetHeartbeat) -> None:
        """Check a heartbeat, in place of earlier ones.

        :param heartbeat: heartbeat that arrived.
        """
        self.newest = heartbeat
        ensureDeferred(self.check(heartbeat))

    async def check(self, heartbeat: TargetHeartbeat) -> None:
        """Ask the target until it answers or another heartbeat arrives.

        :param heartbeat: heartbeat that arrived.
        """
        self.token = max(
            self.token, first_token(heartbeat.incarnation, heartbeat.clock)
        )
        for _ in range(MAX_CALLS):
            if self.newest is not heartbeat:
                return
            try:
                await self.check_once(heartbeat)
            except FencedError:
                self.token += TOKEN_STEP
            except OtherIncarnationError as error:
                log_refusal(heartbeat, error.message)
                return
            except JackdawridgeError as error:
                logger.info(error.message, step=_STEP, target=heartbeat.id)
                await pause(self.clock, RETRY_INTERVAL)
            else:
                return

    async def check_once(self, heartbeat: TargetHeartbeat) -> None:
        """Ask the target once.

        :param heartbeat: heartbeat that arrived.
        """
        token = self.token
        report = await self.binding.ask(
            self.binding.target.identify(heartbeat.id, token)
        )
        if report.incarnation == heartbeat.incarnation:
            self.confirmed(heartbeat, token)
        else:
            log_refusal(
                heartbeat, f'target is of incarnation {report.incarnation}'
            )


def log_refusal(heartbeat: TargetHeartbeat, reason: str) -> None:
    """Log that a heartbeat is not used.

    :param heartbeat: heartbeat that arrived.
    :param reason: what the target has answered.
    """
    logger.warning(
        'heartbeat is not of the target beside this side',
        step=_STEP,
        target=heartbeat.id,
        incarnation=heartbeat.incarnation,
        service=heartbeat.service,
        reason=reason,
    )
