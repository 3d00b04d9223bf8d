"""The sides of an entry, and the events that change their share of work."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.health import FleetHealth
from jackdawridge.placement.resources import NO_RESOURCES, Resources
from jackdawridge.placement.side_view import (
    RAMP_TIME,
    Side,
    SideInfo,
)
from jackdawridge.placement.worker_kinds import WorkerKinds

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.execution.messages import Offer, Room
    from jackdawridge.placement.learning import Need
    from jackdawridge.placement.request import Request

#: Time in seconds without placements at a side that refused a start for
#: another reason than lack of room.
REFUSAL_WAIT = 0.2


class ServiceCapacity(NamedTuple):
    """Total and used cores of the workers of a service."""

    cores: float
    #: Cores used by the tasks of all entries, as far as known.
    used: float
    #: Cores used by the tasks that this entry has placed.
    own: float


class Fleet:
    """Tracks the state of all sides that the entry knows."""

    def __init__(self) -> None:
        """Initialise without sides."""
        #: Time in seconds until a side that joins or returns gets its full
        #: share of the work.
        self.ramp_time = RAMP_TIME
        self.sides: dict[str, Side] = {}
        self.open_sides: list[Side] = []
        #: Time at which the last side joined.
        self.last_joined_at = float('-inf')
        self.out_of_service: set[str] = set()
        #: Whether this entry is a lead, which also decides for other entries.
        self.is_lead = False
        self.health = FleetHealth()
        self.worker_kinds = WorkerKinds()
        #: Moving average of the expected run times of placed tasks, in
        #: seconds; 0 before the first.
        self.typical_run_time: float = 0
        #: Total resources of the workers of the open sides.
        self.capacity = NO_RESOURCES
        #: One description per size of worker that has ever been known.
        self.known_workers: list[SideInfo] = []

    def side_joined(self, side_id: str, info: SideInfo, now: float) -> None:
        """Add a side, which gets no work until it reports room.

        :param side_id: identifier of the side, a new one after each restart.
        :param info: description of the side and its worker.
        :param now: current time in seconds.
        """
        side = Side(side_id, info, self.ramp_time)
        side.is_lead = self.is_lead
        side.ramp.begin(now)
        self.last_joined_at = now
        self.sides[side_id] = side
        if not any(is_same_shape(info, shape) for shape in self.known_workers):
            self.known_workers.append(info)
        self.refresh_open_sides()

    def side_left(self, side_id: str) -> None:
        """Remove a side whose link has closed.

        Its tasks stay assigned until they are reported as ended, refused or
        lost.

        :param side_id: identifier of the side.
        """
        self.sides.pop(side_id, None)
        self.health.forget(side_id)
        self.refresh_open_sides()

    def side_reported(
        self, side_id: str, room: Room, processed: int, now: float
    ) -> None:
        """Update the free room of a side from its report.

        :param side_id: identifier of the side.
        :param room: free room after the last batch that the side processed.
        :param processed: number of that batch.
        :param now: current time in seconds.
        """
        side = self.sides.get(side_id)
        if side is not None:
            side.report(room, processed, now)

    def set_lead(self, is_lead: bool) -> None:
        """Start or stop deciding for other entries.

        A lead also accounts for the tasks of other entries at each side.

        :param is_lead: whether this entry is a lead.
        """
        self.is_lead = is_lead
        for side in self.sides.values():
            side.is_lead = is_lead

    def domain_changed(
        self, failure_domain: str, in_service: bool, now: float
    ) -> None:
        """Take a failure domain out of service, or ramp it up again.

        :param failure_domain: name of the failure domain.
        :param in_service: whether tasks may be placed there.
        :param now: current time in seconds.
        """
        was_in_service = failure_domain not in self.out_of_service
        if in_service == was_in_service:
            return
        if in_service:
            self.out_of_service.discard(failure_domain)
            self.ramp_up(failure_domain, now)
        else:
            self.out_of_service.add(failure_domain)
        self.refresh_open_sides()

    def ramp_up(self, failure_domain: str, now: float) -> None:
        """Start the ramp-up of the sides of a failure domain.

        :param failure_domain: name of the failure domain.
        :param now: current time in seconds.
        """
        for side in self.sides.values():
            if side.info.failure_domain == failure_domain:
                side.ramp.begin(now)
                side.closed_until = float('-inf')

    def offer_received(self, side_id: str, offer: Offer, now: float) -> None:
        """Add room that a side holds for this entry.

        :param side_id: identifier of the side.
        :param offer: room that the side holds.
        :param now: current time in seconds.
        """
        side = self.sides.get(side_id)
        if side is not None:
            side.apply_offer(offer)
            side.reported_at = now

    def refresh_open_sides(self) -> None:
        """Update the open sides, which take work, and their capacity."""
        for side in self.sides.values():
            side.is_open = self.is_in_service(side)
        self.open_sides = list(filter(is_open, self.sides.values()))
        self.capacity = total_resources(
            usable.info for usable in self.open_sides
        )

    def is_in_service(self, side: Side) -> bool:
        """Return whether the failure domain of a side is in service.

        :param side: side to check.
        """
        return side.info.failure_domain not in self.out_of_service

    def dominant_share(self, need: Need) -> float:
        """Return the dominant share of a task.

        That is the largest of its fractions of the cores, memory and
        accelerators of the open sides.

        :param need: estimated need of the task.
        """
        cores, memory, accelerators = self.capacity
        return max(
            need.cores / max(cores, 1),
            need.memory / max(memory, 1),
            need.accelerators / max(accelerators, 1),
        )

    def service_capacity(self, service: str) -> ServiceCapacity:
        """Return the capacity and usage of the open sides of a service.

        :param service: name of the service; empty for all open sides.
        """
        cores: float = 0
        used: float = 0
        own: float = 0
        for side in self.open_sides:
            if not service or service == side.info.service:
                cores += side.info.cores
                used += side.info.cores - max(side.free.cores, 0)
                own += side.own_resources.cores
        return ServiceCapacity(cores, used, own)

    def apply_health(self, side_id: str) -> None:
        """Limit a side, or lift its limit, according to its health.

        :param side_id: identifier of the side.
        """
        side = self.sides.get(side_id)
        if side is None:
            return
        verdict = self.health.evaluate(side_id, len(self.open_sides))
        if side.is_limited and not verdict.is_limited:
            side.closed_until = float('-inf')
        side.probation.is_limited = verdict.is_limited
        side.probation.max_probe_run_time = self.typical_run_time
        side.probation.slowness = verdict.slowness
        side.close_until(verdict.closed_until)

    def update_run_time_factors(self) -> None:
        """Update the run time factor of each side.

        A side has the factor of its kind where the kinds are far apart, and
        otherwise the one that was learned for the side.
        """
        kind_factors = self.worker_kinds.factors
        side_factors = {} if kind_factors else self.health.run_time_factors()
        for side_id, side in self.sides.items():
            side.run_time_factor = kind_factors.get(
                side.info.worker_kind, side_factors.get(side_id, 1)
            )

    def fits_known_worker(self, need: Need) -> bool:
        """Return whether a task fits any worker that has ever been known.

        :param need: estimated need of the task.
        """
        return any(
            need.cores <= info.cores
            and need.memory <= info.memory
            and need.accelerators <= info.accelerators
            and info.serves(need)
            for info in self.known_workers
        )

    def limit_to_worker(self, need: Need, request: Request) -> Need:
        """Limit an estimate to the size of a worker that fits the declaration.

        Without such a limit a task whose need is overestimated would fit no
        worker at all.

        :param need: estimated need of the task.
        :param request: request of the task, with the declared needs.
        """
        if not self.known_workers or self.fits_known_worker(need):
            return need
        for info in self.known_workers:
            if request.accelerators <= info.accelerators and (
                request.cores <= info.cores and request.memory <= info.memory
            ):
                return need._replace(
                    cores=min(need.cores, info.cores),
                    memory=min(need.memory, info.memory),
                )
        return need


def is_open(side: Side) -> bool:
    """Return whether a side is open for new tasks.

    :param side: side to check.
    """
    return side.is_open


def is_same_shape(info: SideInfo, other: SideInfo) -> bool:
    """Return whether two workers have the same size and service.

    :param info: description of a side and its worker.
    :param other: description of another side.
    """
    neutral = info._replace(
        failure_domain=other.failure_domain, worker_kind=other.worker_kind
    )
    return neutral == other


def total_resources(infos: Iterable[SideInfo]) -> Resources:
    """Return the total resources of workers.

    :param infos: descriptions of the workers by their sides.
    """
    resources = NO_RESOURCES
    for info in infos:
        resources = resources.plus(
            Resources(info.cores, info.memory, info.accelerators)
        )
    return resources
