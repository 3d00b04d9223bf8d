"""Keys that must never be admitted."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawridge.execution.messages import TaskKey


class Fences:
    """Refused and ended keys, kept until no late copy can pass.

    :param duration: time for which a key is kept, in seconds; longer than
        a send window, which stops copies after it.
    """

    def __init__(self, duration: float) -> None:
        """Start without keys."""
        self.duration = duration
        #: Local times at which keys are forgotten, oldest first.
        self.expires_at: dict[TaskKey, float] = {}

    def __contains__(self, key: object) -> bool:
        """Return whether a key must not be admitted."""
        return key in self.expires_at

    def add(self, key: TaskKey, now: float) -> None:
        """Keep a key from now on.

        :param key: of a task.
        :param now: local time in seconds.
        """
        self.expires_at.pop(key, None)
        self.expires_at[key] = now + self.duration

    def expire(self, now: float) -> None:
        """Forget the keys whose time has come.

        :param now: local time in seconds.
        """
        while self.expires_at:
            key = next(iter(self.expires_at))
            if self.expires_at[key] >= now:
                return
            self.expires_at.pop(key)
