"""Wires an entry: it takes work from callers and places it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from jackdawridge.configuration.entry import EntryConfiguration
from jackdawridge.daemon import Daemon
from jackdawridge.forwarding.callers import PREFIX
from jackdawridge.forwarding.entry import EntryForwarding
from jackdawridge.forwarding.metrics import ForwardingMetrics
from jackdawridge.forwarding.resource import ServiceResource
from jackdawridge.forwarding.rules import ConfiguredRules
from jackdawridge.forwarding.ticketed import TicketedRequests
from jackdawridge.membership.component import Membership
from jackdawridge.operations.configuration import ConfigurationResource
from jackdawridge.operations.listeners import HttpListener
from jackdawridge.operations.metrics import register_job_metrics
from jackdawridge.operations.router import Router
from jackdawridge.slices import SLICES
from jackdawridge.submission.component import EntrySubmission
from jackdawridge.submission.configured_jobs import ConfiguredJobs
from jackdawridge.submission.resource import JobResource
from jackdawridge.submission.status import engine_status
from jackdawridge.wire.peers import Listener

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.config import Settings


def build_entry(settings: Settings, reactor: Any) -> Application:
    """Return an entry that is ready to be started.

    :param settings: of the entry.
    :param reactor: Twisted's reactor.
    """
    daemon = Daemon.from_config(settings, reactor, SLICES)
    application = daemon.application
    submission = EntrySubmission.from_application(application, daemon.peers)
    callers = Router()
    jobs = JobResource(application, submission.interface, submission.relay)
    for prefix in ('/v1/tickets', '/v1/jobs'):
        callers.mount_klein(prefix, jobs.app)
    forwarding = EntryForwarding.from_application(
        application, daemon.peers, ForwardingMetrics(daemon.registry)
    )
    tickets = TicketedRequests(
        application, forwarding, submission.interface.register, submission.relay
    )
    callers.mount(PREFIX, ServiceResource(application, forwarding, tickets))
    callers.mount('/healthz', daemon.resource.routes)
    register_job_metrics(application.events, daemon.registry, submission.engine)
    daemon.resource.sections['jobs'] = lambda: engine_status(submission.engine)
    # The listeners close last, so that open requests get their answers.
    daemon.add_operator_door()
    application.add(
        HttpListener(
            reactor,
            settings.text('caller_address'),
            callers,
            settings.memory_bytes('body_memory'),
        )
    )
    application.add(
        Listener(reactor, daemon.peers, settings.text('peer_address'))
    )
    application.add(daemon.connector)
    membership = Membership.from_application(
        application, daemon.peers, daemon.connector
    )
    submission.relay.entries = membership
    application.events.connect(
        'member_changed',
        lambda _: submission.engine.placer.entries_changed(
            len(membership.entries()), {}
        ),
    )
    daemon.resource.sections['membership'] = membership.status
    application.add(membership)
    application.add(follow_configuration(daemon, submission, forwarding))
    application.add(submission)
    application.add(forwarding)
    return application


def follow_configuration(
    daemon: Daemon,
    submission: EntrySubmission,
    forwarding: EntryForwarding,
) -> EntryConfiguration:
    """Return the configuration, by which jobs and requests are placed.

    :param daemon: the process.
    :param submission: owns the jobs.
    :param forwarding: passes requests on.
    """
    application = daemon.application
    followed = EntryConfiguration.from_application(application, daemon.reactor)
    submission.engine.orders.configuration = followed
    submission.interface.agreements = ConfiguredJobs(
        application, submission.engine, followed.configuration
    )
    daemon.resource.is_ready = followed.is_ready
    forwarding.use(ConfiguredRules(followed.configuration))
    daemon.operators.mount_klein(
        '/v1/configuration', ConfigurationResource(followed).app
    )
    return followed
