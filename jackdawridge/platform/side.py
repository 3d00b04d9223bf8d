"""Wires a side on the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from jackdawridge.daemon import Daemon
from jackdawridge.deployment.gate import DeploymentGate
from jackdawridge.deployment.state import DeploymentState
from jackdawridge.execution.component import SideExecution
from jackdawridge.execution.lease_keeper import NOT_TAKEN, LeaseKeeper
from jackdawridge.execution.leased_worker import LeasedWorker
from jackdawridge.execution.run_table import LeaseTiming
from jackdawridge.execution.target import TargetRecord
from jackdawridge.logs import get_logger
from jackdawridge.membership.component import Membership
from jackdawridge.operations.listeners import HttpListener
from jackdawridge.operations.router import Router
from jackdawridge.platform.heartbeats import HeartbeatResource
from jackdawridge.platform.minion import MinionClient
from jackdawridge.platform.operators import OperatorRecords
from jackdawridge.platform.settings import CLOCK_DRIFT, RENEWAL
from jackdawridge.platform.store import RecordFollower, StoreClient

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.execution.target import TargetNews
    from jackdawridge.platform.settings import NodeSettings

logger = get_logger('target')


class MinionWatch:
    """Makes the minion's heartbeats known to the side.

    :param daemon: the process.
    :param node: settings of the process.
    :param gate: says whether anything may start here.
    """

    def __init__(
        self, daemon: Daemon, node: NodeSettings, gate: DeploymentGate
    ) -> None:
        """Wire the worker and the execution."""
        self.daemon = daemon
        self.client = MinionClient(daemon.reactor, node.minion_address)
        timing = LeaseTiming(
            node.worker_lease, RENEWAL, CLOCK_DRIFT, node.stop_time
        )
        self.record = TargetRecord()
        #: Why the minion cannot be called, or empty.
        self.away = NOT_TAKEN
        self.keeper = LeaseKeeper(
            daemon.reactor, self.client, timing, self.announced
        )
        self.execution = SideExecution.from_application(
            daemon.application, daemon.peers, LeasedWorker(self.keeper), gate
        )

    def announced(self, reason: str) -> None:
        """Take note of whether the minion can be called.

        :param reason: why not, or empty.
        """
        self.away = reason
        self.close_or_open()

    def joined(self, news: TargetNews) -> None:
        """Take a heartbeat.

        :param news: of the minion.
        """
        before = self.record.current
        if not self.record.take(news):
            return
        is_other = before is None or (
            (before.id, before.incarnation) != (news.id, news.incarnation)
        )
        if is_other:
            logger.notice(
                'target has started',
                target=news.id,
                incarnation=news.incarnation,
                cores=news.room.cores,
                memory=news.room.memory,
            )
            self.client.minion = news.id
            self.keeper.target_joined(news.incarnation, news.clock)
        if is_other or before is None or before.room != news.room:
            self.resize(news)
        if before is None or before.draining != news.draining:
            self.close_or_open()

    def left(self, target_id: str) -> None:
        """Take note that the minion ends.

        :param target_id: of the minion.
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
        """Use the size of the minion, and tell the entries of it.

        :param news: of the minion.
        """
        self.execution.state.room.resize(news.room)
        peers = self.daemon.peers
        peers.introduce_again(
            peers.introduction._replace(
                service=news.service,
                cores=news.room.cores,
                memory=news.room.memory,
                accelerators=news.room.accelerators,
            )
        )


def build(node: NodeSettings, reactor: Any) -> Application:
    """Return a side that is ready to be started.

    :param node: settings of the process.
    :param reactor: Twisted's reactor.
    """
    daemon = Daemon.from_config(node.settings, reactor)
    application = daemon.application
    state = DeploymentState()
    gate = DeploymentGate(state, node.settings.text('failure_domain'))
    watch = MinionWatch(daemon, node, gate)
    daemon.resource.sections['tasks'] = watch.execution.describe
    membership = Membership.from_application(
        application, daemon.peers, daemon.connector, 'side_ready'
    )
    daemon.resource.sections['membership'] = membership.describe
    heartbeats = Router()
    resource = HeartbeatResource(watch.joined, watch.left)
    heartbeats.mount_klein('/v1', resource.app)
    daemon.add_operator_door()
    application.add(HttpListener(reactor, node.heartbeat_address, heartbeats))
    application.add(daemon.connector)
    application.add(membership)
    application.add(watch.execution)
    application.add(
        RecordFollower(
            reactor,
            StoreClient(reactor, node.store_address),
            OperatorRecords(application, state).changed,
        )
    )
    return application
