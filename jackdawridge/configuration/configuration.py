"""The configuration in force at one process and the interface to read it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from jackdawridge.configuration import values
from jackdawridge.configuration.agreements import (
    AgreementVersion,
    OpenWorkCounter,
)
from jackdawridge.configuration.holds import Holds
from jackdawridge.configuration.records import (
    AGREEMENT,
    FAILURE_DOMAIN,
    LIMITS,
    TEAM,
    Key,
)
from jackdawridge.configuration.state import (
    EMPTY_STATE,
    RETIRED,
    SETTLED,
    State,
    settlement_status,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

#: Name of the `limits` record that applies to the whole deployment.
DEFAULT_LIMITS_NAME = 'default'


class Configuration:
    """The configuration in force at one process.

    :param on_change: called with the previous and the current position
        whenever the state or the set of holds changes.
    """

    def __init__(
        self, on_change: Callable[[int, int], object] | None = None
    ) -> None:
        """Initialize with the empty state."""
        self.state = EMPTY_STATE
        self.holds = Holds()
        self.open_work = OpenWorkCounter()
        self.on_change = on_change

    @property
    def position(self) -> int:
        """Return the log offset up to which the configuration is known."""
        return self.state.position

    @property
    def limits(self) -> Mapping[str, float]:
        """Return the limits of the deployment by name."""
        key = Key(LIMITS, DEFAULT_LIMITS_NAME)
        return values.read_limits(self.state.current_value(key))

    def apply_state(self, state: State) -> bool:
        """Put a state in force unless it is not newer than the current one.

        :param state: folded from the log.
        :returns: whether the state was put in force.
        """
        old_position = self.position
        if state.position <= old_position:
            return False
        self.state = state
        self.holds.release_decided(state.verdicts)
        self.notify_change(old_position)
        return True

    def notify_change(self, old_position: int) -> None:
        """Notify the listener that the state or the set of holds has changed.

        :param old_position: the position before the change.
        """
        if self.on_change is not None:
            self.on_change(old_position, self.position)

    def is_in_service(self, failure_domain: str) -> bool:
        """Return whether tasks may start in a failure domain.

        :param failure_domain: name; a domain without a record is in service.
        """
        if self.holds.is_held(failure_domain):
            return False
        key = Key(FAILURE_DOMAIN, failure_domain)
        return values.read_in_service(self.state.current_value(key))

    def team(self, name: str) -> values.Team:
        """Return the quota and weight of a team.

        :param name: name of the team.
        """
        return values.read_team(self.state.current_value(Key(TEAM, name)))

    def admit_work(
        self, name: str, version: int | None = None
    ) -> Result[int, str]:
        """Admit a job under an agreement version and count it.

        Each admission must be followed by one call of `finish_work` when
        the job has ended.

        :param name: name of the agreement.
        :param version: the requested version, None for the current one.
        :returns: the version, or the reason why new work is refused.
        """
        pinned_version = version
        if pinned_version is None:
            pinned_version = self.state.version(Key(AGREEMENT, name))
        refusal = self.work_refusal(name, pinned_version)
        if refusal:
            return Err(refusal)
        self.open_work.add(AgreementVersion(name, pinned_version))
        return Ok(pinned_version)

    def finish_work(self, name: str, version: int) -> None:
        """Stop counting a job that has ended.

        :param name: name of the agreement.
        :param version: the version that `admit_work` returned.
        """
        self.open_work.remove(AgreementVersion(name, version))

    def work_refusal(self, name: str, version: int) -> str:
        """Return why a version accepts no new work, empty if it does.

        :param name: name of the agreement.
        :param version: the version to check.
        """
        versions = self.state.records.get(Key(AGREEMENT, name), ())
        values_by_version = {
            record_version.version: record_version.value
            for record_version in versions
        }
        if values_by_version.get(version) is None:
            return f'agreement {name!r} has no version {version}'
        status = settlement_status(self.state.records, name, version)
        if status:
            return f'version {version} of agreement {name!r} is {status}'
        return ''

    def is_retired(self, name: str, version: int) -> bool:
        """Return whether tasks may no longer start under an agreement version.

        :param name: name of the agreement, empty for work without one.
        :param version: the version to check.
        """
        return settlement_status(self.state.records, name, version) == RETIRED

    def settled_versions(self) -> list[AgreementVersion]:
        """Return the agreement versions that are settled and not retired."""
        return [
            AgreementVersion(key.name, record_version.version)
            for key, versions in self.state.records.items()
            if key.kind == AGREEMENT
            for record_version in versions
            if settlement_status(
                self.state.records, key.name, record_version.version
            )
            == SETTLED
        ]
