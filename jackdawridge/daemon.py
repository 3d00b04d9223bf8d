"""The parts that processes of all roles have in common."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from jackdawridge.application import Application
from jackdawridge.listening.input_limits import InputLimits
from jackdawridge.listening.listeners import HttpListener
from jackdawridge.listening.router import Router
from jackdawridge.membership import messages as membership_messages
from jackdawridge.operations.metrics import make_registry
from jackdawridge.operations.operator_resource import OperatorResource
from jackdawridge.wire.handshake import Credentials
from jackdawridge.wire.peers import Connector, Peers

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from pathlib import Path

    from prometheus_client import CollectorRegistry

    from jackdawridge.config import Settings

_INCARNATION_BYTES = 6


class Slice(Protocol):
    """The module that defines the messages of one slice of the system.

    A slice is a package that implements one function in all roles, such as
    `jackdawridge.membership`.
    """

    #: Cap'n Proto schema of the messages.
    SCHEMA: Path  # noqa: WPS115
    #: Message types by kind number.
    MESSAGES: Mapping[int, type]  # noqa: WPS115


class LinkStatus(NamedTuple):
    """Status section about the links of a process."""

    #: Number of linked peers.
    open: int
    #: Number of messages sent, by the name of their type.
    sent: dict[str, int]


class Daemon(NamedTuple):
    """The parts of a process to which its slices are connected."""

    reactor: Any
    application: Application
    peers: Peers
    connector: Connector
    #: Routes of the operators' address.
    operators: Router
    #: Registry of the metrics.
    registry: CollectorRegistry
    #: Serves the health, the metrics and the status of the process.
    resource: OperatorResource
    #: Limits that the listeners share.
    input_limits: InputLimits

    @classmethod
    def from_config(
        cls, settings: Settings, reactor: Any, slices: Iterable[Slice]
    ) -> Daemon:
        """Return the parts of a process to which no slice is connected yet.

        :param settings: settings of the process.
        :param reactor: Twisted's reactor.
        :param slices: slices whose messages the process exchanges.
        """
        incarnation = secrets.token_hex(_INCARNATION_BYTES)
        application = Application(settings, reactor, incarnation)
        for messages in slices:
            application.codec.register(messages.SCHEMA, messages.MESSAGES)
        credentials = Credentials(
            settings.text('deployment'), settings.text('shared_key')
        )
        peers = Peers(
            application, credentials, make_introduction(settings, incarnation)
        )
        peers.context.frame_delay = settings.number('link_delay')
        registry = make_registry()
        resource = OperatorResource(application, registry)
        resource.sections['links'] = lambda: LinkStatus(
            len(peers.by_link), dict(peers.context.sent)
        )
        operators = Router()
        for prefix in ('/healthz', '/metrics', '/v1/status'):
            operators.mount(prefix, resource.routes)
        return cls(
            reactor,
            application,
            peers,
            Connector(reactor, peers, incarnation),
            operators,
            registry,
            resource,
            InputLimits.from_config(settings, registry, reactor),
        )

    def add_operator_listener(self) -> None:
        """Add a listener for operators at `operator_address`."""
        address = self.application.settings.text('operator_address')
        listener = HttpListener(
            self.reactor, address, self.operators, limits=self.input_limits
        )
        listener.serves_in_turns = True
        self.application.add(listener)


def make_introduction(
    settings: Settings, incarnation: str
) -> membership_messages.Introduction:
    """Return the introduction that a process sends to its peers.

    :param settings: settings of the process.
    :param incarnation: random id of this run of the process.
    """
    is_entry = settings.role == 'entry'
    return membership_messages.Introduction(
        settings.role,
        settings.text('node'),
        incarnation,
        settings.text('failure_domain'),
        settings.text('peer_address') if is_entry else '',
        '' if is_entry else settings.text('service'),
        0 if is_entry else settings.number('cores'),
        0 if is_entry else settings.number('memory'),
        0 if is_entry else settings.integer('accelerators'),
        0 if is_entry else settings.integer('minion_slots'),
        capacity=settings.number('entry_capacity') if is_entry else 0,
    )
