"""Decodes what operators have written to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from jackdawridge.deployment.state import CallerLimits, Deployment, Queue
from jackdawridge.logs import get_logger
from jackdawridge.platform.store import RecordFollower, StoreClient

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.deployment.state import DeploymentState
    from jackdawridge.platform.store import Record

logger = get_logger('deployment')

#: Key of the newest configuration.
CONFIGURATION_KEY = 'config'
#: Beginning of the keys of failure domains that are out of service.
EVACUATION_PREFIX = 'evacuate/'

_MILLISECONDS = 1000


class _Route(msgspec.Struct, rename='camel'):
    """A queue of jobs; the platform calls it a route."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1
    target_latency_ms: float = 0
    #: Its content does not matter here: such queues are not served yet.
    advice: msgspec.Raw | None = None


class _Limits(msgspec.Struct, rename='camel'):
    """Bounds on what callers send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Configuration(msgspec.Struct):
    """The newest configuration in full."""

    version: int
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read_configuration(content: bytes) -> Deployment:
    """Return the deployment that a configuration describes.

    :param content: JSON from the store.
    :raises msgspec.MsgspecError: if it is none.
    """
    document = msgspec.json.decode(content, type=_Configuration)
    limits = document.limits
    return Deployment(
        document.version,
        tuple(_queue(route) for route in document.routes),
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / _MILLISECONDS,
            limits.idle_timeout_ms / _MILLISECONDS,
        ),
    )


class OperatorRecords:
    """Puts in force what operators have written.

    Emits `deployment_changed` and `domains_changed`, and `domains_known` when
    nothing is out of service as far as the first records tell.

    :param application: the process.
    :param state: what is in force.
    """

    def __init__(
        self, application: Application, state: DeploymentState
    ) -> None:
        """Begin without records."""
        self.application = application
        self.state = state

    def changed(self, records: dict[str, Record]) -> None:
        """Take the newest records.

        :param records: by key.
        """
        domains = frozenset(
            key.removeprefix(EVACUATION_PREFIX)
            for key in records
            if key.startswith(EVACUATION_PREFIX)
        )
        is_first = not self.state.knows_domains
        changed = self.state.update_out_of_service(domains)
        if changed:
            logger.notice(
                'failure domains change', out=sorted(domains), step='evacuate'
            )
            self.application.events.emit('domains_changed', changed)
        elif is_first:
            self.application.events.emit('domains_known')
        configuration = records.get(CONFIGURATION_KEY)
        if configuration is not None:
            self.configure(configuration)

    def configure(self, record: Record) -> None:
        """Put a configuration in force if it is newer.

        :param record: of the configuration.
        """
        try:
            deployment = read_configuration(record.value)
        except msgspec.MsgspecError as error:
            logger.error(str(error), step='configure', offset=record.offset)
            return
        before = self.state.version
        if self.state.adopt(deployment):
            logger.notice(
                'configuration is in force',
                version=deployment.version,
                before=before,
                queues=len(deployment.queues),
                offset=record.offset,
            )
            self.application.events.emit('deployment_changed')
        elif deployment.version < before:
            logger.warning(
                'older configuration is passed over',
                version=deployment.version,
                before=before,
            )


def follow_operators(
    reactor: Any,
    address: str,
    application: Application,
    state: DeploymentState,
) -> RecordFollower:
    """Return the component that keeps a process up to the operators' word.

    :param reactor: Twisted's reactor.
    :param address: `ip:port` of the store.
    :param application: the process.
    :param state: what is in force.
    """
    records = OperatorRecords(application, state)
    client = StoreClient(reactor, address)
    return RecordFollower(reactor, client, records.changed)


def _queue(route: _Route) -> Queue:
    """Return the queue of a route."""
    return Queue(
        route.name,
        route.host,
        route.path_prefix,
        route.service,
        route.priority,
        route.max_attempts,
        route.stretch,
        route.target_latency_ms / _MILLISECONDS,
        route.advice is not None,
    )
