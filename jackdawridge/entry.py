"""Assembly of an entry, which accepts work from callers and places it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from jackdawridge.configuration.entry import EntryConfiguration
from jackdawridge.daemon import Daemon
from jackdawridge.forwarding.caller_requests import SERVICES_PREFIX
from jackdawridge.forwarding.entry import EntryForwarding
from jackdawridge.forwarding.metrics import ForwardingMetrics
from jackdawridge.forwarding.resource import ServiceResource
from jackdawridge.forwarding.rules import ConfiguredRules
from jackdawridge.forwarding.ticketed import TicketedRequests
from jackdawridge.listening.listeners import HttpListener
from jackdawridge.listening.router import Router
from jackdawridge.membership.component import Membership
from jackdawridge.operations.configuration import ConfigurationResource
from jackdawridge.operations.metrics import register_job_metrics
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
    """Return an entry with all its components, not started yet.

    :param settings: settings of the entry.
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
    callers.mount(
        SERVICES_PREFIX, ServiceResource(application, forwarding, tickets)
    )
    callers.mount('/healthz', daemon.resource.routes)
    register_job_metrics(application.events, daemon.registry, submission.engine)
    daemon.resource.sections['jobs'] = lambda: engine_status(submission.engine)
    # Components stop in reverse order: the listeners are added first and
    # close last, so that open requests are answered.
    daemon.add_operator_listener()
    application.add(
        HttpListener(
            reactor,
            settings.text('caller_address'),
            callers,
            settings.memory_bytes('body_memory'),
            daemon.input_limits,
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
    application.add(build_configuration(daemon, submission, forwarding))
    application.add(submission)
    application.add(forwarding)
    return application


def build_configuration(
    daemon: Daemon,
    submission: EntrySubmission,
    forwarding: EntryForwarding,
) -> EntryConfiguration:
    """Return the configuration of an entry, connected to the other components.

    :param daemon: common parts of the entry.
    :param submission: places jobs according to the configuration.
    :param forwarding: forwards requests according to the configuration.
    """
    application = daemon.application
    configuration = EntryConfiguration.from_application(
        application, daemon.reactor
    )
    submission.engine.orders.configuration = configuration
    submission.interface.agreements = ConfiguredJobs(
        application, submission.engine, configuration.configuration
    )
    daemon.resource.is_ready = configuration.is_ready
    forwarding.follow_rules(ConfiguredRules(configuration.configuration))
    daemon.operators.mount_klein(
        '/v1/configuration', ConfigurationResource(configuration).app
    )
    return configuration
