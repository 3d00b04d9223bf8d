"""Rules for requests from the configuration of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.configuration.records import SERVICE, Key

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jackdawridge.configuration.configuration import Configuration


class ConfiguredRules:
    """Reads the rules in force from the configuration.

    :param configuration: configuration of the entry.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Initialise the rules."""
        self.configuration = configuration

    def is_in_service(self, failure_domain: str) -> bool:
        """Return whether a failure domain is in service.

        :param failure_domain: name of the failure domain.
        """
        return self.configuration.is_in_service(failure_domain)

    def weight_of(self, team: str) -> float:
        """Return the weight of a team in the queue.

        :param team: name of the team.
        """
        return self.configuration.team(team).weight

    def service_record(self, service: str) -> Mapping[str, object] | None:
        """Return the record of a service, None if there is none.

        :param service: name of the service.
        """
        record = self.configuration.state.current_value(Key(SERVICE, service))
        return record if isinstance(record, dict) else None
