"""State of the sides as an entry knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.resources import (
    NO_RESOURCES,
    Resources,
    UnreportedPlacements,
    resources_of,
)

if TYPE_CHECKING:
    from jackdawridge.execution.messages import Offer, Room
    from jackdawridge.placement.learning import Need
    from jackdawridge.placement.request import Key

#: Default time in seconds until a side that joins or returns gets its full
#: share of the work.
RAMP_TIME = 2.0

#: Fraction of its capacity that such a side may use at once.
RAMP_START_FRACTION = 0.4


class SideInfo(NamedTuple):
    """Description of a side and its worker."""

    failure_domain: str
    cores: float
    #: Memory in MB.
    memory: float
    accelerators: int
    #: Service of the target beside the side; empty if there is none.
    service: str = ''
    #: Kind of the worker, as its target announces it; empty if unknown.
    worker_kind: str = ''

    def serves(self, need: Need) -> bool:
        """Return whether the worker belongs to the service of a task.

        :param need: estimated need of the task.
        """
        return not need.service or need.service == self.service


class Ramp:
    """Ramp-up of the share of a side that joins or returns.

    :param duration: time until the side has its full share, in seconds.
    """

    def __init__(self, duration: float) -> None:
        """Initialise with the full share."""
        self.duration = duration
        self.started_at = float('-inf')

    def begin(self, now: float) -> None:
        """Start the ramp-up.

        :param now: current time in seconds.
        """
        self.started_at = now

    def reserved_fraction(self, now: float) -> float:
        """Return the fraction of the worker that has to stay free for now.

        :param now: current time in seconds.
        """
        elapsed = now - self.started_at
        if elapsed >= self.duration:
            return 0
        return (1 - RAMP_START_FRACTION) * (1 - elapsed / self.duration)


class Probation:
    """Limits a side with poor health to one probe task at a time."""

    def __init__(self) -> None:
        """Initialise without limits."""
        #: Whether the side gets only one short task at a time.
        self.is_limited = False
        #: Running tasks that were placed since, as probes.
        self.probes: set[Key] = set()
        #: Maximum expected run time of a probe, in seconds.
        self.max_probe_run_time = float('inf')
        #: Ratio of run times at the side to those in the fleet.
        self.slowness: float = 1

    def admits(self, need: Need) -> bool:
        """Return whether a task may be placed.

        Tasks placed before the side was limited do not count as probes: they
        run for long at a slow worker, which would get no probe meanwhile.

        :param need: estimated need of the task.
        """
        if not self.is_limited:
            return True
        return not self.probes and need.run_time <= self.max_probe_run_time

    def placed(self, key: Key) -> None:
        """Record a placed task.

        :param key: key of the task.
        """
        if self.is_limited:
            self.probes.add(key)

    def released(self, key: Key) -> None:
        """Record that a task no longer runs.

        :param key: key of the task.
        """
        self.probes.discard(key)


class Side:
    """State of one side as an entry knows it.

    :param side_id: identifier of the side.
    :param info: description of the side and its worker.
    :param ramp_time: time until a joining side has its full share, in seconds.
    """

    def __init__(
        self, side_id: str, info: SideInfo, ramp_time: float = RAMP_TIME
    ) -> None:
        """Initialise without room until the side reports some."""
        self.side_id = side_id
        self.info = info
        self.ramp = Ramp(ramp_time)
        #: Reported room less the resources of later placements.
        self.free = NO_RESOURCES
        #: Reported room, adjusted by later starts and ends of tasks that this
        #: entry has placed for others as their lead.
        self.reported_room = NO_RESOURCES
        #: Whether this entry is a lead, which knows the tasks of others too.
        self.is_lead = False
        self.unreported = UnreportedPlacements()
        self.reported_at = float('-inf')
        #: Whether the failure domain of the side is in service.
        self.is_open = True
        #: Time before which nothing is placed at the side.
        self.closed_until = float('-inf')
        self.probation = Probation()
        #: Number of tasks at the side that this entry has placed.
        self.outstanding = 0
        #: Resources that these tasks reserve.
        self.own_resources = NO_RESOURCES
        #: Ratio of run times at the side to those at the fast sides.
        self.run_time_factor: float = 1

    def report(self, room: Room, processed: int, now: float) -> None:
        """Update the free room from a report of the side.

        :param room: free room after the last batch that the side processed.
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
        """Compute the free room from the last report.

        At a lead, a report may lack tasks that other entries are just
        starting. Free room is therefore limited to what all known tasks leave.
        """
        self.free = self.reported_room.minus(self.unreported.total())
        if self.is_lead:
            worker_resources = Resources(
                self.info.cores, self.info.memory, self.info.accelerators
            )
            self.free = self.free.minimum(
                worker_resources.minus(self.own_resources)
            )

    def apply_offer(self, offer: Offer) -> None:
        """Add room that the side holds for this entry.

        :param offer: room that the side holds.
        """
        self.free = Resources(
            max(self.free.cores, offer.cores),
            max(self.free.memory, offer.memory),
            max(self.free.accelerators, offer.accelerators),
        )
        self.closed_until = float('-inf')

    def reserve(self, need: Need) -> None:
        """Reserve the resources of a placement until a report includes it.

        :param need: estimated need of the task.
        """
        resources = resources_of(need)
        self.unreported.unsent = self.unreported.unsent.plus(resources)
        self.free = self.free.minus(resources)
        self.own_resources = self.own_resources.plus(resources)
        self.outstanding += 1

    def release(self, need: Need) -> None:
        """Remove a placement; its room is free once the side reports it.

        :param need: estimated need of the task.
        """
        self.outstanding -= 1
        self.own_resources = self.own_resources.minus(resources_of(need))
        if not self.outstanding:
            # Discard accumulated rounding errors.
            self.own_resources = NO_RESOURCES

    def sent(self, number: int, resources: Resources) -> None:
        """Record that placements were sent in a batch.

        :param number: number of the batch.
        :param resources: resources that its placements reserve.
        """
        self.unreported.sent(number, resources)

    def record_delegated_start(self, need: Need) -> None:
        """Record that another entry sends a placement in its own batch.

        :param need: estimated need of the task.
        """
        resources = resources_of(need)
        self.unreported.unsent = self.unreported.unsent.minus(resources)
        self.reported_room = self.reported_room.minus(resources)

    def mark_reported(self, need: Need) -> None:
        """Record that the last report already includes a placement.

        :param need: estimated need of the task.
        """
        self.unreported.unsent = self.unreported.unsent.minus(
            resources_of(need)
        )
        self.update_free()

    def restore_room(self, need: Need) -> None:
        """Add back the room of another entry's task that has ended.

        :param need: estimated need of the task.
        """
        self.reported_room = self.reported_room.plus(resources_of(need))
        self.update_free()

    def close_until(self, until: float) -> None:
        """Block placements until a time, unless blocked for longer already.

        :param until: time in seconds.
        """
        self.closed_until = max(self.closed_until, until)

    @property
    def is_limited(self) -> bool:
        """Return whether the side gets only one short task at a time."""
        return self.probation.is_limited

    def takes_work(self, need: Need, now: float) -> bool:
        """Return whether the side may get a task, regardless of its room.

        :param need: estimated need of the task.
        :param now: current time in seconds.
        """
        if not self.is_open or now < self.closed_until:
            return False
        return self.probation.admits(need)

    def has_room(self) -> bool:
        """Return whether the side has any free cores and memory."""
        return self.free.cores > 0 and self.free.memory > 0

    def fits(self, need: Need, now: float) -> bool:
        """Return whether a task can be placed at the side now.

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
        """Return whether a task fits the worker while nothing else runs.

        :param need: estimated need of the task.
        """
        return (
            need.cores <= self.info.cores
            and need.memory <= self.info.memory
            and need.accelerators <= self.info.accelerators
            and self.info.serves(need)
        )

    def score(self) -> float:
        """Return the free fraction of the worker, divided by its slowness."""
        share = min(
            self.free.cores / self.info.cores,
            self.free.memory / self.info.memory,
        )
        return share / self.probation.slowness
