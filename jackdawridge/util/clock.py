"""The part of the reactor that tells time, which tests pause and advance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.task import LoopingCall, deferLater

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred


class DelayedCall(Protocol):
    """A call that waits for its time."""

    def active(self) -> bool:
        """Return whether the call is still waiting."""

    def cancel(self) -> None:
        """Give the call up."""


class Clock(Protocol):
    """Twisted's reactor, or `twisted.internet.task.Clock` in tests."""

    def seconds(self) -> float:
        """Return the time in seconds; only differences have a meaning."""

    def callLater(
        self,
        delay: float,
        function: Callable[..., object],
        /,
        *args: object,
    ) -> DelayedCall:
        """Call a function after a delay in seconds."""


def make_loop(clock: Clock, function: Callable[[], object]) -> LoopingCall:
    """Return a loop that runs by a clock; it is not started.

    :param clock: the reactor, or that of a test.
    :param function: called at each interval.
    """
    loop = LoopingCall(function)
    any_clock: Any = clock
    loop.clock = any_clock
    return loop


def pause(clock: Clock, seconds: float) -> Deferred[None]:
    """Return a `Deferred` that fires after a while.

    :param clock: the reactor, or that of a test.
    :param seconds: to wait.
    """
    any_clock: Any = clock
    return deferLater(any_clock, seconds)
