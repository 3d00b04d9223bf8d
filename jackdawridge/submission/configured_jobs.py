"""Application of the configuration to the jobs of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from result import Err, Ok, Result

from jackdawridge.configuration.records import FAILURE_DOMAIN, TEAM
from jackdawridge.placement.queues import TeamLimits

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.configuration.configuration import Configuration
    from jackdawridge.submission.engine import JobEngine
    from jackdawridge.submission.jobs import JobSpec


class KnownConfiguration(Protocol):
    """Tells how far the configuration is known."""

    @property
    def position(self) -> int:
        """Return the log offset up to which the configuration is known."""

    def age(self) -> float:
        """Return for how many seconds a newer one may have existed."""


class NoConfiguration:
    """Replaces the configuration at entries that follow none."""

    position = 0

    def age(self) -> float:
        """Return 0."""
        return 0


class ConfiguredJobs:
    """Applies failure domains, teams and agreements to the jobs of an entry.

    :param application: emits `configuration_changed` and `work_ended`.
    :param engine: owns the jobs.
    :param configuration: configuration in force.
    """

    def __init__(
        self,
        application: Application,
        engine: JobEngine,
        configuration: Configuration,
    ) -> None:
        """Register the event handlers."""
        self.engine = engine
        self.configuration = configuration
        self.failure_domains: set[str] = set()
        application.events.connect(
            'configuration_changed', self.configuration_changed
        )
        application.events.connect('work_ended', self.release)

    def configuration_changed(self, old: int, new: int) -> None:
        """Apply the configuration in force and place queued tasks again.

        :param old: offset of the previous configuration.
        :param new: offset of the configuration in force.
        """
        placer = self.engine.placer
        now = self.engine.clock.seconds()
        for name in self.record_names(TEAM):
            team = self.configuration.team(name)
            placer.set_limits(name, TeamLimits(team.weight, team.quota))
        self.failure_domains |= self.record_names(FAILURE_DOMAIN)
        self.failure_domains |= self.configuration.holds.failure_domains()
        for failure_domain in self.failure_domains:
            placer.domain_changed(
                failure_domain,
                self.configuration.is_in_service(failure_domain),
                now,
            )
        self.engine.place_soon()

    def record_names(self, kind: str) -> set[str]:
        """Return the names of all records of a kind.

        :param kind: kind of the records.
        """
        records = self.configuration.state.records
        return {key.name for key in records if key.kind == kind}

    def pin(self, spec: JobSpec) -> Result[JobSpec, str]:
        """Return a job with its agreement version, or why it is refused.

        :param spec: job as the caller has declared it.
        """
        if not spec.agreement:
            return Ok(spec)
        admitted = self.configuration.admit_work(
            spec.agreement, spec.agreement_version or None
        )
        if isinstance(admitted, Err):
            return admitted
        return Ok(spec._replace(agreement_version=admitted.ok_value))

    def release(self, spec: JobSpec) -> None:
        """Stop counting a job under the version that it was pinned to.

        :param spec: job that `pin` has returned.
        """
        if spec.agreement:
            self.configuration.finish_work(
                spec.agreement, spec.agreement_version
            )
