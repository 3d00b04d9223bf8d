"""Lets a side follow what its target says of itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.execution.lease_keeper import NOT_TAKEN
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
        self.away = NOT_TAKEN
        keeper.announce = self.announced
        execution.state.closed = NOT_TAKEN

    def announced(self, reason: str) -> None:
        """Take note of whether the target can be called.

        :param reason: why not, or empty.
        """
        self.away = reason
        self.close_or_open()

    def joined(self, news: TargetNews) -> None:
        """Take a heartbeat.

        :param news: of the target.
        """
        before = self.record.current
        if not self.record.take(news):
            return
        is_other = before is None or (
            (before.id, before.incarnation) != (news.id, news.incarnation)
        )
        if is_other or not self.keeper.is_known:
            logger.notice(
                'target has started',
                target=news.id,
                incarnation=news.incarnation,
                cores=news.room.cores,
                memory=news.room.memory,
            )
            self.keeper.target.aim(news.id)
            self.keeper.target_joined(news.incarnation, news.clock)
        if is_other or before is None or before.room != news.room:
            self.resize(news)
        if before is None or before.draining != news.draining:
            self.close_or_open()

    def left(self, target_id: str) -> None:
        """Take note that the target ends.

        :param target_id: of the target.
        """
        if self.record.leave(target_id):
            logger.notice('target has left', target=target_id)
            self.close_or_open()

    def close_or_open(self) -> None:
        """Say at once whether new work is wanted."""
        known = self.record.current
        reason = self.away
        if known is None:
            reason = 'target has left'
        elif known.draining:
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
                self.execution.heartbeats.beat()

    def resize(self, news: TargetNews) -> None:
        """Use the size of the target, and tell the entries of it.

        :param news: of the target.
        """
        self.execution.state.room.resize(news.room)
        peers = self.peers
        peers.introduce_again(
            peers.introduction._replace(
                service=news.service,
                cores=news.room.cores,
                memory=news.room.memory,
                accelerators=news.room.accelerators,
            )
        )
