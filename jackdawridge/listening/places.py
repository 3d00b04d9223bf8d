"""Choice of the connections that leave a listener when it is full.

Answers a crowd of clients that open connections and complete no request on
them: the newcomer is then the next ordinary caller.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection

#: Part of the places that are freed at a time, as a divisor: all connections
#: are examined each time.
SPARE_PART = 64


class Occupant(Protocol):
    """A connection to a listener."""

    #: Time since which it has completed no request, in seconds.
    waiting_since: float

    def is_answering(self) -> bool:
        """Return whether a request is being answered on the connection."""


OccupantT = TypeVar('OccupantT', bound=Occupant)


def choose_leaving(occupants: Collection[OccupantT]) -> list[OccupantT]:
    """Return the connections that make room, which may be none.

    These are a `SPARE_PART` of all, those first that have waited longest for a
    request. A connection on which a request is being answered stays: that
    request has been handed on.

    :param occupants: all connections of a listener.
    """
    waiting = [
        occupant for occupant in occupants if not occupant.is_answering()
    ]
    count = max(len(occupants) // SPARE_PART, 1)
    return heapq.nsmallest(
        count, waiting, key=lambda occupant: occupant.waiting_since
    )
