"""What an entry knows about the sides that it may send tasks to."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.execution.messages import Offer, Room
    from jackdawridge.placement.learning import Need
    from jackdawridge.placement.request import Placement

#: Time in which a returning side comes back to its full share, in seconds,
#: unless the settings say otherwise.
RAMP_TIME = 2.0

#: Share of its capacity that a returning side may use at once.
RAMP_START = 0.4


class SideInfo(NamedTuple):
    """What a side says about itself and its worker."""

    failure_domain: str
    cores: float
    #: In MB.
    memory: float
    accelerators: int
    #: Of the target beside the side, or empty.
    service: str = ''

    def serves(self, need: Need) -> bool:
        """Return whether the worker is one of those that a task asks for.

        :param need: the estimate for the task.
        """
        return not need.service or need.service == self.service


class Amount(NamedTuple):
    """Cores, memory and accelerators that belong together."""

    cores: float
    memory: float
    accelerators: int

    def plus(self, other: Amount) -> Amount:
        """Return the sum.

        :param other: what is added.
        """
        return Amount(
            self.cores + other.cores,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )


#: The sum of no placements.
NOTHING = Amount(0, 0, 0)


def total(placements: Iterable[Placement]) -> Amount:
    """Return what placements reserve together.

    :param placements: at one side.
    """
    amount = NOTHING
    for placement in placements:
        request = placement.request
        amount = amount.plus(
            Amount(placement.cores, placement.memory, request.accelerators)
        )
    return amount


class Side:
    """One side as an entry sees it.

    :param side_id: identifies the side.
    :param info: what the side says about itself.
    :param ramp_time: in which it comes to its full share, in seconds.
    """

    def __init__(
        self, side_id: str, info: SideInfo, ramp_time: float = RAMP_TIME
    ) -> None:
        """Begin without room, until the side reports some."""
        self.side_id = side_id
        self.info = info
        self.ramp_time = ramp_time
        #: Room reported less what was placed since.
        self.free = NOTHING
        #: What was placed and is in no batch yet.
        self.unsent = NOTHING
        #: Batches that the side had not handled at its last report.
        self.batches: deque[tuple[int, Amount]] = deque()
        self.reported_at = float('-inf')
        #: Whether the side takes new work and its failure domain is in service.
        self.is_open = True
        #: No placement before this time.
        self.closed_until = float('-inf')
        #: Time at which the ramp began.
        self.ramp_from = float('-inf')
        #: Whether the side gets one task at a time only.
        self.is_limited = False
        #: Tasks of this entry at the side.
        self.outstanding = 0
        #: Cores that they reserve.
        self.own_cores: float = 0
        #: Run time of tasks here over that of tasks elsewhere.
        self.slowness = 1.0

    def report(self, room: Room, processed: int, now: float) -> None:
        """Take in the room that the side reports.

        :param room: as of the last batch that the side has handled.
        :param processed: number of that batch.
        :param now: the time.
        """
        while self.batches and self.batches[0][0] <= processed:
            self.batches.popleft()
        sent = self.unsent
        for _, amount in self.batches:
            sent = sent.plus(amount)
        self.free = Amount(
            room.cores - sent.cores,
            room.memory - sent.memory,
            room.accelerators - sent.accelerators,
        )
        self.reported_at = now

    def offered(self, offer: Offer) -> None:
        """Take in room that the side holds for this entry.

        :param offer: what is held.
        """
        self.free = Amount(
            max(self.free.cores, offer.cores),
            max(self.free.memory, offer.memory),
            max(self.free.accelerators, offer.accelerators),
        )
        self.closed_until = float('-inf')

    def reserve(self, need: Need) -> None:
        """Count a placement until it is part of a report.

        :param need: the estimate for the task.
        """
        amount = Amount(need.cores, need.memory, need.accelerators)
        self.unsent = self.unsent.plus(amount)
        self.free = Amount(
            self.free.cores - need.cores,
            self.free.memory - need.memory,
            self.free.accelerators - need.accelerators,
        )
        self.outstanding += 1
        self.own_cores += need.cores

    def release(self, need: Need) -> None:
        """Count a placement no more; its room is free once it is reported.

        :param need: the estimate for the task.
        """
        self.outstanding -= 1
        self.own_cores = max(self.own_cores - need.cores, 0)

    def sent(self, number: int, amount: Amount) -> None:
        """Note that placements left in a batch.

        :param number: of the batch.
        :param amount: what its placements reserve.
        """
        self.unsent = Amount(
            self.unsent.cores - amount.cores,
            self.unsent.memory - amount.memory,
            self.unsent.accelerators - amount.accelerators,
        )
        self.batches.append((number, amount))

    def takes_work(self, now: float) -> bool:
        """Return whether the side may get a task at all.

        :param now: the time.
        """
        if not self.is_open or now < self.closed_until:
            return False
        return not self.is_limited or not self.outstanding

    def has_room(self) -> bool:
        """Return whether any room is known at all."""
        return self.free.cores > 0 and self.free.memory > 0

    def fits(self, need: Need, now: float) -> bool:
        """Return whether a task can be placed here.

        :param need: the estimate for the task.
        :param now: the time.
        """
        cores, memory, accelerators = self.free
        if need.cores > cores or need.memory > memory:
            return False
        if need.accelerators > accelerators or not self.takes_work(now):
            return False
        if not self.info.serves(need):
            return False
        since = now - self.ramp_from
        if since >= self.ramp_time:
            return True
        held = (1 - RAMP_START) * (1 - since / self.ramp_time)
        return need.cores <= cores - held * self.info.cores

    def could_fit(self, need: Need) -> bool:
        """Return whether a task fits the worker when nothing else runs.

        :param need: the estimate for the task.
        """
        return (
            need.cores <= self.info.cores
            and need.memory <= self.info.memory
            and need.accelerators <= self.info.accelerators
            and self.info.serves(need)
        )

    def score(self) -> float:
        """Return the free share of the worker, less for a slow one."""
        share = min(
            self.free.cores / self.info.cores,
            self.free.memory / self.info.memory,
        )
        return share / self.slowness
