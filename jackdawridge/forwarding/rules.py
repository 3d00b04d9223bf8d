"""The configuration as forwarding reads it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.configuration.records import SERVICE, Key

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jackdawridge.configuration.configuration import Configuration


class ConfiguredRules:
    """Reads what is in force at an entry.

    :param configuration: of the entry.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Keep the configuration."""
        self.configuration = configuration

    def is_in_service(self, failure_domain: str) -> bool:
        """Return whether a failure domain takes requests.

        :param failure_domain: its name.
        """
        return self.configuration.is_in_service(failure_domain)

    def weight_of(self, team: str) -> float:
        """Return the weight of a team among those that wait.

        :param team: its name.
        """
        return self.configuration.team(team).weight

    def service_record(self, service: str) -> Mapping[str, object] | None:
        """Return the record of a service, None if there is none.

        :param service: its name.
        """
        record = self.configuration.state.current_value(Key(SERVICE, service))
        return record if isinstance(record, dict) else None
