"""Assembly of a side, which starts tasks on the worker beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from jackdawridge.configuration.side import SideConfiguration
from jackdawridge.daemon import Daemon
from jackdawridge.execution.component import SideExecution
from jackdawridge.execution.http_worker import HttpWorker
from jackdawridge.forwarding.side import SideForwarding
from jackdawridge.membership.component import Membership
from jackdawridge.operations.side_configuration import (
    SideConfigurationResource,
)
from jackdawridge.slices import SLICES

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.config import Settings


def build_side(settings: Settings, reactor: Any) -> Application:
    """Return a side with all its components, not started yet.

    :param settings: settings of the side.
    :param reactor: Twisted's reactor.
    """
    daemon = Daemon.from_config(settings, reactor, SLICES)
    application = daemon.application
    worker = HttpWorker.from_config(reactor, settings.text('worker'))
    configuration = SideConfiguration.from_application(application)
    daemon.operators.mount_klein(
        '/v1/configuration', SideConfigurationResource(configuration).app
    )
    execution = SideExecution.from_application(
        application, daemon.peers, worker, configuration
    )
    daemon.resource.sections['tasks'] = execution.status
    # A side joins once it knows which tasks its worker runs.
    membership = Membership.from_application(
        application, daemon.peers, daemon.connector, 'side_ready'
    )
    membership.dial_policy.set_usage(execution.entry_release)
    daemon.add_operator_listener()
    application.add(daemon.connector)
    daemon.resource.sections['membership'] = membership.status
    application.add(membership)
    application.add(execution)
    if settings.text('minion'):
        application.add(
            SideForwarding.from_application(
                application, daemon.peers, reactor, configuration
            )
        )
    return application
