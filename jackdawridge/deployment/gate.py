"""Keeps a side from starting anything in a domain out of service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.deployment.messages import DomainsOut
from jackdawridge.execution.gate import OpenGate

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.deployment.state import DeploymentState
    from jackdawridge.wire.peers import Peer


class DeploymentGate(OpenGate):
    """Says whether a side may start tasks.

    A side that has started anew, and has not read the store yet, goes by what
    the linked entries know; what one of them has out of service is out.

    :param state: what is in force.
    :param failure_domain: of the side.
    """

    def __init__(self, state: DeploymentState, failure_domain: str) -> None:
        """Keep the state, which others change."""
        self.state = state
        self.failure_domain = failure_domain
        #: Failure domains out of service by the word of each linked entry.
        self.told: dict[str, frozenset[str]] = {}

    def listen(self, application: Application) -> None:
        """Hear what the entries know.

        :param application: the process.
        """
        application.on_message(DomainsOut, self.domains_told)
        application.events.connect('peer_left', self.peer_left)

    def domains_told(self, peer: Peer, message: DomainsOut) -> None:
        """Take the word of an entry.

        :param peer: the entry.
        :param message: from it.
        """
        domains = frozenset(message.domains)
        self.told[peer.introduction.incarnation] = domains

    def peer_left(self, peer: Peer) -> None:
        """Forget the word of an entry that is not linked any more.

        :param peer: any peer.
        """
        self.told.pop(peer.introduction.incarnation, None)

    def refusal(self, now: float) -> str:
        """Return why nothing may start, or an empty string.

        :param now: local time in seconds.
        """
        if self.state.knows_domains:
            is_out = self.failure_domain in self.state.out
        elif self.told:
            is_out = any(
                self.failure_domain in domains for domains in self.told.values()
            )
        else:
            return 'not known yet which failure domains are out of service'
        if is_out:
            return f'failure domain {self.failure_domain!r} is out of service'
        return ''
