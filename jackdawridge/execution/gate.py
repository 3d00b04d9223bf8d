"""Says whether a side may start anything at all."""

from __future__ import annotations

from typing import Protocol


class StartGate(Protocol):
    """Says whether anything may start here, by the configuration."""

    @property
    def position(self) -> int:
        """Return the offset up to which the configuration is known."""

    def refusal(self, now: float) -> str:
        """Return why nothing may start, or an empty string."""

    def version_refusal(self, agreement: str, version: int) -> str:
        """Return why nothing may start under a version, or an empty string."""

    def heartbeat_sent(self, window: int) -> None:
        """Take note of a heartbeat, before it is sent."""

    def heartbeat_answered(
        self, window: int, position: int, age: float
    ) -> None:
        """Take an entry's word on how current the configuration is."""


class OpenGate:
    """Lets everything start."""

    position = 0

    def refusal(self, now: float) -> str:
        """Return an empty string.

        :param now: local time in seconds.
        """
        return ''

    def version_refusal(self, agreement: str, version: int) -> str:
        """Return an empty string.

        :param agreement: its name.
        :param version: the version.
        """
        return ''

    def heartbeat_sent(self, window: int) -> None:
        """Do nothing.

        :param window: number of the heartbeat.
        """

    def heartbeat_answered(
        self, window: int, position: int, age: float
    ) -> None:
        """Do nothing.

        :param window: number of the heartbeat.
        :param position: of the entry's configuration.
        :param age: of the entry's word.
        """
