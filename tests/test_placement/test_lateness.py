"""Tests of late jobs under overload.

Without demotion, jobs that are late already would be placed first during a
burst and make all later jobs late as well.
"""

from __future__ import annotations

import math

from jackdawridge.execution.messages import Room
from jackdawridge.placement.admission import QueueBounds
from jackdawridge.placement.placer import Placer
from jackdawridge.placement.policies import RoomPolicy
from jackdawridge.placement.request import Objective, Request
from jackdawridge.placement.shedding import SETTLING_TIME
from jackdawridge.placement.side_view import SideInfo

CORES = 10
OBJECTIVE = Objective(1.5, 0.1)
RUN_TIME = 0.4
#: Times after arrival, in seconds, up to which a start meets the objective,
#: and up to which it is of any use.
LATEST_START_IN_TIME = 0.22
EXPIRES_AFTER = 1.7


class PlacerHarness:
    """A placer with one side, which is full until a report frees room."""

    def __init__(self) -> None:
        self.placer = Placer(RoomPolicy(), QueueBounds(10000))
        self.placer.side_joined('s', SideInfo('d', CORES, 1000, 0), -10)
        self.report(0, -10)
        self.jobs = 0
        self.batch = 0

    def report(self, cores: float, now: float) -> None:
        self.placer.side_reported('s', Room(cores, 1000, 0, 0), 10**6, now)

    def arrive(
        self, now: float, tasks: int = 1, patience: float = math.inf
    ) -> str:
        self.jobs += 1
        ticket = f'job {self.jobs}'
        requests = [
            Request(ticket, task, 'team', 'kind', 1, 1, 0, RUN_TIME)
            for task in range(tasks)
        ]
        objective = OBJECTIVE._replace(patience=patience)
        assert self.placer.enqueue(requests, now, objective).is_ok()
        return ticket

    def shed_expired(self, now: float) -> list[str]:
        found = [
            rejected.request.ticket
            for rejected in self.placer.load_shedder.shed_expired(now)
        ]
        for ticket in found:
            self.placer.cancel(ticket)
        return found

    def shed_excess(self, now: float) -> list[str]:
        found = self.placer.load_shedder.shed_excess(now)
        return [rejected.request.ticket for rejected in found]

    def place(self, now: float) -> list[str]:
        placed = self.placer.place(now)
        self.batch += 1
        self.placer.sent('s', self.batch, placed)
        return [placement.request.ticket for placement in placed]


