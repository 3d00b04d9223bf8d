"""Bounds on what is queued, and the early refusal of the rest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.placement.request import Overload

if TYPE_CHECKING:
    from jackdawridge.placement.queues import Queues, Team

#: Part of the queue that one team may fill.
TEAM_PART = 0.5

#: Bounds of the time after which a refused caller asks again, in seconds.
MIN_RETRY_AFTER = 0.2
MAX_RETRY_AFTER = 30.0

#: Weight of the newest interval in the rate of endings.
RATE_WEIGHT = 0.3

#: Length of an interval over which endings are counted, in seconds.
RATE_INTERVAL = 0.5


class QueueBounds:
    """Refuses jobs that would wait too long.

    :param limit: tasks that may be queued.
    """

    def __init__(self, limit: int) -> None:
        """Begin without knowledge of the rate of endings."""
        self.limit = limit
        #: Tasks that end in a second.
        self.rate: float = 0
        self.ended_tasks = 0
        self.interval_started_at = float('-inf')

    def count_ended(self, now: float) -> None:
        """Count a task that has ended.

        :param now: the time.
        """
        self.ended_tasks += 1
        elapsed = now - self.interval_started_at
        if elapsed >= RATE_INTERVAL:
            rate = self.ended_tasks / elapsed
            self.rate += RATE_WEIGHT * (rate - self.rate)
            self.ended_tasks = 0
            self.interval_started_at = now

    def check(self, queues: Queues, team: Team, tasks: int) -> Overload | None:
        """Return why a job cannot be queued, or None if it can.

        :param queues: everything that is queued.
        :param team: whose job it is.
        :param tasks: of the job.
        """
        if queues.queued and queues.queued + tasks > self.limit:
            return Overload(
                self.retry_after(queues.queued),
                f'{queues.queued} tasks are queued; the limit is {self.limit}',
            )
        team_limit = int(self.limit * TEAM_PART)
        if team.queued and team.queued + tasks > team_limit:
            return Overload(
                self.retry_after(team.queued),
                f'{team.queued} tasks of team {team.name!r} are queued;'
                f' the limit is {team_limit}',
            )
        return None

    def retry_after(self, queued: int) -> float:
        """Return the time in which half of a queue is worked off.

        :param queued: tasks in the queue.
        """
        seconds = queued / 2 / max(self.rate, 1)
        return min(max(seconds, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
