"""Builds the process of an entry on the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from jackdawridge.coordination import messages as coordination
from jackdawridge.coordination.component import Coordination
from jackdawridge.daemon import Daemon
from jackdawridge.deployment import messages as deployment
from jackdawridge.deployment.entry import EntryDeployment
from jackdawridge.deployment.state import DeploymentState
from jackdawridge.execution import messages as execution
from jackdawridge.listening.listeners import HttpListener
from jackdawridge.membership import messages as membership
from jackdawridge.membership.component import Membership
from jackdawridge.operations.metrics import (
    CallerMetrics,
    register_coordination_metrics,
    register_job_metrics,
)
from jackdawridge.platform.callers import CallerResource, ReadinessResource
from jackdawridge.platform.operators import make_record_follower
from jackdawridge.submission.attended import AttendedJobs
from jackdawridge.submission.backlog import InputBacklog
from jackdawridge.submission.component import EntrySubmission
from jackdawridge.submission.status import engine_status
from jackdawridge.wire.peers import Listener

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.listening.input_limits import InputLimits
    from jackdawridge.platform.settings import NodeSettings
    from jackdawridge.submission.engine import JobEngine

#: Slices whose messages an entry sends and receives on the platform. Loading a
#: schema delays the start, so the others are left out.
SLICES = (coordination, deployment, execution, membership)


def build(node: NodeSettings, reactor: Any) -> Application:
    """Return the application of an entry with all its components.

    :param node: settings of the process, from the platform's file.
    :param reactor: Twisted's reactor.
    """
    daemon = Daemon.from_config(node.settings, reactor, SLICES)
    application = daemon.application
    submission = EntrySubmission.from_application(application, daemon.peers)
    engine = submission.engine
    state = DeploymentState()
    engine.orders.configuration = EntryDeployment(
        application, engine, state, daemon.peers
    )
    backlog = InputBacklog(application)
    engine.backlog = backlog
    jobs = AttendedJobs(application, engine, daemon.peers.introduction.address)
    register_job_metrics(application.events, daemon.registry, engine)
    application.events.connect(
        'attended_job_ended', CallerMetrics(daemon.registry).count
    )
    daemon.resource.sections['jobs'] = lambda: engine_status(engine)

    def is_ready() -> bool:  # noqa: WPS430
        return (
            state.current is not None
            and not application.draining
            and bool(engine.placer.sides)
        )

    daemon.resource.is_ready = is_ready
    callers = make_caller_listener(
        node,
        CallerResource(application, state, jobs),
        backlog,
        daemon.input_limits,
    )
    add_listeners(daemon, node, callers)
    members = Membership.from_application(
        application, daemon.peers, daemon.connector
    )
    submission.relay.entries = members
    daemon.resource.sections['membership'] = members.status
    application.add(backlog)
    application.add(members)
    add_coordination(daemon, engine, members)
    application.add(submission)
    application.add(
        make_record_follower(reactor, node.store_address, application, state)
    )
    # Added last and so stopped first: the other components drain once no more
    # jobs are accepted.
    application.add(jobs)
    return application


def add_coordination(
    daemon: Daemon, engine: JobEngine, members: Membership
) -> None:
    """Add the component that delegates decisions, with its status section.

    :param daemon: the process.
    :param engine: owns the jobs.
    :param members: lists the other entries.
    """
    coordination_component = Coordination(
        daemon.application, daemon.peers, engine, members
    )
    daemon.resource.sections['coordination'] = coordination_component.status
    register_coordination_metrics(
        daemon.registry, coordination_component.status
    )
    daemon.application.add(coordination_component)


def make_caller_listener(
    node: NodeSettings,
    callers: CallerResource,
    backlog: InputBacklog,
    limits: InputLimits,
) -> HttpListener:
    """Return the listener for callers, which knows how old requests may be.

    :param node: settings of the process, with the addresses.
    :param callers: resource that serves the callers.
    :param backlog: watches for pauses of the process.
    :param limits: limits that the listeners share.
    """
    listener = HttpListener(
        backlog.clock,
        node.caller_address,
        callers.routes,
        node.settings.memory_bytes('body_memory'),
        limits,
    )
    listener.sent_after = backlog.sent_after
    listener.input_read = backlog.input_read
    return listener


def add_listeners(
    daemon: Daemon, node: NodeSettings, callers: HttpListener
) -> None:
    """Add the listeners for operators, the platform, callers and peers.

    They are added first and so stopped last, which lets open requests get
    their answers.

    :param daemon: the process.
    :param node: settings of the process, with the addresses.
    :param callers: listener for the callers.
    """
    application = daemon.application
    readiness = ReadinessResource(daemon.resource.is_ready)
    daemon.add_operator_listener()
    application.add(
        HttpListener(
            daemon.reactor,
            node.readiness_address,
            readiness.routes,
            limits=daemon.input_limits,
        )
    )
    application.add(callers)
    application.add(
        Listener(
            daemon.reactor, daemon.peers, node.settings.text('peer_address')
        )
    )
    application.add(daemon.connector)
