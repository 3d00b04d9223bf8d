"""The timing interface of the reactor, which tests replace by a fake."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.task import LoopingCall, deferLater

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred


class DelayedCall(Protocol):
    """A call scheduled by `Clock.callLater`."""

    def active(self) -> bool:
        """Return whether the call is neither made nor cancelled."""

    def cancel(self) -> None:
        """Cancel the call."""


class Clock(Protocol):
    """Twisted's reactor, or `twisted.internet.task.Clock` in tests."""

    def seconds(self) -> float:
        """Return the time in seconds since an arbitrary origin."""

    def callLater(
        self,
        delay: float,
        function: Callable[..., object],
        /,
        *args: object,
    ) -> DelayedCall:
        """Call a function after a delay in seconds."""


def make_loop(clock: Clock, function: Callable[[], object]) -> LoopingCall:
    """Return a loop that is not started yet.

    :param clock: the reactor, or the fake clock of a test.
    :param function: function to call at each interval.
    """
    loop = LoopingCall(function)
    any_clock: Any = clock
    loop.clock = any_clock
    return loop


def pause(clock: Clock, seconds: float) -> Deferred[None]:
    """Return a `Deferred` that fires after a delay.

    :param clock: the reactor, or the fake clock of a test.
    :param seconds: delay in seconds.
    """
    any_clock: Any = clock
    return deferLater(any_clock, seconds)
