"""Applies what is in force to the jobs of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.deployment.messages import DomainsOut

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.deployment.state import DeploymentState
    from jackdawridge.submission.engine import JobEngine
    from jackdawridge.wire.peers import Peer, Peers


class EntryDeployment:
    """Tells placement and sides which failure domains are in service.

    :param application: the process.
    :param engine: owns the jobs.
    :param state: what is in force.
    :param peers: of the process.
    """

    def __init__(
        self,
        application: Application,
        engine: JobEngine,
        state: DeploymentState,
        peers: Peers,
    ) -> None:
        """Listen to events."""
        self.engine = engine
        self.state = state
        self.peers = peers
        application.events.connect('domains_changed', self.domains_changed)
        application.events.connect('domains_known', self.tell_sides)
        application.events.connect('peer_joined', self.peer_joined)

    @property
    def position(self) -> int:
        """Return the version in force."""
        return self.state.version

    def age(self) -> float:
        """Return 0; each side follows the store by itself."""
        return 0

    def peer_joined(self, peer: Peer) -> None:
        """Tell a side that has been linked, before it is sent any start.

        :param peer: any peer.
        """
        if peer.introduction.role == 'side' and self.state.knows_domains:
            peer.send(self.word())

    def tell_sides(self) -> None:
        """Tell all sides what this entry knows."""
        message = self.word()
        for side in self.peers.of_role('side'):
            side.send(message)

    def word(self) -> DomainsOut:
        """Return what this entry knows to be out of service."""
        return DomainsOut(tuple(sorted(self.state.out)))

    def domains_changed(self, changed: frozenset[str]) -> None:
        """Stop placing in domains that have left, and begin in others.

        :param changed: names of the failure domains.
        """
        now = self.engine.clock.seconds()
        for name in sorted(changed):
            in_service = name not in self.state.out
            self.engine.placer.domain_changed(name, in_service, now)
        self.tell_sides()
        self.engine.place_soon()
