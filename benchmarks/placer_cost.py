"""Measures the processor time of placement decisions at the planned scale.

In the fleet that is planned for two years hence, each of sixty entries works
with 300 sides and places 3,800 tasks a second. The benchmark calls the placer
directly, without processes and messages.
"""

from __future__ import annotations

import json
import random
import time
from collections import deque
from typing import NamedTuple

from jackdawridge.execution.messages import Room
from jackdawridge.placement.admission import QueueBounds
from jackdawridge.placement.learning import Usage
from jackdawridge.placement.placer import Placer
from jackdawridge.placement.policies import RoomPolicy
from jackdawridge.placement.request import Placement, Request
from jackdawridge.placement.side_view import SideInfo

#: Number of teams whose jobs are queued.
TEAM_COUNT = 290

#: Tasks that the entry places a second.
TASKS_PER_SECOND = 3800

#: Number of cores of each worker.
CORES_PER_WORKER = 64

#: Number of tasks that end at a side between two of its reports.
ENDED_TASKS_PER_REPORT = 3

#: Number of tasks placed in one measurement.
MEASURED_TASKS = 8000


class Case(NamedTuple):
    """The configuration of one measurement."""

    sides: int
    tasks_of_a_job: int
    #: Whether the queue holds more tasks than there is room for.
    is_full: bool


CASES = (
    Case(11, 5, is_full=False),
    Case(300, 5, is_full=False),
    Case(300, 100, is_full=False),
    Case(300, 5, is_full=True),
    Case(300, 100, is_full=True),
)


class PlacerDriver:
    """Feeds a placer with jobs, outcomes and reports of sides.

    :param case: configuration of the measurement.
    """

    def __init__(self, case: Case) -> None:
        """Create the placer and let all sides join."""
        self.case = case
        self.random = random.Random('placer cost')
        self.placer = Placer(RoomPolicy('seed'), QueueBounds(1000000))
        self.now: float = 10
        self.batch = 0
        self.job_count = 0
        self.placed_count = 0
        #: Running tasks of each side, oldest first.
        self.running: dict[str, deque[Placement]] = {}
        for number in range(case.sides):
            side_id = f'side-{number}'
            info = SideInfo('soweto', CORES_PER_WORKER, 1000000, 0)
            self.placer.side_joined(side_id, info, 0)
            self.running[side_id] = deque()
            self.report_room(side_id)

    def enqueue_job(self) -> None:
        """Enqueue one job of a random team and kind."""
        self.job_count += 1
        team = f'team-{self.random.randrange(TEAM_COUNT)}'
        kind = f'kind-{self.random.randrange(50)}'
        requests = [
            Request(f't{self.job_count}', task, team, kind, 1, 100, 0, 0.3)
            for task in range(self.case.tasks_of_a_job)
        ]
        self.placer.enqueue(requests, self.now)

    def place_tasks(self) -> None:
        """Run a placement pass and record its placements as sent."""
        by_side: dict[str, list[Placement]] = {}
        for placement in self.placer.place(self.now):
            by_side.setdefault(placement.side_id, []).append(placement)
        self.batch += 1
        for side_id, placements in by_side.items():
            self.placer.sent(side_id, self.batch, placements)
            self.running[side_id].extend(placements)
            self.placed_count += len(placements)

    def end_tasks(self) -> None:
        """End the oldest tasks of a random side and report its room."""
        side_id = self.random.choice(list(self.running))
        usage = Usage(1, 100, self.random.uniform(0.1, 0.5))
        running = self.running[side_id]
        for _ in range(min(ENDED_TASKS_PER_REPORT, len(running))):
            placement = running.popleft()
            self.placer.ended(
                placement.request.key, side_id, 'succeeded', usage, self.now
            )
        self.report_room(side_id)

    def report_room(self, side_id: str) -> None:
        """Report the actual free room of a side to the placer."""
        running = len(self.running[side_id])
        room = Room(CORES_PER_WORKER - running, 1000000, 0, running)
        self.placer.side_reported(side_id, room, self.batch, self.now)

    def step(self) -> None:
        """Simulate one report of a side, refill the queue and place tasks."""
        self.now += ENDED_TASKS_PER_REPORT / TASKS_PER_SECOND
        self.end_tasks()
        min_queued = 5000 if self.case.is_full else 1
        while self.placer.queues.queued < min_queued:
            self.enqueue_job()
        self.place_tasks()


def measure(case: Case) -> float:
    """Return the processor time per placed task, in microseconds.

    Tasks are placed on half of the cores before the measurement starts.

    :param case: configuration of the measurement.
    """
    driver = PlacerDriver(case)
    half_of_cores = case.sides * CORES_PER_WORKER / 2
    while driver.placed_count < half_of_cores:
        driver.enqueue_job()
        driver.place_tasks()
    driver.placed_count = 0
    began = time.process_time()
    while driver.placed_count < MEASURED_TASKS:
        driver.step()
    return (time.process_time() - began) / driver.placed_count * 1e6


def main() -> None:
    """Print the results of all cases as JSON, one a line."""
    for case in CASES:
        row = {**case._asdict(), 'us_a_task': round(measure(case), 1)}
        print(json.dumps(row))


if __name__ == '__main__':
    main()
