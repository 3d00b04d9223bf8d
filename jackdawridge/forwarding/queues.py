"""Waiting requests of a service, served fairly between teams."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

Waiting = TypeVar('Waiting')


def equal_weight(team: str) -> float:
    """Return the weight of a team where all are equal.

    :param team: any.
    """
    return 1


class PushResult(NamedTuple, Generic[Waiting]):
    """What a push did."""

    #: Whether the new one waits.
    accepted: bool
    #: The one that had to give way to it, if any.
    evicted: Waiting | None


class TeamQueue(Generic[Waiting]):
    """The waiting requests of one team, oldest first."""

    def __init__(self, virtual_time: float) -> None:
        """Start empty.

        :param virtual_time: service the team is counted to have had so far.
        """
        self.waiting: deque[Waiting] = deque()
        self.virtual_time = virtual_time


class TeamQueues(Generic[Waiting]):
    """Bounded queue that serves teams in proportion to their weights.

    A full queue takes one more from a team that has fewer waiting than the
    one with the most, whose newest gives way.

    :param limit: most that wait in all.
    """

    def __init__(self, limit: int) -> None:
        """Start empty."""
        self.limit = limit
        self.size = 0
        self.by_team: dict[str, TeamQueue[Waiting]] = {}
        self.virtual_time: float = 0

    def push(self, team: str, waiting: Waiting) -> PushResult[Waiting]:
        """Add one at the end of its team's team_queue.

        :param team: team that sent the request.
        :param waiting: the request.
        """
        if self.size < self.limit:
            self.append(team, waiting)
            return PushResult(True, None)
        longest_queue = self.longest_queue()
        own = self.by_team.get(team)
        own_length = len(own.waiting) if own else 0
        if (
            longest_queue is None
            or len(longest_queue.waiting) <= own_length + 1
        ):
            return PushResult(False, None)
        evicted = longest_queue.waiting.pop()
        self.size -= 1
        self.append(team, waiting)
        return PushResult(True, evicted)

    def requeue(self, team: str, waiting: Waiting) -> None:
        """Return one that had been served to the head of its team_queue.

        :param team: team that sent the request.
        :param waiting: the request.
        """
        self.team_queue(team).waiting.appendleft(waiting)
        self.size += 1

    def pop(
        self, weight_of: Callable[[str], float] = equal_weight
    ) -> Waiting | None:
        """Return the next one, None if nobody waits.

        :param weight_of: returns the weight of a team.
        """
        team = min(
            self.by_team,
            key=lambda name: self.by_team[name].virtual_time,
            default=None,
        )
        if team is None:
            return None
        team_queue = self.by_team[team]
        waiting = team_queue.waiting.popleft()
        self.size -= 1
        self.virtual_time = team_queue.virtual_time
        team_queue.virtual_time += 1 / weight_of(team)
        if not team_queue.waiting:
            del self.by_team[team]
        return waiting

    def discard(self, team: str, waiting: Waiting) -> bool:
        """Remove one and return whether it was there.

        :param team: team that sent the request.
        :param waiting: the request.
        """
        team_queue = self.by_team.get(team)
        if team_queue is None or waiting not in team_queue.waiting:
            return False
        team_queue.waiting.remove(waiting)
        self.size -= 1
        if not team_queue.waiting:
            del self.by_team[team]
        return True

    def append(self, team: str, waiting: Waiting) -> None:
        """Add one without regard to the limit.

        :param team: team that sent the request.
        :param waiting: the request.
        """
        self.team_queue(team).waiting.append(waiting)
        self.size += 1

    def team_queue(self, team: str) -> TeamQueue[Waiting]:
        """Return the team_queue of a team, made if need be.

        :param team: the team.
        """
        return self.by_team.setdefault(team, TeamQueue(self.virtual_time))

    def longest_queue(self) -> TeamQueue[Waiting] | None:
        """Return the team_queue in which most wait."""
        return max(
            self.by_team.values(),
            key=lambda team_queue: len(team_queue.waiting),
            default=None,
        )
