"""Applies what is in force to the jobs of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.deployment.state import DeploymentState
    from jackdawridge.submission.engine import JobEngine


class EntryDeployment:
    """Tells an entry's placement which failure domains are in service.

    :param application: emits `domains_changed`.
    :param engine: owns the jobs.
    :param state: what is in force.
    """

    def __init__(
        self,
        application: Application,
        engine: JobEngine,
        state: DeploymentState,
    ) -> None:
        """Listen to events."""
        self.engine = engine
        self.state = state
        application.events.connect('domains_changed', self.domains_changed)

    @property
    def position(self) -> int:
        """Return the version in force."""
        return self.state.version

    def age(self) -> float:
        """Return 0; each side follows the store by itself."""
        return 0

    def domains_changed(self, changed: frozenset[str]) -> None:
        """Stop placing in domains that have left, and begin in others.

        :param changed: names of the failure domains.
        """
        now = self.engine.clock.seconds()
        for name in sorted(changed):
            in_service = name not in self.state.out
            self.engine.placer.domain_changed(name, in_service, now)
        self.engine.place_soon()
