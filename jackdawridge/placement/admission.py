"""Admission control: limits queued tasks and refuses further jobs early."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.placement.request import Overload

if TYPE_CHECKING:
    from jackdawridge.placement.queues import Queues, Team

#: Fraction of the queue limit that one team may use.
MAX_TEAM_FRACTION = 0.5

#: Bounds of the time after which a refused caller should retry, in seconds.
MIN_RETRY_AFTER = 0.2
MAX_RETRY_AFTER = 30.0

#: Weight of the newest interval in the moving average of the completion rate.
COMPLETION_RATE_WEIGHT = 0.3

#: Length of an interval over which completions are counted, in seconds.
COMPLETION_RATE_INTERVAL = 0.5


class QueueBounds:
    """Refuses jobs that would exceed the limits of the queue.

    :param limit: maximum number of queued tasks.
    """

    def __init__(self, limit: int) -> None:
        """Initialise with a completion rate of 0."""
        self.limit = limit
        #: Completion rate, in tasks per second.
        self.rate: float = 0
        self.ended_tasks = 0
        self.interval_started_at = float('-inf')

    def count_ended(self, now: float) -> None:
        """Count an ended task for the completion rate.

        :param now: current time in seconds.
        """
        self.ended_tasks += 1
        elapsed = now - self.interval_started_at
        if elapsed >= COMPLETION_RATE_INTERVAL:
            rate = self.ended_tasks / elapsed
            self.rate += COMPLETION_RATE_WEIGHT * (rate - self.rate)
            self.ended_tasks = 0
            self.interval_started_at = now

    def check(self, queues: Queues, team: Team, tasks: int) -> Overload | None:
        """Return the refusal of a job, or None if it may be queued.

        :param queues: queues of this entry.
        :param team: team of the job.
        :param tasks: number of tasks of the job.
        """
        if queues.queued and queues.queued + tasks > self.limit:
            return Overload(
                self.retry_after(queues.queued),
                f'{queues.queued} tasks are queued; the limit is {self.limit}',
            )
        team_limit = int(self.limit * MAX_TEAM_FRACTION)
        if team.queued and team.queued + tasks > team_limit:
            return Overload(
                self.retry_after(team.queued),
                f'{team.queued} tasks of team {team.name!r} are queued;'
                f' the limit is {team_limit}',
            )
        return None

    def retry_after(self, queued: int) -> float:
        """Return the time in seconds in which half of a queue is processed.

        :param queued: number of queued tasks.
        """
        seconds = queued / 2 / max(self.rate, 1)
        return min(max(seconds, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
