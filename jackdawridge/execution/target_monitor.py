"""Opens and closes a side according to the heartbeats of its target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.execution.lease_keeper import TAKE_OVER_PENDING
from jackdawridge.execution.target_check import TargetCheck, log_refusal
from jackdawridge.execution.target_record import TargetRecord
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from jackdawridge.execution.component import SideExecution
    from jackdawridge.execution.lease_keeper import LeaseKeeper
    from jackdawridge.execution.target_record import TargetHeartbeat
    from jackdawridge.wire.peers import Peers

logger = get_logger('target')


class TargetMonitor:
    """Opens and closes a side according to the heartbeats of its target.

    :param execution: execution component of the side.
    :param keeper: renews the lease at the target.
    :param peers: linked peers of the process, which are sent the target's
        size.
    """

    def __init__(
        self, execution: SideExecution, keeper: LeaseKeeper, peers: Peers
    ) -> None:
        """Initialise without a target; the side is closed."""
        self.execution = execution
        self.keeper = keeper
        self.peers = peers
        self.record = TargetRecord()
        self.check = TargetCheck(
            keeper.clock, keeper.binding, self.heartbeat_confirmed
        )
        #: Reason why the target cannot be called, or empty.
        self.unavailable_reason = TAKE_OVER_PENDING
        keeper.availability_changed = self.target_availability_changed
        execution.state.closed_reason = TAKE_OVER_PENDING

    def target_availability_changed(self, reason: str) -> None:
        """Handle a change of the target's availability.

        :param reason: reason why the target cannot be called, or empty.
        """
        self.unavailable_reason = reason
        self.update_availability()

    def heartbeat_received(self, heartbeat: TargetHeartbeat) -> None:
        """Handle a heartbeat of a target.

        What it says of the target in use is applied. One that names another
        target or incarnation counts once the target has confirmed it.

        :param heartbeat: heartbeat that arrived; a stale one is ignored.
        """
        if self.record.is_stale(heartbeat):
            return
        if not self.keeper.is_joined(heartbeat.id, heartbeat.incarnation):
            self.check.begin(heartbeat)
        elif is_consistent(heartbeat, self.record.current):
            self.apply(heartbeat)
        else:
            log_refusal(heartbeat, 'target has another service')

    def heartbeat_confirmed(
        self, heartbeat: TargetHeartbeat, token: int
    ) -> None:
        """Join the target that has confirmed a heartbeat, and apply that.

        :param heartbeat: heartbeat of the target, now perhaps stale.
        :param token: fencing token that the target has accepted.
        """
        if self.record.is_stale(heartbeat):
            return
        if not self.keeper.is_joined(heartbeat.id, heartbeat.incarnation):
            logger.notice(
                'target has started',
                target=heartbeat.id,
                incarnation=heartbeat.incarnation,
                cores=heartbeat.room.cores,
                memory=heartbeat.room.memory,
            )
            table = self.keeper.table
            table.token = max(table.token, token)
            self.keeper.binding.bind(heartbeat.id)
            self.keeper.target_joined(heartbeat.incarnation, heartbeat.clock)
        self.apply(heartbeat)

    def apply(self, heartbeat: TargetHeartbeat) -> None:
        """Apply the size and the state of the target in use.

        :param heartbeat: newest heartbeat of the target.
        """
        previous = self.record.current
        self.record.update(heartbeat)
        if previous is None or not is_same_worker(previous, heartbeat):
            self.resize(heartbeat)
        if previous is None or previous.draining != heartbeat.draining:
            self.update_availability()

    def target_left(self, target_id: str) -> None:
        """Handle the notice that a target leaves.

        :param target_id: id of the target.
        """
        if self.record.mark_left(target_id):
            logger.notice('target has left', target=target_id)
            self.update_availability()

    def update_availability(self) -> None:
        """Open or close the side; send heartbeats at once if that changes."""
        current = self.record.current
        reason = self.unavailable_reason
        if current is None:
            reason = 'target has left'
        elif current.draining:
            reason = 'target is leaving'
        state = self.execution.state
        if state.closed_reason != reason:
            state.closed_reason = reason
            logger.notice(
                reason or 'target takes work',
                step='admit',
                running=len(state.tasks),
            )
            if self.execution.ready:
                self.execution.heartbeats.send_all()

    def resize(self, heartbeat: TargetHeartbeat) -> None:
        """Apply the size of the target; announce it and its kind to the peers.

        :param heartbeat: heartbeat with the size and the kind.
        """
        self.execution.state.room.resize(heartbeat.room)
        peers = self.peers
        peers.update_introduction(
            peers.introduction._replace(
                service=heartbeat.service,
                cores=heartbeat.room.cores,
                memory=heartbeat.room.memory,
                accelerators=heartbeat.room.accelerators,
                worker_kind=heartbeat.worker_kind,
            )
        )


def is_consistent(
    heartbeat: TargetHeartbeat, current: TargetHeartbeat | None
) -> bool:
    """Return whether a heartbeat names the service of the target in use.

    An incarnation keeps its service.

    :param heartbeat: heartbeat of the incarnation in use.
    :param current: newest heartbeat so far, perhaps of an earlier incarnation.
    """
    if current is None or current.incarnation != heartbeat.incarnation:
        return True
    return current.service == heartbeat.service


def is_same_worker(earlier: TargetHeartbeat, later: TargetHeartbeat) -> bool:
    """Return whether two heartbeats show the same target, size and kind.

    :param earlier: heartbeat that arrived first.
    :param later: heartbeat that arrived after it.
    """
    return (
        earlier.id,
        earlier.incarnation,
        earlier.room,
        earlier.worker_kind,
    ) == (
        later.id,
        later.incarnation,
        later.room,
        later.worker_kind,
    )
