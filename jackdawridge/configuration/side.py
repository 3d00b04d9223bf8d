"""The configuration of a side."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.configuration.configuration import Configuration
from jackdawridge.configuration.exchange import ConfigurationExchange
from jackdawridge.configuration.freshness import SideFreshness

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jackdawridge.application import Application
    from jackdawridge.configuration.state import State


class SideConfiguration:
    """Receives the configuration from entries and decides if tasks may start.

    Emits `configuration_changed` with the previous and the current position
    whenever the state or the set of holds changes.

    :param application: the process.
    """

    def __init__(self, application: Application) -> None:
        """Create the components."""
        settings = application.settings
        self.application = application
        self.failure_domain = settings.text('failure_domain')
        self.configuration = Configuration(self.handle_change)
        self.freshness = SideFreshness(settings.number('freshness'))
        self.exchange = ConfigurationExchange(
            application, self.configuration, self
        )

    @classmethod
    def from_application(cls, application: Application) -> SideConfiguration:
        """Create the configuration of a side from its settings.

        :param application: the process.
        """
        return cls(application)

    @property
    def position(self) -> int:
        """Return the log offset up to which the configuration is known."""
        return self.configuration.position

    def start(self) -> None:
        """Implement a component; entries push changes, so there is no work."""

    def stop(self) -> None:
        """Implement a component; there is nothing to stop."""

    def status_document(self) -> Mapping[str, object]:
        """Return what is in force at this side, as JSON for operators."""
        return {
            'position': self.position,
            'failure_domain': self.failure_domain,
            'in_service': self.configuration.is_in_service(self.failure_domain),
            'refusal': self.refuse_start(),
        }

    def refusal(self, now: float) -> str:
        """Return why no task may start now, empty if tasks may start.

        The result is valid only in the same turn of the event loop, in which
        the start must be sent.

        :param now: current time in seconds.
        """
        if not self.configuration.is_in_service(self.failure_domain):
            return f'failure domain {self.failure_domain!r} is out of service'
        if not self.freshness.is_fresh(now):
            return 'configuration is not known to be current'
        return ''

    def refuse_start(self) -> str:
        """Return why no task may start now, empty if tasks may start."""
        return self.refusal(self.application.clock.seconds())

    def version_refusal(self, agreement: str, version: int) -> str:
        """Return why no task may start under a version, empty if tasks may.

        :param agreement: name of the agreement, empty for work without one.
        :param version: the version under which the work was admitted.
        """
        if agreement and self.configuration.is_retired(agreement, version):
            return f'version {version} of agreement {agreement!r} is retired'
        return ''

    def heartbeat_sent(self, window: int) -> None:
        """Record a heartbeat; to be called before the heartbeat is sent.

        :param window: window number of the heartbeat.
        """
        self.freshness.heartbeat_sent(
            window, self.position, self.application.clock.seconds()
        )

    def heartbeat_answered(
        self, window: int, position: int, age: float
    ) -> None:
        """Apply the age that an entry reports in reply to a heartbeat.

        :param window: window number of the heartbeat.
        :param position: offset up to which the entry knows the configuration.
        :param age: age of the entry's configuration in seconds.
        """
        self.freshness.heartbeat_answered(window, position, age, self.position)

    def handle_change(self, old_position: int, new_position: int) -> None:
        """Emit the event `configuration_changed`.

        :param old_position: the position before the change.
        :param new_position: the current position.
        """
        self.application.events.emit(
            'configuration_changed', old_position, new_position
        )

    def adopt(self, state: State) -> None:
        """Put a state received from an entry in force if it is newer.

        :param state: folded from the log.
        """
        self.configuration.apply_state(state)
