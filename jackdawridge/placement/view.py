"""What an entry knows about the sides that it may send tasks to."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.execution.messages import Offer, Room
    from jackdawridge.placement.learning import Need
    from jackdawridge.placement.request import Key, Placement

#: Time in which a returning side comes back to its full share, in seconds,
#: unless the settings say otherwise.
RAMP_TIME = 2.0

#: Share of its capacity that a returning side may use at once.
RAMP_START_FRACTION = 0.4


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

        :param need: estimated need of the task.
        """
        return not need.service or need.service == self.service


class Resources(NamedTuple):
    """Cores, memory and accelerators that belong together."""

    cores: float
    memory: float
    accelerators: int

    def plus(self, other: Resources) -> Resources:
        """Return the sum.

        :param other: what is added.
        """
        return Resources(
            self.cores + other.cores,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference.

        :param other: what is taken off.
        """
        return Resources(
            self.cores - other.cores,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def minimum(self, other: Resources) -> Resources:
        """Return the smaller of each part.

        :param other: what this is compared with.
        """
        return Resources(
            min(self.cores, other.cores),
            min(self.memory, other.memory),
            min(self.accelerators, other.accelerators),
        )


#: The sum of no placements.
NO_RESOURCES = Resources(0, 0, 0)


def resources_of(need: Need) -> Resources:
    """Return what a task reserves.

    :param need: estimated need of the task.
    """
    return Resources(need.cores, need.memory, need.accelerators)


def reserved_resources(placements: Iterable[Placement]) -> Resources:
    """Return what placements reserve together.

    :param placements: at one side.
    """
    resources = NO_RESOURCES
    for placement in placements:
        request = placement.request
        resources = resources.plus(
            Resources(placement.cores, placement.memory, request.accelerators)
        )
    return resources


class UnreportedPlacements:
    """Placements that the last report of a side does not include."""

    def __init__(self) -> None:
        """Begin without placements."""
        #: In no batch yet.
        self.unsent = NO_RESOURCES
        #: Batches that the side had not handled at its last report.
        self.batches: deque[tuple[int, Resources]] = deque()

    def sent(self, number: int, resources: Resources) -> None:
        """Note that placements left in a batch.

        :param number: number of the batch.
        :param resources: what its placements reserve.
        """
        self.unsent = self.unsent.minus(resources)
        self.batches.append((number, resources))

    def reported(self, processed: int) -> None:
        """Forget what a report includes.

        :param processed: number of the last batch that the side has handled.
        """
        while self.batches and self.batches[0][0] <= processed:
            self.batches.popleft()

    def total(self) -> Resources:
        """Return what the placements reserve together."""
        resources = self.unsent
        for _, in_batch in self.batches:
            resources = resources.plus(in_batch)
        return resources


class Ramp:
    """The time in which a side that joins or returns gets its full share.

    :param duration: of the ramp, in seconds.
    """

    def __init__(self, duration: float) -> None:
        """Begin with the full share."""
        self.duration = duration
        self.since = float('-inf')

    def begin(self, now: float) -> None:
        """Let the side come to its full share from now on.

        :param now: current time in seconds.
        """
        self.since = now

    def reserved_fraction(self, now: float) -> float:
        """Return the part of the worker that stays free for now.

        :param now: current time in seconds.
        """
        passed = now - self.since
        if passed >= self.duration:
            return 0
        return (1 - RAMP_START_FRACTION) * (1 - passed / self.duration)


class Probation:
    """What a side may get that has given reason to be limited."""

    def __init__(self) -> None:
        """Begin without limits."""
        #: Whether the side gets one short task at a time only.
        self.is_limited = False
        #: Tasks that it has got since, to be judged by.
        self.probes: set[Key] = set()
        #: Longest run time of such a task, in seconds.
        self.max_probe_run_time = float('inf')
        #: Run time of tasks here over that of tasks elsewhere.
        self.slowness: float = 1

    def admits(self, need: Need) -> bool:
        """Return whether a task may be placed.

        Tasks that were placed before the limit do not count: they run on for
        long at a slow worker, which would get nothing to be judged by.

        :param need: estimated need of the task.
        """
        if not self.is_limited:
            return True
        return not self.probes and need.run_time <= self.max_probe_run_time

    def placed(self, key: Key) -> None:
        """Note that a task was placed.

        :param key: key of the task.
        """
        if self.is_limited:
            self.probes.add(key)

    def released(self, key: Key) -> None:
        """Note that a task runs no more.

        :param key: key of the task.
        """
        self.probes.discard(key)


class Side:
    """One side as an entry sees it.

    :param side_id: identifier of the side.
    :param info: what the side says about itself.
    :param ramp_time: in which it comes to its full share, in seconds.
    """

    def __init__(
        self, side_id: str, info: SideInfo, ramp_time: float = RAMP_TIME
    ) -> None:
        """Begin without room, until the side reports some."""
        self.side_id = side_id
        self.info = info
        self.ramp = Ramp(ramp_time)
        #: Room reported less what was placed since.
        self.free = NO_RESOURCES
        #: Room reported, as changed since by the tasks of other entries for
        #: which this one decides.
        self.reported_room = NO_RESOURCES
        #: Whether this entry decides for others too, whose tasks it knows.
        self.is_joint = False
        self.unreported = UnreportedPlacements()
        self.reported_at = float('-inf')
        #: Whether the side takes new work and its failure domain is in service.
        self.is_open = True
        #: No placement before this time.
        self.closed_until = float('-inf')
        self.probation = Probation()
        #: Tasks at the side that this entry has decided on.
        self.outstanding = 0
        #: What they reserve.
        self.own_resources = NO_RESOURCES
        #: Run time of tasks here over that at the faster sides.
        self.pace: float = 1

    def report(self, room: Room, processed: int, now: float) -> None:
        """Take in the room that the side reports.

        :param room: as of the last batch that the side has handled.
        :param processed: number of that batch.
        :param now: current time in seconds.
        """
        self.unreported.reported(processed)
        self.reported_room = Resources(
            room.cores, room.memory, room.accelerators
        )
        self.update_free()
        self.reported_at = now

    def update_free(self) -> None:
        """Reckon the free room from the last report.

        Where this entry decides for others, a report may lack what they are
        just starting, so that no more counts as free than all known tasks
        leave.
        """
        self.free = self.reported_room.minus(self.unreported.total())
        if self.is_joint:
            whole = Resources(
                self.info.cores, self.info.memory, self.info.accelerators
            )
            self.free = self.free.minimum(whole.minus(self.own_resources))

    def apply_offer(self, offer: Offer) -> None:
        """Take in room that the side holds for this entry.

        :param offer: room that the side holds.
        """
        self.free = Resources(
            max(self.free.cores, offer.cores),
            max(self.free.memory, offer.memory),
            max(self.free.accelerators, offer.accelerators),
        )
        self.closed_until = float('-inf')

    def reserve(self, need: Need) -> None:
        """Count a placement until it is part of a report.

        :param need: estimated need of the task.
        """
        resources = resources_of(need)
        self.unreported.unsent = self.unreported.unsent.plus(resources)
        self.free = self.free.minus(resources)
        self.own_resources = self.own_resources.plus(resources)
        self.outstanding += 1

    def release(self, need: Need) -> None:
        """Count a placement no more; its room is free once it is reported.

        :param need: estimated need of the task.
        """
        self.outstanding -= 1
        self.own_resources = self.own_resources.minus(resources_of(need))
        if not self.outstanding:
            # Rounding errors do not add up.
            self.own_resources = NO_RESOURCES

    def sent(self, number: int, resources: Resources) -> None:
        """Note that placements left in a batch.

        :param number: number of the batch.
        :param resources: what its placements reserve.
        """
        self.unreported.sent(number, resources)

    def handed_over(self, need: Need) -> None:
        """Note that another entry sends a placement, in a batch of its own.

        :param need: estimated need of the task.
        """
        resources = resources_of(need)
        self.unreported.unsent = self.unreported.unsent.minus(resources)
        self.reported_room = self.reported_room.minus(resources)

    def taken_over(self, need: Need) -> None:
        """Note that a placement was part of the last report already.

        :param need: estimated need of the task.
        """
        self.unreported.unsent = self.unreported.unsent.minus(
            resources_of(need)
        )
        self.update_free()

    def given_back(self, need: Need) -> None:
        """Note that a task of another entry has ended.

        :param need: estimated need of the task.
        """
        self.reported_room = self.reported_room.plus(resources_of(need))
        self.update_free()

    def close_until(self, until: float) -> None:
        """Take no placement before a time, or a later one that is set.

        :param until: the time.
        """
        self.closed_until = max(self.closed_until, until)

    @property
    def is_limited(self) -> bool:
        """Return whether the side gets one short task at a time only."""
        return self.probation.is_limited

    def takes_work(self, need: Need, now: float) -> bool:
        """Return whether the side may get a task at all.

        :param need: estimated need of the task.
        :param now: current time in seconds.
        """
        if not self.is_open or now < self.closed_until:
            return False
        return self.probation.admits(need)

    def has_room(self) -> bool:
        """Return whether any room is known at all."""
        return self.free.cores > 0 and self.free.memory > 0

    def fits(self, need: Need, now: float) -> bool:
        """Return whether a task can be placed here.

        :param need: estimated need of the task.
        :param now: current time in seconds.
        """
        cores, memory, accelerators = self.free
        if need.cores > cores or need.memory > memory:
            return False
        if need.accelerators > accelerators or not self.takes_work(need, now):
            return False
        if not self.info.serves(need):
            return False
        reserved_cores = self.ramp.reserved_fraction(now) * self.info.cores
        return need.cores <= cores - reserved_cores

    def fits_when_empty(self, need: Need) -> bool:
        """Return whether a task fits the worker when nothing else runs.

        :param need: estimated need of the task.
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
        return share / self.probation.slowness
