"""Which target a side sends its orders to."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from twisted.internet.defer import Deferred, succeed

from jackdawridge.errors import JackdawridgeError
from jackdawridge.execution.worker import AnswerLostError

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from jackdawridge.execution.leased_target import LeasedTarget

_Answer = TypeVar('_Answer')


class EarlierTargetError(AnswerLostError):
    """Another target or incarnation was joined while a call had no answer."""


class TargetBinding:
    """Addresses the orders of a side to one target.

    :param target: sends the orders.
    """

    def __init__(self, target: LeasedTarget) -> None:
        """Start without a target."""
        self.target = target
        #: Id of the target that is used or was used last.
        self.target_id = ''
        #: Whether the target is present, as far as is known.
        self.is_present = False
        #: Number of targets and incarnations joined.
        self.joins = 0
        self.waiters: list[Deferred[None]] = []

    def bind(self, target_id: str) -> None:
        """Address all further orders to one target.

        :param target_id: id of the target.
        """
        self.target_id = target_id
        self.target.bind(target_id)

    async def ask(self, call: Awaitable[_Answer]) -> _Answer:
        """Make a call whose outcome says something about the target in use.

        :param call: call to the target, not made before.
        :raises EarlierTargetError: if another target or incarnation was joined
            meanwhile, of which the outcome says nothing.
        """
        joins = self.joins
        try:
            answer = await call
        except JackdawridgeError as error:
            self.require_unchanged(joins, error)
            raise
        self.require_unchanged(joins)
        return answer

    def require_unchanged(
        self, joins: int, cause: JackdawridgeError | None = None
    ) -> None:
        """Raise an error if a target or an incarnation was joined.

        :param joins: number of those joined before the call.
        :param cause: error of the call, if it failed.
        :raises EarlierTargetError: if there are more now.
        """
        if joins != self.joins:
            raise EarlierTargetError(
                'answer is of an earlier target', step='ask'
            ) from cause

    def target_joined(self) -> None:
        """Record that the target is present."""
        self.is_present = True
        self.joins += 1
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            waiter.callback(None)

    def wait_until_present(self) -> Deferred[None]:
        """Return a `Deferred` that fires once the target is present."""
        if self.is_present:
            return succeed(None)
        waiter: Deferred[None] = Deferred()
        self.waiters.append(waiter)
        return waiter
