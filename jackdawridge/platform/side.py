"""Wires a side on the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from jackdawridge.daemon import Daemon
from jackdawridge.deployment import messages as deployment
from jackdawridge.deployment.gate import DeploymentGate
from jackdawridge.deployment.state import DeploymentState
from jackdawridge.execution import messages as execution
from jackdawridge.execution.component import SideExecution
from jackdawridge.execution.lease_keeper import LeaseKeeper
from jackdawridge.execution.leased_worker import LeasedWorker
from jackdawridge.execution.run_table import LeaseTiming
from jackdawridge.execution.target_monitor import TargetMonitor
from jackdawridge.membership import messages as membership
from jackdawridge.membership.component import Membership
from jackdawridge.operations.listeners import HttpListener
from jackdawridge.platform.heartbeats import HeartbeatResource
from jackdawridge.platform.minion import MinionClient
from jackdawridge.platform.operators import follow_operators
from jackdawridge.platform.settings import CLOCK_DRIFT, RENEWAL

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.platform.settings import NodeSettings

#: What a side speaks here; each schema delays its start.
SLICES = (deployment, execution, membership)


def make_watch(
    daemon: Daemon, node: NodeSettings, gate: DeploymentGate
) -> TargetMonitor:
    """Return what follows the minion, with the execution of the side.

    :param daemon: the process.
    :param node: settings of the process.
    :param gate: says whether anything may start here.
    """
    timing = LeaseTiming(
        node.worker_lease, RENEWAL, CLOCK_DRIFT, node.stop_time
    )
    client = MinionClient(daemon.reactor, node.minion_address)
    keeper = LeaseKeeper(daemon.reactor, client, timing)
    starter = SideExecution.from_application(
        daemon.application, daemon.peers, LeasedWorker(keeper), gate
    )
    return TargetMonitor(starter, keeper, daemon.peers)


def build(node: NodeSettings, reactor: Any) -> Application:
    """Return a side that is ready to be started.

    :param node: settings of the process.
    :param reactor: Twisted's reactor.
    """
    daemon = Daemon.from_config(node.settings, reactor, SLICES)
    application = daemon.application
    state = DeploymentState()
    gate = DeploymentGate(state, node.settings.text('failure_domain'))
    gate.listen(application)
    watch = make_watch(daemon, node, gate)
    daemon.resource.sections['tasks'] = watch.execution.status
    members = Membership.from_application(
        application, daemon.peers, daemon.connector, 'side_ready'
    )
    daemon.resource.sections['membership'] = members.status
    heartbeats = HeartbeatResource(watch.heartbeat_received, watch.target_left)
    daemon.add_operator_door()
    application.add(
        HttpListener(reactor, node.heartbeat_address, heartbeats.routes)
    )
    application.add(daemon.connector)
    application.add(members)
    application.add(watch.execution)
    application.add(
        follow_operators(reactor, node.store_address, application, state)
    )
    return application
