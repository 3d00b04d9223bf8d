"""Weighted fair queue of the waiting requests of a service."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

Waiting = TypeVar('Waiting')


def equal_weight(team: str) -> float:
    """Return the same weight for every team.

    :param team: name of the team.
    """
    return 1


class PushResult(NamedTuple, Generic[Waiting]):
    """Result of a push."""

    #: Whether the new request was queued.
    accepted: bool
    #: Request that was evicted to make room, if any.
    evicted: Waiting | None


class TeamQueue(Generic[Waiting]):
    """Waiting requests of one team, oldest first.

    :param virtual_time: virtual time of the team, which rises with each request
        that is served.
    """

    def __init__(self, virtual_time: float) -> None:
        """Initialise as empty."""
        self.waiting: deque[Waiting] = deque()
        self.virtual_time = virtual_time


class TeamQueues(Generic[Waiting]):
    """Bounded queue that serves teams in proportion to their weights.

    A full queue accepts a request of a team with a shorter queue than the
    longest one, from which the newest request is evicted.

    :param limit: highest number of requests over all teams.
    """

    def __init__(self, limit: int) -> None:
        """Initialise as empty."""
        self.limit = limit
        self.size = 0
        self.by_team: dict[str, TeamQueue[Waiting]] = {}
        self.virtual_time: float = 0

    def push(self, team: str, waiting: Waiting) -> PushResult[Waiting]:
        """Append a request to the queue of its team, if the limit allows it.

        :param team: team that sent the request.
        :param waiting: request.
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
        """Return a served request to the head of the queue of its team.

        :param team: team that sent the request.
        :param waiting: request.
        """
        self.team_queue(team).waiting.appendleft(waiting)
        self.size += 1

    def pop(
        self, weight_of: Callable[[str], float] = equal_weight
    ) -> Waiting | None:
        """Remove and return the next request, None if the queue is empty.

        The team with the lowest virtual time is served.

        :param weight_of: function that returns the weight of a team.
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
        """Remove a request and return whether it was queued.

        :param team: team that sent the request.
        :param waiting: request.
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
        """Append a request without checking the limit.

        :param team: team that sent the request.
        :param waiting: request.
        """
        self.team_queue(team).waiting.append(waiting)
        self.size += 1

    def team_queue(self, team: str) -> TeamQueue[Waiting]:
        """Return the queue of a team, creating it if absent.

        A new queue starts at the virtual time of the latest request served, so
        that an idle team gains no credit.

        :param team: name of the team.
        """
        return self.by_team.setdefault(team, TeamQueue(self.virtual_time))

    def longest_queue(self) -> TeamQueue[Waiting] | None:
        """Return the longest queue of a team, None if there is none."""
        return max(
            self.by_team.values(),
            key=lambda team_queue: len(team_queue.waiting),
            default=None,
        )
