"""Decoding of the records that operators write to the store."""

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

#: Key of the record with the newest configuration.
CONFIGURATION_KEY = 'config'
#: Prefix of the keys of records that put a failure domain out of service.
EVACUATION_PREFIX = 'evacuate/'

_MILLISECONDS = 1000


class _Route(msgspec.Struct, rename='camel'):
    """A job queue, which the platform calls a route."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1
    target_latency_ms: float = 0
    #: Settings of an advisor. They are not decoded, since queues that have one
    #: are not supported yet.
    advice: msgspec.Raw = msgspec.Raw()


class _Limits(msgspec.Struct, rename='camel'):
    """Limits on the requests of callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Configuration(msgspec.Struct):
    """Value of the record with the configuration."""

    version: int
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read_configuration(content: bytes) -> Deployment:
    """Return the deployment that a configuration describes.

    :param content: value of the record, as JSON.
    :raises msgspec.MsgspecError: if the content is not a valid configuration.
    """
    document = msgspec.json.decode(content, type=_Configuration)
    limits = document.limits
    return Deployment(
        document.version,
        tuple(_convert_route(route) for route in document.routes),
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / _MILLISECONDS,
            limits.idle_timeout_ms / _MILLISECONDS,
        ),
    )


class OperatorRecords:
    """Applies the records of operators to the state of the deployment.

    Emits `deployment_changed` and `domains_changed`, and `domains_known` if the
    first records put no failure domain out of service.

    :param application: the process, whose events are emitted.
    :param state: the deployment in force; changed.
    """

    def __init__(
        self, application: Application, state: DeploymentState
    ) -> None:
        """Apply nothing until the first records arrive."""
        self.application = application
        self.state = state

    def apply(self, records: dict[str, Record]) -> None:
        """Apply the newest records.

        :param records: all records of the topic, by key.
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
            self.apply_configuration(configuration)

    def apply_configuration(self, record: Record) -> None:
        """Put a configuration in force if it is newer than the current one.

        A configuration that cannot be decoded is logged and ignored.

        :param record: the record with the configuration.
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


def make_record_follower(
    reactor: Any,
    address: str,
    application: Application,
    state: DeploymentState,
) -> RecordFollower:
    """Return the component that follows the records of operators.

    :param reactor: Twisted's reactor.
    :param address: `ip:port` of the store.
    :param application: the process, whose events are emitted.
    :param state: the deployment in force; changed with the records.
    """
    records = OperatorRecords(application, state)
    client = StoreClient(reactor, address)
    return RecordFollower(reactor, client, records.apply)


def _convert_route(route: _Route) -> Queue:
    """Return the queue that a route describes."""
    return Queue(
        route.name,
        route.host,
        route.path_prefix,
        route.service,
        route.priority,
        route.max_attempts,
        route.stretch,
        route.target_latency_ms / _MILLISECONDS,
        bytes(route.advice) not in {b'', b'null'},
    )
