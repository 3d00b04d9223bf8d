"""Keys that are refused although a late or repeated start carries them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawridge.execution.messages import TaskKey


class Fences:
    """Keys of refused and ended tasks, kept while late copies may arrive.

    :param duration: time for which a key is kept, in seconds; longer than a
        send window, after which late starts are refused anyway.
    """

    def __init__(self, duration: float) -> None:
        """Initialise the fences without keys."""
        self.duration = duration
        #: Local times at which keys expire, by key, oldest first.
        self.expires_at: dict[TaskKey, float] = {}

    def __contains__(self, key: object) -> bool:
        """Return whether a key must not be admitted."""
        return key in self.expires_at

    def add(self, key: TaskKey, now: float) -> None:
        """Fence a key, or extend its expiry.

        :param key: key of a task.
        :param now: local time in seconds.
        """
        self.expires_at.pop(key, None)
        self.expires_at[key] = now + self.duration

    def expire(self, now: float) -> None:
        """Remove the keys that have expired.

        :param now: local time in seconds.
        """
        while self.expires_at:
            key = next(iter(self.expires_at))
            if self.expires_at[key] >= now:
                return
            self.expires_at.pop(key)
