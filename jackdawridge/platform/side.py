"""Builds the process of a side on the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from jackdawridge.daemon import Daemon
from jackdawridge.deployment import messages as deployment
from jackdawridge.deployment.gate import DeploymentGate
from jackdawridge.deployment.state import DeploymentState
from jackdawridge.execution import messages as execution
from jackdawridge.execution.component import SideExecution
from jackdawridge.execution.lease_grants import LeaseTiming
from jackdawridge.execution.lease_keeper import LeaseKeeper
from jackdawridge.execution.leased_worker import LeasedWorker
from jackdawridge.execution.run_deadlines import RunDeadlines
from jackdawridge.execution.target_monitor import TargetMonitor
from jackdawridge.listening.listeners import HttpListener
from jackdawridge.membership import messages as membership
from jackdawridge.membership.component import Membership
from jackdawridge.platform.heartbeats import HeartbeatResource
from jackdawridge.platform.minion import MinionClient
from jackdawridge.platform.operators import make_record_follower
from jackdawridge.platform.settings import (
    CLOCK_DRIFT_FRACTION,
    LEASE_RENEWAL_INTERVAL,
)

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.platform.settings import NodeSettings

#: Slices whose messages a side sends and receives on the platform. Loading a
#: schema delays the start, so the others are left out.
SLICES = (deployment, execution, membership)


def make_target_monitor(
    daemon: Daemon, node: NodeSettings, gate: DeploymentGate
) -> TargetMonitor:
    """Return the monitor of the minion and the side's execution component.

    :param daemon: the process.
    :param node: settings of the process, with the minion's address.
    :param gate: decides whether tasks may start at this side.
    """
    timing = LeaseTiming(
        node.worker_lease,
        LEASE_RENEWAL_INTERVAL,
        CLOCK_DRIFT_FRACTION,
        node.stop_time,
        node.max_worker_lease,
    )
    client = MinionClient(daemon.reactor, node.minion_address)
    keeper = LeaseKeeper(daemon.reactor, client, timing)
    starter = SideExecution.from_application(
        daemon.application, daemon.peers, LeasedWorker(keeper), gate
    )
    deadlines = RunDeadlines(starter.state, node.run_end_time)
    keeper.table.leases.find_deadline = deadlines.earliest
    return TargetMonitor(starter, keeper, daemon.peers)


def build(node: NodeSettings, reactor: Any) -> Application:
    """Return the application of a side with all its components.

    :param node: settings of the process, from the platform's file.
    :param reactor: Twisted's reactor.
    """
    daemon = Daemon.from_config(node.settings, reactor, SLICES)
    application = daemon.application
    state = DeploymentState()
    gate = DeploymentGate(state, node.settings.text('failure_domain'))
    gate.listen(application)
    monitor = make_target_monitor(daemon, node, gate)
    daemon.resource.sections['tasks'] = monitor.execution.status
    members = Membership.from_application(
        application, daemon.peers, daemon.connector, 'side_ready'
    )
    members.dial_policy.set_usage(monitor.execution.entry_release)
    daemon.resource.sections['membership'] = members.status
    heartbeats = HeartbeatResource(
        monitor.heartbeat_received, monitor.target_left, reactor
    )
    daemon.add_operator_listener()
    application.add(
        HttpListener(
            reactor,
            node.heartbeat_address,
            heartbeats.routes,
            limits=daemon.input_limits,
        )
    )
    application.add(daemon.connector)
    application.add(members)
    application.add(monitor.execution)
    application.add(
        make_record_follower(reactor, node.store_address, application, state)
    )
    return application
