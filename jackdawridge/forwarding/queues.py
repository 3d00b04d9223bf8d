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


class Pushed(NamedTuple, Generic[Waiting]):
    """What a push did."""

    #: Whether the new one waits.
    taken: bool
    #: The one that had to give way to it, if any.
    evicted: Waiting | None


class Lane(Generic[Waiting]):
    """The waiting requests of one team, oldest first."""

    def __init__(self, progress: float) -> None:
        """Start empty.

        :param progress: service the team is counted to have had so far.
        """
        self.waiting: deque[Waiting] = deque()
        self.progress = progress


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
        self.lanes: dict[str, Lane[Waiting]] = {}
        self.progress: float = 0

    def push(self, team: str, waiting: Waiting) -> Pushed[Waiting]:
        """Add one at the end of its team's lane.

        :param team: whose request it is.
        :param waiting: the request.
        """
        if self.size < self.limit:
            self.append(team, waiting)
            return Pushed(True, None)
        longest = self.longest()
        own = self.lanes.get(team)
        own_length = len(own.waiting) if own else 0
        if longest is None or len(longest.waiting) <= own_length + 1:
            return Pushed(False, None)
        evicted = longest.waiting.pop()
        self.size -= 1
        self.append(team, waiting)
        return Pushed(True, evicted)

    def push_back(self, team: str, waiting: Waiting) -> None:
        """Return one that had been served to the head of its lane.

        :param team: whose request it is.
        :param waiting: the request.
        """
        self.lane(team).waiting.appendleft(waiting)
        self.size += 1

    def pop(
        self, weight_of: Callable[[str], float] = equal_weight
    ) -> Waiting | None:
        """Return the next one, None if nobody waits.

        :param weight_of: returns the weight of a team.
        """
        team = min(
            self.lanes,
            key=lambda name: self.lanes[name].progress,
            default=None,
        )
        if team is None:
            return None
        lane = self.lanes[team]
        waiting = lane.waiting.popleft()
        self.size -= 1
        self.progress = lane.progress
        lane.progress += 1 / weight_of(team)
        if not lane.waiting:
            del self.lanes[team]
        return waiting

    def discard(self, team: str, waiting: Waiting) -> bool:
        """Remove one and return whether it was there.

        :param team: whose request it is.
        :param waiting: the request.
        """
        lane = self.lanes.get(team)
        if lane is None or waiting not in lane.waiting:
            return False
        lane.waiting.remove(waiting)
        self.size -= 1
        if not lane.waiting:
            del self.lanes[team]
        return True

    def append(self, team: str, waiting: Waiting) -> None:
        """Add one without regard to the limit.

        :param team: whose request it is.
        :param waiting: the request.
        """
        self.lane(team).waiting.append(waiting)
        self.size += 1

    def lane(self, team: str) -> Lane[Waiting]:
        """Return the lane of a team, made if need be.

        :param team: the team.
        """
        return self.lanes.setdefault(team, Lane(self.progress))

    def longest(self) -> Lane[Waiting] | None:
        """Return the lane in which most wait."""
        return max(
            self.lanes.values(),
            key=lambda lane: len(lane.waiting),
            default=None,
        )
