"""The configuration as the other slices see it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from jackdawridge.configuration import values
from jackdawridge.configuration.agreements import OpenWork, Pinned
from jackdawridge.configuration.holds import Holds
from jackdawridge.configuration.records import (
    AGREEMENT,
    FAILURE_DOMAIN,
    LIMITS,
    TEAM,
    Key,
)
from jackdawridge.configuration.state import (
    EMPTY,
    RETIRED,
    SETTLED,
    State,
    status_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

#: Name of the `limits` record that holds for the whole deployment.
DEFAULT_LIMITS = 'default'


class Configuration:
    """What is in force at one process, with a narrow API to read it.

    :param on_change: called with the old and the new position whenever
        another state is in force.
    """

    def __init__(
        self, on_change: Callable[[int, int], object] | None = None
    ) -> None:
        """Start with the empty configuration."""
        self.state = EMPTY
        self.holds = Holds()
        self.open_work = OpenWork()
        self.on_change = on_change

    @property
    def position(self) -> int:
        """Return the offset up to which the configuration is known."""
        return self.state.position

    @property
    def limits(self) -> Mapping[str, float]:
        """Return the limits of the deployment by name."""
        key = Key(LIMITS, DEFAULT_LIMITS)
        return values.read_limits(self.state.current(key))

    def replace(self, state: State) -> bool:
        """Put a state in force unless it is older than the current one.

        :param state: folded from the log.
        :returns: whether it was put in force.
        """
        old = self.position
        if state.position <= old:
            return False
        self.state = state
        self.holds.release_judged(state.verdicts)
        self.changed(old)
        return True

    def changed(self, old: int) -> None:
        """Tell that another state, or another set of holds, is in force.

        :param old: the position before.
        """
        if self.on_change is not None:
            self.on_change(old, self.position)

    def is_in_service(self, failure_domain: str) -> bool:
        """Return whether tasks may start in a failure domain.

        :param failure_domain: its name; one without a record is in service.
        """
        if self.holds.is_held(failure_domain):
            return False
        key = Key(FAILURE_DOMAIN, failure_domain)
        return values.read_in_service(self.state.current(key))

    def team(self, name: str) -> values.Team:
        """Return the quota and weight of a team.

        :param name: of the team.
        """
        return values.read_team(self.state.current(Key(TEAM, name)))

    def admit_agreement(
        self, name: str, version: int | None = None
    ) -> Result[int, str]:
        """Pin work to a version of an agreement and count it.

        Each admission needs a `finish_agreement` when the work has ended.

        :param name: of the agreement.
        :param version: the wanted version, None for the current one.
        :returns: the version, or why the work is not run.
        """
        wanted = version
        if wanted is None:
            wanted = self.state.version(Key(AGREEMENT, name))
        refusal = self.refuse_agreement(name, wanted)
        if refusal:
            return Err(refusal)
        self.open_work.add(Pinned(name, wanted))
        return Ok(wanted)

    def finish_agreement(self, name: str, version: int) -> None:
        """Count work as ended.

        :param name: of the agreement.
        :param version: that `admit_agreement` returned.
        """
        self.open_work.remove(Pinned(name, version))

    def refuse_agreement(self, name: str, version: int) -> str:
        """Return why a version takes no new work, or an empty text.

        :param name: of the agreement.
        :param version: the version.
        """
        versions = self.state.records.get(Key(AGREEMENT, name), ())
        values_by_version = {each.version: each.value for each in versions}
        if values_by_version.get(version) is None:
            return f'agreement {name!r} has no version {version}'
        status = status_of(self.state.records, name, version)
        if status:
            return f'version {version} of agreement {name!r} is {status}'
        return ''

    def is_retired(self, name: str, version: int) -> bool:
        """Return whether a version of an agreement takes no start any more.

        :param name: of the agreement, empty for work without one.
        :param version: the version.
        """
        return status_of(self.state.records, name, version) == RETIRED

    def settled_versions(self) -> list[Pinned]:
        """Return the versions that are settled and not yet retired."""
        return [
            Pinned(key.name, versioned.version)
            for key, versions in self.state.records.items()
            if key.kind == AGREEMENT
            for versioned in versions
            if status_of(self.state.records, key.name, versioned.version)
            == SETTLED
        ]
