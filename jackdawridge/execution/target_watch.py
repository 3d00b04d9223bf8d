"""Lets a side follow what its target says of itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.execution.lease_keeper import TAKE_OVER_PENDING
from jackdawridge.execution.target import TargetRecord
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from jackdawridge.execution.component import SideExecution
    from jackdawridge.execution.lease_keeper import LeaseKeeper
    from jackdawridge.execution.target import TargetNews
    from jackdawridge.wire.peers import Peers

logger = get_logger('target')


class TargetWatch:
    """Opens and closes a side by the heartbeats of its target.

    :param execution: of the side.
    :param keeper: of the lease at the target.
    :param peers: of the process, which are told the size of the target.
    """

    def __init__(
        self, execution: SideExecution, keeper: LeaseKeeper, peers: Peers
    ) -> None:
        """Begin without a target."""
        self.execution = execution
        self.keeper = keeper
        self.peers = peers
        self.record = TargetRecord()
        #: Why the target cannot be called, or empty.
        self.unavailable_reason = TAKE_OVER_PENDING
        keeper.availability_changed = self.target_availability_changed
        execution.state.closed = TAKE_OVER_PENDING

    def target_availability_changed(self, reason: str) -> None:
        """Take note of whether the target can be called.

        :param reason: why not, or empty.
        """
        self.unavailable_reason = reason
        self.update_availability()

    def joined(self, heartbeat: TargetNews) -> None:
        """Take a heartbeat.

        :param news: of the target.
        """
        previous = self.record.current
        if not self.record.take(heartbeat):
            return
        is_new_incarnation = previous is None or (
            (previous.id, previous.incarnation)
            != (heartbeat.id, heartbeat.incarnation)
        )
        if is_new_incarnation or not self.keeper.is_present:
            logger.notice(
                'target has started',
                target=heartbeat.id,
                incarnation=heartbeat.incarnation,
                cores=heartbeat.room.cores,
                memory=heartbeat.room.memory,
            )
            self.keeper.target.aim(heartbeat.id)
            self.keeper.target_joined(heartbeat.incarnation, heartbeat.clock)
        if (
            is_new_incarnation
            or previous is None
            or previous.room != heartbeat.room
        ):
            self.resize(heartbeat)
        if previous is None or previous.draining != heartbeat.draining:
            self.update_availability()

    def left(self, target_id: str) -> None:
        """Take note that the target ends.

        :param target_id: of the target.
        """
        if self.record.leave(target_id):
            logger.notice('target has left', target=target_id)
            self.update_availability()

    def update_availability(self) -> None:
        """Say at once whether new work is wanted."""
        current = self.record.current
        reason = self.unavailable_reason
        if current is None:
            reason = 'target has left'
        elif current.draining:
            reason = 'target is leaving'
        state = self.execution.state
        if state.closed != reason:
            state.closed = reason
            logger.notice(
                reason or 'target takes work',
                step='admit',
                running=len(state.tasks),
            )
            if self.execution.ready:
                self.execution.heartbeats.send_all()

    def resize(self, heartbeat: TargetNews) -> None:
        """Use the size of the target, and tell the entries of it.

        :param news: of the target.
        """
        self.execution.state.room.resize(heartbeat.room)
        peers = self.peers
        peers.introduce_again(
            peers.introduction._replace(
                service=heartbeat.service,
                cores=heartbeat.room.cores,
                memory=heartbeat.room.memory,
                accelerators=heartbeat.room.accelerators,
            )
        )
