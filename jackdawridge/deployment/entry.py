"""Application of the configuration in force to the jobs of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.deployment.messages import DomainsOutOfService

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.deployment.state import DeploymentState
    from jackdawridge.submission.engine import JobEngine
    from jackdawridge.wire.peers import Peer, Peers


class EntryDeployment:
    """Passes the failure domains out of service to the placer and to sides.

    :param application: the process.
    :param engine: owns the jobs and their placer.
    :param state: the configuration in force.
    :param peers: the links of this process.
    """

    def __init__(
        self,
        application: Application,
        engine: JobEngine,
        state: DeploymentState,
        peers: Peers,
    ) -> None:
        """Register the event handlers."""
        self.engine = engine
        self.state = state
        self.peers = peers
        application.events.connect('domains_changed', self.domains_changed)
        application.events.connect('domains_known', self.send_domains)
        application.events.connect('peer_joined', self.peer_joined)

    @property
    def position(self) -> int:
        """Return the version in force."""
        return self.state.version

    def age(self) -> float:
        """Return 0, as each side follows the store itself."""
        return 0

    def peer_joined(self, peer: Peer) -> None:
        """Send a new side the domains out of service before any task start.

        :param peer: the peer whose link was opened.
        """
        if peer.introduction.role == 'side' and self.state.knows_domains:
            peer.send(self.domains_message())

    def send_domains(self) -> None:
        """Send all sides the failure domains out of service."""
        message = self.domains_message()
        for side in self.peers.of_role('side'):
            side.send(message)

    def domains_message(self) -> DomainsOutOfService:
        """Return the failure domains out of service as a message."""
        return DomainsOutOfService(tuple(sorted(self.state.out_of_service)))

    def domains_changed(self, changed: frozenset[str]) -> None:
        """Update the placer and the sides and schedule a placement pass.

        Nothing is placed in a domain that went out of service; a domain that
        came back takes tasks again.

        :param changed: names of the failure domains.
        """
        now = self.engine.clock.seconds()
        for name in sorted(changed):
            in_service = name not in self.state.out_of_service
            self.engine.placer.domain_changed(name, in_service, now)
        self.send_domains()
        self.engine.place_soon()
