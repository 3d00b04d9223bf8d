"""Admission of task starts at a side by the state of its failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.deployment.messages import DomainsOutOfService
from jackdawridge.execution.gate import OpenGate

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.deployment.state import DeploymentState
    from jackdawridge.wire.peers import Peer


class DeploymentGate(OpenGate):
    """Refuses task starts while the side's failure domain is out of service.

    After a restart, until the side has read the store, it relies on what the
    linked entries report. A domain is out of service if any of them says so.

    :param state: the configuration in force.
    :param failure_domain: the failure domain of the side.
    """

    def __init__(self, state: DeploymentState, failure_domain: str) -> None:
        """Use the given state, which its owner keeps current."""
        self.state = state
        self.failure_domain = failure_domain
        #: Failure domains out of service as reported by each linked entry, by
        #: the entry's incarnation.
        self.reported: dict[str, frozenset[str]] = {}

    def listen(self, application: Application) -> None:
        """Register the handlers for what entries report.

        :param application: the process.
        """
        application.on_message(DomainsOutOfService, self.domains_received)
        application.events.connect('peer_left', self.peer_left)

    def domains_received(
        self, peer: Peer, message: DomainsOutOfService
    ) -> None:
        """Store the failure domains that an entry reports as out of service.

        :param peer: the entry.
        :param message: its report.
        """
        domains = frozenset(message.domains)
        self.reported[peer.introduction.incarnation] = domains

    def peer_left(self, peer: Peer) -> None:
        """Discard the report of an entry whose link was closed.

        :param peer: the peer whose link was closed.
        """
        self.reported.pop(peer.introduction.incarnation, None)

    def refusal(self, now: float) -> str:
        """Return why no task may start, or an empty string if it may.

        :param now: the local time in seconds.
        """
        if self.state.knows_domains:
            is_out_of_service = self.failure_domain in self.state.out_of_service
        elif self.reported:
            is_out_of_service = any(
                self.failure_domain in domains
                for domains in self.reported.values()
            )
        else:
            return 'failure domains out of service are not known yet'
        if is_out_of_service:
            return f'failure domain {self.failure_domain!r} is out of service'
        return ''
