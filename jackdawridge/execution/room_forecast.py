"""Forecast of when the running tasks of a side free their cores."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.execution.messages import TaskKey

#: Expected end of a task that may end at any time.
ANY_TIME = float('-inf')


class Release(NamedTuple):
    """Cores that become free."""

    #: Expected local time, in seconds.
    at: float
    cores: float


class RoomForecast:
    """Expected ends of the running tasks.

    Entries see the room of a busy side with a delay and send it more starts
    than fit. A start that would wait in vain is better sent elsewhere at once.
    """

    def __init__(self) -> None:
        """Initialise without tasks."""
        self.releases: dict[TaskKey, Release] = {}

    def add(self, key: TaskKey, cores: float, end: float) -> None:
        """Add a task, or replace what was expected of it.

        :param key: key of the task.
        :param cores: cores that it has reserved.
        :param end: local time of its expected end, in seconds.
        """
        self.releases[key] = Release(end, cores)

    def remove(self, key: TaskKey) -> None:
        """Remove a task that has ended.

        :param key: key of the task.
        """
        self.releases.pop(key, None)

    def wait_for(self, cores: float, now: float) -> float:
        """Return the expected time until some more cores are free, in seconds.

        A task that runs for longer than expected may end at any time.

        :param cores: number of cores that have to become free.
        :param now: local time in seconds.
        """
        if cores <= 0:
            return 0
        missing = cores
        for release in sorted(self.releases.values()):
            missing -= release.cores
            if missing <= 0:
                return max(release.at - now, 0)
        return float('inf')
