"""What the configuration says about jobs, applied to their placement."""

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
    """How far the configuration is known."""

    @property
    def position(self) -> int:
        """Return the offset up to which it is known."""

    def age(self) -> float:
        """Return for how long something newer may have existed."""


class NoConfiguration:
    """Stands in where there is no configuration."""

    position = 0

    def age(self) -> float:
        """Return 0."""
        return 0


class ConfiguredJobs:
    """Applies failure domains, teams and agreements to the jobs of an entry.

    :param application: emits `configuration_changed` and `work_ended`.
    :param engine: owns the jobs.
    :param configuration: what is in force.
    """

    def __init__(
        self,
        application: Application,
        engine: JobEngine,
        configuration: Configuration,
    ) -> None:
        """Listen to events."""
        self.engine = engine
        self.configuration = configuration
        self.failure_domains: set[str] = set()
        application.events.connect('configuration_changed', self.changed)
        application.events.connect('work_ended', self.release)

    def changed(self, old: int, new: int) -> None:
        """Apply what is in force, and move queued tasks at once.

        :param old: the position before.
        :param new: the position now.
        """
        placer = self.engine.placer
        now = self.engine.clock.seconds()
        for name in self.named(TEAM):
            team = self.configuration.team(name)
            placer.set_limits(name, TeamLimits(team.weight, team.quota))
        self.failure_domains |= self.named(FAILURE_DOMAIN)
        self.failure_domains |= self.configuration.holds.failure_domains()
        for failure_domain in self.failure_domains:
            placer.domain_changed(
                failure_domain,
                self.configuration.is_in_service(failure_domain),
                now,
            )
        self.engine.place_soon()

    def named(self, kind: str) -> set[str]:
        """Return the names of the records of a kind.

        :param kind: of the records.
        """
        records = self.configuration.state.records
        return {key.name for key in records if key.kind == kind}

    def pin(self, spec: JobSpec) -> Result[JobSpec, str]:
        """Return a job with the version of its agreement, or why not.

        :param spec: as the caller has declared it.
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
        """Note that a job under a version has ended.

        :param spec: that `pin` returned.
        """
        if spec.agreement:
            self.configuration.finish_work(
                spec.agreement, spec.agreement_version
            )
