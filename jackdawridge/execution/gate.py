"""Decides by the configuration whether a side may start anything."""

from __future__ import annotations

from typing import Protocol


class StartGate(Protocol):
    """Decides by the configuration whether anything may start at this side."""

    @property
    def position(self) -> int:
        """Return the offset up to which the configuration was read."""

    def refusal(self, now: float) -> str:
        """Return why nothing may start, or an empty string."""

    def version_refusal(self, agreement: str, version: int) -> str:
        """Return why nothing may start under a version, or an empty string."""

    def heartbeat_sent(self, window: int) -> None:
        """Record a heartbeat that is about to be sent."""

    def heartbeat_answered(
        self, window: int, position: int, age: float
    ) -> None:
        """Record how current the configuration is, as reported by an entry."""


class OpenGate:
    """A gate that refuses nothing."""

    position = 0

    def refusal(self, now: float) -> str:
        """Return an empty string.

        :param now: local time in seconds.
        """
        return ''

    def version_refusal(self, agreement: str, version: int) -> str:
        """Return an empty string.

        :param agreement: name of the agreement.
        :param version: version of the agreement.
        """
        return ''

    def heartbeat_sent(self, window: int) -> None:
        """Ignore a heartbeat.

        :param window: send window that the heartbeat opens.
        """

    def heartbeat_answered(
        self, window: int, position: int, age: float
    ) -> None:
        """Ignore a reply to a heartbeat.

        :param window: send window of the heartbeat.
        :param position: offset up to which the entry has read the
            configuration.
        :param age: time since the entry confirmed that it has the newest
            configuration, in seconds.
        """
