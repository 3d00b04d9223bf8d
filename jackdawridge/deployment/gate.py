"""Keeps a side from starting anything in a domain out of service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.execution.gate import OpenGate

if TYPE_CHECKING:
    from jackdawridge.deployment.state import DeploymentState


class DeploymentGate(OpenGate):
    """Says whether a side may start tasks.

    :param state: what is in force.
    :param failure_domain: of the side.
    """

    def __init__(self, state: DeploymentState, failure_domain: str) -> None:
        """Keep the state, which others change."""
        self.state = state
        self.failure_domain = failure_domain

    def refusal(self, now: float) -> str:
        """Return why nothing may start, or an empty string.

        :param now: local time in seconds.
        """
        if self.failure_domain in self.state.out:
            return f'failure domain {self.failure_domain!r} is out of service'
        return ''
