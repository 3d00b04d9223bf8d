"""The sides of an entry, and what changes their part of the work."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.placement.health import FleetHealth
from jackdawridge.placement.view import (
    NO_RESOURCES,
    RAMP_TIME,
    Resources,
    Side,
    SideInfo,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.execution.messages import Offer, Room
    from jackdawridge.placement.learning import Need
    from jackdawridge.placement.request import Request

#: Wait after a refusal that is not for lack of room, in seconds.
REFUSAL_WAIT = 0.2


class ServiceCapacity(NamedTuple):
    """Cores of the workers of a service."""

    cores: float
    #: By the tasks of all entries, as far as it is known.
    used: float
    #: By the tasks that this entry has decided on.
    own: float


class Fleet:
    """Keeps the view of each side current."""

    def __init__(self) -> None:
        """Begin without sides."""
        #: Time in which a side that joins or returns comes to its full share,
        #: in seconds.
        self.ramp_time = RAMP_TIME
        self.sides: dict[str, Side] = {}
        self.open_sides: list[Side] = []
        #: When a side joined last.
        self.last_joined_at = float('-inf')
        self.out_of_service: set[str] = set()
        #: Whether this entry decides for others too.
        self.is_joint = False
        self.health = FleetHealth()
        #: Mean expected run time of the tasks placed last, in seconds; 0 if
        #: there were none.
        self.typical_run_time: float = 0
        #: What the open sides have together.
        self.capacity = NO_RESOURCES
        #: One side for each size of worker that was ever known.
        self.known_workers: list[SideInfo] = []

    def side_joined(self, side_id: str, info: SideInfo, now: float) -> None:
        """Take in a side; it gets no work until it reports room.

        :param side_id: identifies the side, anew after it restarted.
        :param info: what the side says about itself.
        :param now: current time in seconds.
        """
        side = Side(side_id, info, self.ramp_time)
        side.is_joint = self.is_joint
        side.ramp.begin(now)
        self.last_joined_at = now
        self.sides[side_id] = side
        if all(info[1:] != shape[1:] for shape in self.known_workers):
            self.known_workers.append(info)
        self.refresh()

    def side_left(self, side_id: str) -> None:
        """Forget a side whose link has ended.

        What was placed there stays reserved until it is reported as ended,
        refused or lost.

        :param side_id: identifier of the side.
        """
        self.sides.pop(side_id, None)
        self.health.forget(side_id)
        self.refresh()

    def side_reported(
        self, side_id: str, room: Room, processed: int, now: float
    ) -> None:
        """Take in the room that a side reports.

        :param side_id: identifier of the side.
        :param room: as of the last batch that the side has handled.
        :param processed: number of that batch.
        :param now: current time in seconds.
        """
        side = self.sides.get(side_id)
        if side is not None:
            side.report(room, processed, now)

    def decide_jointly(self, is_joint: bool) -> None:
        """Begin or cease to count what other entries have at each side.

        :param is_joint: whether this entry decides for others too.
        """
        self.is_joint = is_joint
        for side in self.sides.values():
            side.is_joint = is_joint

    def domain_changed(
        self, failure_domain: str, in_service: bool, now: float
    ) -> None:
        """Take a failure domain out of service, or back in with a ramp.

        :param failure_domain: name of the failure domain.
        :param in_service: whether work may be placed there.
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
        self.refresh()

    def ramp_up(self, failure_domain: str, now: float) -> None:
        """Begin the ramp of the sides of a failure domain.

        :param failure_domain: name of the failure domain.
        :param now: current time in seconds.
        """
        for side in self.sides.values():
            if side.info.failure_domain == failure_domain:
                side.ramp.begin(now)
                side.closed_until = float('-inf')

    def offer_received(self, side_id: str, offer: Offer, now: float) -> None:
        """Take in room that a side holds for this entry.

        :param side_id: identifier of the side.
        :param offer: room that the side holds.
        :param now: current time in seconds.
        """
        side = self.sides.get(side_id)
        if side is not None:
            side.apply_offer(offer)
            side.reported_at = now

    def refresh(self) -> None:
        """Decide again which sides take work."""
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
        """Return the largest part of the room that a task takes.

        :param need: estimated need of the task.
        """
        cores, memory, accelerators = self.capacity
        return max(
            need.cores / max(cores, 1),
            need.memory / max(memory, 1),
            need.accelerators / max(accelerators, 1),
        )

    def service_capacity(self, service: str) -> ServiceCapacity:
        """Return the room of the open sides of a service.

        :param service: any side counts if it is empty.
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
        """Apply the health of a side to its part of the work.

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
        """Note how the speeds of the sides differ."""
        run_time_factors = self.health.run_time_factors()
        for side_id, side in self.sides.items():
            side.pace = run_time_factors.get(side_id, 1)

    def fits_known_worker(self, need: Need) -> bool:
        """Return whether a task fits any worker that was ever known.

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
        """Limit an estimate to a worker that fits what was declared.

        :param need: estimated need of the task.
        :param request: request of the task.
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
    """Return whether a side takes new work.

    :param side: side to check.
    """
    return side.is_open


def total_resources(infos: Iterable[SideInfo]) -> Resources:
    """Return what workers have together.

    :param infos: what their sides say about them.
    """
    resources = NO_RESOURCES
    for info in infos:
        resources = resources.plus(
            Resources(info.cores, info.memory, info.accelerators)
        )
    return resources
