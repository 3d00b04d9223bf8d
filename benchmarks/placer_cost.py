"""Processor time of the placement's decisions at the size of two years hence.

One entry of sixty works with 300 sides and places 3,800 tasks a second. This
drives the decisions alone, without processes and messages.
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

#: Teams whose jobs are queued.
TEAMS = 290

#: Cores of each worker.
CORES = 64

#: Tasks that a side ends before it reports.
ENDINGS = 3

#: Tasks that are placed in one measurement.
TASKS = 8000


class Case(NamedTuple):
    """What is measured."""

    sides: int
    tasks_of_a_job: int
    #: Whether more is queued than there is room for.
    is_full: bool


CASES = (
    Case(11, 5, is_full=False),
    Case(300, 5, is_full=False),
    Case(300, 100, is_full=False),
    Case(300, 5, is_full=True),
    Case(300, 100, is_full=True),
)


class Driver:
    """Feeds a placer with jobs and outcomes.

    :param case: what is measured.
    """

    def __init__(self, case: Case) -> None:
        """Let all sides join."""
        self.case = case
        self.random = random.Random('placer cost')
        self.placer = Placer(RoomPolicy('seed'), QueueBounds(1000000))
        self.now: float = 10
        self.batch = 0
        self.jobs = 0
        self.placed = 0
        #: Running tasks by side, the oldest first.
        self.running: dict[str, deque[Placement]] = {}
        for number in range(case.sides):
            side_id = f'side-{number}'
            info = SideInfo('soweto', CORES, 1000000, 0)
            self.placer.side_joined(side_id, info, 0)
            self.running[side_id] = deque()
            self.report(side_id)

    def submit(self) -> None:
        """Queue one job."""
        self.jobs += 1
        team = f'team-{self.random.randrange(TEAMS)}'
        kind = f'kind-{self.random.randrange(50)}'
        requests = [
            Request(f't{self.jobs}', task, team, kind, 1, 100, 0, 0.3)
            for task in range(self.case.tasks_of_a_job)
        ]
        self.placer.enqueue(requests, self.now)

    def place(self) -> None:
        """Place, and note what is sent."""
        by_side: dict[str, list[Placement]] = {}
        for placement in self.placer.place(self.now):
            by_side.setdefault(placement.side_id, []).append(placement)
        self.batch += 1
        for side_id, placements in by_side.items():
            self.placer.sent(side_id, self.batch, placements)
            self.running[side_id].extend(placements)
            self.placed += len(placements)

    def end_some(self) -> None:
        """End tasks of one side, and report its room."""
        side_id = self.random.choice(list(self.running))
        usage = Usage(1, 100, self.random.uniform(0.1, 0.5))
        running = self.running[side_id]
        for _ in range(min(ENDINGS, len(running))):
            placement = running.popleft()
            self.placer.ended(
                placement.request.key, side_id, 'succeeded', usage, self.now
            )
        self.report(side_id)

    def report(self, side_id: str) -> None:
        """Report the real room of a side."""
        running = len(self.running[side_id])
        room = Room(CORES - running, 1000000, 0, running)
        self.placer.side_reported(side_id, room, self.batch, self.now)

    def step(self) -> None:
        """Let one side report, and jobs come as there is room or more."""
        self.now += ENDINGS / 3800
        self.end_some()
        wanted = 5000 if self.case.is_full else 1
        while self.placer.queues.queued < wanted:
            self.submit()
        self.place()


def measure(case: Case) -> float:
    """Return the processor time of one task, in microseconds.

    :param case: what is measured.
    """
    driver = Driver(case)
    half = case.sides * CORES / 2
    while driver.placed < half:
        driver.submit()
        driver.place()
    driver.placed = 0
    began = time.process_time()
    while driver.placed < TASKS:
        driver.step()
    return (time.process_time() - began) / driver.placed * 1e6


def main() -> None:
    """Print the figures of all cases."""
    for case in CASES:
        figures = {**case._asdict(), 'us_a_task': round(measure(case), 1)}
        print(json.dumps(figures))


if __name__ == '__main__':
    main()
