"""A call that is repeated beside itself while it stays unanswered."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, ensureDeferred

from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from twisted.python.failure import Failure

    from jackdawridge.util.clock import Clock, DelayedCall

logger = get_logger('worker')


class HedgedCall:
    """Calls once more if no answer has come after a delay; the first counts.

    :param clock: reactor that runs the timer.
    :param call: makes the call, which must be idempotent.
    :param is_urgent: returns whether a second call is worth its cost.
    """

    def __init__(
        self,
        clock: Clock,
        call: Callable[[], Coroutine[Any, Any, None]],
        is_urgent: Callable[[], bool],
    ) -> None:
        """Initialise without calling."""
        self.clock = clock
        self.call = call
        self.is_urgent = is_urgent
        self.done: Deferred[None] = Deferred()
        self.timer: DelayedCall | None = None

    def start(self, delay: float) -> Deferred[None]:
        """Make the call; return a `Deferred` that fires with the first answer.

        It fails with the first call, so that a peer which answers nothing is
        found as soon as without a second one.

        :param delay: time before the second call, in seconds.
        """
        self.timer = self.clock.callLater(delay, self.call_again)
        self.make_call()
        return self.done

    def make_call(self) -> None:
        """Make one of the calls."""
        answer = ensureDeferred(self.call())
        answer.addCallbacks(self.call_succeeded, self.call_failed)

    def call_again(self) -> None:
        """Make the second call if it is worth its cost."""
        if self.is_urgent():
            self.make_call()

    def call_succeeded(self, _: None) -> None:
        """Fire, unless another call has succeeded before."""
        if not self.done.called:
            self.cancel_timer()
            self.done.callback(None)

    def call_failed(self, failure: Failure) -> None:
        """Fail, unless a call has been answered before.

        :param failure: error of the call.
        """
        if self.done.called:
            logger.info(failure.getErrorMessage(), step='hedge')
            return
        self.cancel_timer()
        self.done.errback(failure)

    def cancel_timer(self) -> None:
        """Make no second call."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
