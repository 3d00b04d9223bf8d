"""What the daemons of both roles share."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from jackdawridge.application import Application
from jackdawridge.membership import messages as membership_messages
from jackdawridge.operations.listeners import HttpListener
from jackdawridge.operations.metrics import make_registry
from jackdawridge.operations.resource import OperatorResource
from jackdawridge.operations.router import Router
from jackdawridge.wire.handshake import Identity
from jackdawridge.wire.peers import Connector, Peers

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from pathlib import Path

    from prometheus_client import CollectorRegistry

    from jackdawridge.config import Settings

_INCARNATION_BYTES = 6


class Slice(Protocol):
    """The module of the messages of one slice, with its constants."""

    #: Schema of the messages.
    SCHEMA: Path  # noqa: WPS115
    #: Messages by their kind number.
    MESSAGES: Mapping[int, type]  # noqa: WPS115


class LinkStatus(NamedTuple):
    """What operators see of the links of a process."""

    open: int
    #: Messages sent, by the name of their type.
    sent: dict[str, int]


class Daemon(NamedTuple):
    """The parts of a process that the slices are wired to."""

    reactor: Any
    application: Application
    peers: Peers
    connector: Connector
    #: Serves operators.
    operators: Router
    registry: CollectorRegistry
    resource: OperatorResource

    @classmethod
    def from_config(
        cls, settings: Settings, reactor: Any, slices: Iterable[Slice]
    ) -> Daemon:
        """Return the parts of a process without any slice.

        :param settings: of the process.
        :param reactor: Twisted's reactor.
        :param slices: whose messages the process speaks.
        """
        incarnation = secrets.token_hex(_INCARNATION_BYTES)
        application = Application(settings, reactor, incarnation)
        for spoken in slices:
            application.codec.register(spoken.SCHEMA, spoken.MESSAGES)
        identity = Identity(
            settings.text('deployment'), settings.text('shared_key')
        )
        peers = Peers(application, identity, introduce(settings, incarnation))
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
        )

    def add_operator_door(self) -> None:
        """Serve operators at the address of the settings."""
        address = self.application.settings.text('operator_address')
        self.application.add(
            HttpListener(self.reactor, address, self.operators)
        )


def introduce(
    settings: Settings, incarnation: str
) -> membership_messages.Introduction:
    """Return what a process says about itself.

    :param settings: of the process.
    :param incarnation: random id of this run.
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
    )
