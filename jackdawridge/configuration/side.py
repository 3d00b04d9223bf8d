"""The configuration of a side."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.configuration.configuration import Configuration
from jackdawridge.configuration.exchange import Exchange
from jackdawridge.configuration.freshness import SideFreshness

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jackdawridge.application import Application
    from jackdawridge.configuration.state import State


class SideConfiguration:
    """Takes the configuration from entries, and says whether work may start.

    Emits `configuration_changed` with the old and the new position, also
    when only the holds have changed.

    :param application: the process.
    """

    def __init__(self, application: Application) -> None:
        """Make the parts."""
        settings = application.settings
        self.application = application
        self.failure_domain = settings.text('failure_domain')
        self.configuration = Configuration(self.changed)
        self.freshness = SideFreshness(settings.number('freshness'))
        self.exchange = Exchange(application, self.configuration, self)

    @classmethod
    def from_application(cls, application: Application) -> SideConfiguration:
        """Return the configuration of a side.

        :param application: the process.
        """
        return cls(application)

    @property
    def position(self) -> int:
        """Return the offset up to which the configuration is known."""
        return self.configuration.position

    def start(self) -> None:
        """Do nothing: entries tell what is new."""

    def stop(self) -> None:
        """Do nothing."""

    def describe(self) -> Mapping[str, object]:
        """Return what operators see of what is in force at this side."""
        return {
            'position': self.position,
            'failure_domain': self.failure_domain,
            'in_service': self.configuration.is_in_service(self.failure_domain),
            'refusal': self.refuse_start(),
        }

    def refusal(self, now: float) -> str:
        """Return why nothing may start now, or an empty text.

        To be asked in the same turn of the loop in which the start is sent.

        :param now: in seconds.
        """
        if not self.configuration.is_in_service(self.failure_domain):
            return f'failure domain {self.failure_domain!r} is out of service'
        if not self.freshness.is_fresh(now):
            return 'configuration is not known to be current'
        return ''

    def refuse_start(self) -> str:
        """Return why nothing may start at this moment, or an empty text."""
        return self.refusal(self.application.clock.seconds())

    def version_refusal(self, agreement: str, version: int) -> str:
        """Return why nothing may start under a version, or an empty text.

        :param agreement: that the work is counted under, or empty.
        :param version: pinned when the work was admitted.
        """
        if agreement and self.configuration.is_retired(agreement, version):
            return f'version {version} of agreement {agreement!r} is retired'
        return ''

    def heartbeat_sent(self, window: int) -> None:
        """Remember a heartbeat, before it is sent.

        :param window: its number.
        """
        self.freshness.heartbeat_sent(
            window, self.position, self.application.clock.seconds()
        )

    def heartbeat_answered(
        self, window: int, position: int, age: float
    ) -> None:
        """Take an entry's word on how current the configuration is.

        :param window: of the heartbeat that is answered.
        :param position: up to which the entry knows the configuration.
        :param age: for how long something newer may have existed, in seconds.
        """
        self.freshness.heartbeat_answered(window, position, age, self.position)

    def changed(self, old: int, new: int) -> None:
        """Tell the other components.

        :param old: the position before.
        :param new: the position now.
        """
        self.application.events.emit('configuration_changed', old, new)

    def adopt(self, state: State) -> None:
        """Put a state in force.

        :param state: folded from the log.
        """
        self.configuration.replace(state)