class TestLateness:
    def test_job_in_time_is_placed_before_late_job(self) -> None:
        harness = PlacerHarness()
        late = harness.arrive(0)
        fresh = harness.arrive(0.5)
        assert not harness.shed_expired(0.5)
        harness.report(1, 0.5)
        assert harness.place(0.5) == [fresh]
        harness.report(1, 0.6)
        assert harness.place(0.6) == [late]

    def test_late_job_is_shed_once_it_has_expired(self) -> None:
        harness = PlacerHarness()
        late = harness.arrive(0)
        assert not harness.shed_expired(LATEST_START_IN_TIME + 0.1)
        assert not harness.shed_expired(EXPIRES_AFTER - 0.1)
        assert harness.shed_expired(EXPIRES_AFTER + 0.1) == [late]

    def test_job_of_caller_with_too_little_patience_is_shed(self) -> None:
        """A retrying caller that leaves before the end is refused at once."""
        harness = PlacerHarness()
        leaving = harness.arrive(0, patience=RUN_TIME - 0.1)
        staying = harness.arrive(0, patience=RUN_TIME + 0.1)
        assert harness.shed_expired(0) == [leaving]
        harness.report(1, 0)
        assert harness.place(0) == [staying]

    def test_job_of_less_patient_caller_is_placed_first(self) -> None:
        harness = PlacerHarness()
        harness.arrive(0)
        short = harness.arrive(0.01, patience=RUN_TIME + 0.1)
        harness.report(1, 0.02)
        assert not harness.shed_expired(0.02)
        assert harness.place(0.02) == [short]

    def test_late_job_without_room_is_shed_at_once(self) -> None:
        harness = PlacerHarness()
        late = harness.arrive(0, 2)
        harness.report(0, LATEST_START_IN_TIME + 0.1)
        assert not harness.shed_expired(LATEST_START_IN_TIME + 0.1)
        assert not harness.place(LATEST_START_IN_TIME + 0.1)
        assert harness.shed_excess(LATEST_START_IN_TIME + 0.1) == [late]
        harness.placer.cancel(late)
        fresh = harness.arrive(LATEST_START_IN_TIME + 0.1)
        harness.report(1, LATEST_START_IN_TIME + 0.1)
        assert harness.place(LATEST_START_IN_TIME + 0.1) == [fresh]

    def test_late_job_waits_while_capacity_grows(self) -> None:
        harness = PlacerHarness()
        late = harness.arrive(0)
        harness.placer.side_joined(
            't', SideInfo('d', CORES, 1000, 0), LATEST_START_IN_TIME
        )
        assert not harness.shed_expired(LATEST_START_IN_TIME + 0.1)
        assert not harness.shed_excess(LATEST_START_IN_TIME + 0.1)
        assert harness.shed_excess(LATEST_START_IN_TIME + SETTLING_TIME) == [
            late
        ]

    def test_late_job_that_has_started_is_completed(self) -> None:
        harness = PlacerHarness()
        late = harness.arrive(0, 2)
        assert not harness.shed_expired(LATEST_START_IN_TIME + 0.1)
        harness.report(1, LATEST_START_IN_TIME + 0.1)
        assert harness.place(LATEST_START_IN_TIME + 0.1) == [late]
        harness.arrive(LATEST_START_IN_TIME + 0.1)
        assert not harness.shed_excess(LATEST_START_IN_TIME + 0.1)
        harness.report(1, LATEST_START_IN_TIME + 0.2)
        assert harness.place(LATEST_START_IN_TIME + 0.2) == [late]

    def test_started_job_keeps_its_order(self) -> None:
        harness = PlacerHarness()
        started = harness.arrive(0, 2)
        harness.report(1, 0)
        assert harness.place(0) == [started]
        harness.arrive(0.5)
        assert not harness.shed_expired(0.5)
        harness.report(1, 0.5)
        assert harness.place(0.5) == [started]

    def test_requeued_task_of_late_job_stays_late(self) -> None:
        harness = PlacerHarness()
        late = harness.arrive(0)
        assert not harness.shed_expired(LATEST_START_IN_TIME + 0.1)
        harness.report(1, LATEST_START_IN_TIME + 0.1)
        assert harness.place(LATEST_START_IN_TIME + 0.1) == [late]
        assignment = harness.placer.discard_assignment((late, 0))
        assert assignment is not None
        harness.placer.requeue(assignment)
        assert harness.shed_expired(EXPIRES_AFTER + 0.1) == [late]

    def test_burst_leaves_most_jobs_in_time(self) -> None:
        """The load is 1.5 times the capacity for 4 s, one task per job."""
        harness = PlacerHarness()
        served: dict[str, float] = {}
        arrived: dict[str, float] = {}
        running: list[float] = []
        for step in range(600):
            now = step / 100
            if now < 4 and step % 8 < 3:
                arrived[harness.arrive(now)] = now
            harness.shed_expired(now)
            running = [until for until in running if until > now]
            harness.report(CORES - len(running), now)
            for ticket in harness.place(now):
                served[ticket] = now
                running.append(now + RUN_TIME)
        in_time = [
            ticket
            for ticket, start in served.items()
            if start - arrived[ticket] <= LATEST_START_IN_TIME
        ]
        # The capacity suffices for at most two thirds of the work.
        assert len(in_time) >= 0.6 * len(arrived)


class TestRamp:
    def test_side_without_ramp_is_used_fully_at_once(self) -> None:
        placer = Placer(RoomPolicy(), QueueBounds(1000))
        placer.ramp_time = 0
        placer.side_joined('s', SideInfo('d', CORES, 1000, 0), 0)
        placer.side_reported('s', Room(CORES, 1000, 0, 0), 0, 0)
        requests = [
            Request('job', task, 'team', 'kind', 1, 1, 0, RUN_TIME)
            for task in range(CORES)
        ]
        assert placer.enqueue(requests, 0, OBJECTIVE).is_ok()
        assert len(placer.place(0)) == CORES
