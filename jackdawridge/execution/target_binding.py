"""Which target a side sends its orders to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, succeed

if TYPE_CHECKING:
    from jackdawridge.execution.leased_target import LeasedTarget


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
        #: Number of targets and incarnations joined. A call that began with
        #: a lower number says nothing about the present target.
        self.joins = 0
        self.waiters: list[Deferred[None]] = []

    def bind(self, target_id: str) -> None:
        """Address all further orders to one target.

        :param target_id: id of the target.
        """
        self.target_id = target_id
        self.target.bind(target_id)

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
