"""Placers with sides that are modelled in memory, for the tests."""

from __future__ import annotations

from jackdawridge.execution.messages import Room
from jackdawridge.placement.admission import QueueBounds
from jackdawridge.placement.learning import Usage
from jackdawridge.placement.placer import Placer
from jackdawridge.placement.policies import RoomPolicy
from jackdawridge.placement.request import Placement, Request
from jackdawridge.placement.side_view import SideInfo

WORKER = SideInfo('soweto', cores=16, memory=1000, accelerators=1)
#: Tolerance for rounding errors in sums of cores.
ROUNDING_TOLERANCE = 0.001

SUCCESS = Usage(cores=1, memory=10, run_time=0.1)


def make_request(
    ticket: str = 't',
    task: int = 0,
    *,
    team: str = 'payroll',
    cores: float = 1,
    accelerators: int = 0,
) -> Request:
    """Return a request whose kind is named after its cores."""
    kind = f'{cores}'
    return Request(ticket, task, team, kind, cores, 10, accelerators, 0.1)


def make_job(
    tasks: int, ticket: str = 't', team: str = 'payroll'
) -> list[Request]:
    """Return the requests of the tasks of a job."""
    return [make_request(ticket, task, team=team) for task in range(tasks)]


def make_placer(sides: int = 3, limit: int = 1000) -> Placer:
    """Return a placer whose sides have ramped up by time 10."""
    placer = Placer(RoomPolicy('seed'), QueueBounds(limit))
    for number in range(sides):
        side_id = f's{number}'
        placer.side_joined(side_id, WORKER, 0)
        placer.side_reported(side_id, Room(16, 1000, 1, 0), 0, 9)
    return placer


def placements_at(
    side_id: str, placements: tuple[Placement, ...]
) -> list[Placement]:
    """Return the placements at one side."""
    return [found for found in placements if found.side_id == side_id]


def finish(
    placer: Placer, placement: Placement, now: float, outcome: str = 'succeeded'
) -> None:
    """Report the end of a task."""
    key = placement.request.key
    placer.ended(key, placement.side_id, outcome, SUCCESS, now)
