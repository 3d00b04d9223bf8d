"""Tests of load shedding when the load exceeds the capacity."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple

import pytest

from jackdawridge.execution.messages import Room
from jackdawridge.placement.admission import QueueBounds
from jackdawridge.placement.placer import Placer
from jackdawridge.placement.policies import RoomPolicy
from jackdawridge.placement.queued_jobs import Job, Standing
from jackdawridge.placement.request import Objective, Placement, Request
from jackdawridge.placement.shedding import (
    SETTLING_TIME,
    Release,
    find_excess,
)
from jackdawridge.placement.side_view import SideInfo
from tests.test_placement.overload import Job as ReplayJob
from tests.test_placement.overload import Outcome, Replay, make_jobs

CORES = 10
RUN_TIME = 0.4
ENTRIES = 4
EVEN_FRACTION = 1 / ENTRIES
OBJECTIVE = Objective(1.5, 0.1)
#: Number of workers left of eleven while a failure domain is out of service.
SIDES_LEFT = 7
#: Loads that are 1.13 and 1.47 times the capacity of these.
OVERLOADS = (1.0, 1.3)
#: Fraction of the target response time within which a refusal should come.
MAX_REFUSAL_FRACTION = 0.25


next_sequence = itertools.count()


def make_job(
    name: str,
    share: float,
    deadline: float,
    *,
    priority: int = 0,
    queued_at: float = 0,
) -> Job:
    """Return a waiting job of one task.

    :param name: ticket of the job.
    :param share: fraction of the capacity that it takes for one second.
    :param deadline: latest start that meets its objective.
    :param priority: priority of the job.
    :param queued_at: time of arrival of the job.
    """
    request = Request(name, 0, 'team', 'kind', 1, 1, 0, 1)
    job = Job([request], next(next_sequence))
    job.standing = Standing(
        deadline,
        queued_at,
        expires_at=9,
        total_work=share,
        share=share,
        priority=priority,
    )
    return job


def shed_tickets(*jobs: Job, release_count: int = 10) -> list[str]:
    """Return the tickets of the jobs that are shed at time 0.

    :param jobs: waiting jobs in the order of placement.
    :param release_count: number of releases, one each 0.1 s, of a tenth of
        the capacity each.
    """
    releases = [
        Release(0.1 * (1 + number), 0.1) for number in range(release_count)
    ]
    return [one.job.ticket for one in find_excess(jobs, 0, releases)]


class TestFindExcess:
    def test_jobs_that_can_start_in_time_are_kept(self) -> None:
        jobs = [make_job(str(number), 0.1, 0.5) for number in range(4)]
        assert not shed_tickets(*jobs)

    def test_newest_of_equals_is_shed(self) -> None:
        jobs = [
            make_job('old', 0.4, 0.5, queued_at=-2),
            make_job('new', 0.4, 0.6, queued_at=-1),
        ]
        assert shed_tickets(*jobs) == ['new']

    def test_least_important_is_shed(self) -> None:
        jobs = [
            make_job('minor', 0.1, 0.5, priority=2, queued_at=-2),
            make_job('major', 0.4, 0.45, priority=0, queued_at=-1),
        ]
        assert shed_tickets(*jobs) == ['minor']

    def test_less_important_job_is_shed_sooner(self) -> None:
        assert not shed_tickets(make_job('major', 0.4, 0.5))
        assert shed_tickets(make_job('minor', 0.4, 0.5, priority=1)) == [
            'minor'
        ]

    def test_no_more_jobs_than_needed_are_shed(self) -> None:
        jobs = [
            make_job('first', 0.1, 0.3),
            make_job('minor', 0.3, 0.9, priority=1),
            make_job('last', 0.1, 0.4),
        ]
        assert shed_tickets(*jobs) == ['minor']

    def test_late_release_sheds_all(self) -> None:
        jobs = [make_job(str(number), 0.1, 0.5) for number in range(4)]
        late_releases = [Release(0.6, 1)]
        assert len(find_excess(jobs, 0, late_releases)) == len(jobs)

    def test_started_jobs_free_their_room(self) -> None:
        jobs = [make_job(str(number), 0.5, 1.5) for number in range(2)]
        for job in jobs:
            job.standing = job.standing._replace(total_work=0.1)
        assert not find_excess(jobs, 0, [Release(0.1, 0.5)])

    def test_nothing_is_shed_without_known_releases(self) -> None:
        assert not shed_tickets(make_job('any', 0.5, 0.1), release_count=0)

    def test_started_job_is_kept(self) -> None:
        started = make_job('begun', 0.5, 0.1, priority=2)
        started.has_begun = True
        assert shed_tickets(started, make_job('new', 0.4, 0.5)) == ['new']

    def test_job_without_objective_is_kept(self) -> None:
        without_objective = make_job('lasting', 0.9, 0.1)
        without_objective.standing = without_objective.standing._replace(
            expires_at=float('inf')
        )
        assert not shed_tickets(without_objective)

    def test_job_without_measurable_share_is_kept(self) -> None:
        assert not shed_tickets(make_job('none', 0, 0.1))

    def test_late_job_is_kept(self) -> None:
        late = make_job('late', 0.9, 0.1)
        late.standing = late.standing._replace(is_late=True)
        assert not shed_tickets(late)


class TestHugeJob:
    """A job that asks for many times the capacity of all workers."""

    @pytest.mark.parametrize('share', [1e8, 1e300])
    def test_effort_does_not_grow_with_its_size(
        self, share: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        pushes: list[object] = []

        def push(heap: list[Release], entry: Release) -> None:  # noqa: WPS430
            pushes.append(entry)
            assert len(pushes) < 1000
            heapq.heappush(heap, entry)

        monkeypatch.setattr(
            'jackdawridge.placement.shedding.heapq', HeapCalls(push)
        )
        assert shed_tickets(make_job('huge', share, 0.5)) == ['huge']

    def test_it_takes_no_room_from_others(self) -> None:
        world = PlacerHarness()
        assert not world.arrive('huge', 'a', 1, 0.2, memory=2**40)
        assert not world.arrive('next', 'a', 1, 0.2)
        assert not world.shed_tickets(0.2)
        rejected = world.placer.reject_impossible(0.2)
        assert [one.request.ticket for one in rejected] == ['huge']


class HeapCalls(NamedTuple):
    """The functions of `heapq`, one of which is replaced."""

    heappush: Callable[[list[Release], Release], None]
    heappop: Callable[[list[Release]], Release] = heapq.heappop
    heapify: Callable[[list[Release]], None] = heapq.heapify


class PlacerHarness:
    """A placer with a side for each of two services, both full."""

    def __init__(self) -> None:
        self.placer = Placer(RoomPolicy(), QueueBounds(10000))
        self.placer.entries_changed(ENTRIES, {})
        for service in ('a', 'b'):
            info = SideInfo('d', CORES, 1000, 0, service)
            self.placer.side_joined(service, info, -10)
            self.report(service, CORES, -10)
            assert len(self.arrive(f'fills {service}', service, CORES)) == CORES

    def report(self, side_id: str, cores: float, now: float) -> None:
        self.placer.side_reported(side_id, Room(cores, 1000, 0, 0), 0, now)

    def arrive(
        self,
        ticket: str,
        service: str,
        tasks: int,
        now: float = 0,
        memory: float = 1,
    ) -> tuple[Placement, ...]:
        requests = [
            Request(
                ticket, task, 'team', 'kind', 1, memory, 0, RUN_TIME, service
            )
            for task in range(tasks)
        ]
        assert self.placer.enqueue(requests, now, OBJECTIVE).is_ok()
        return self.placer.place(now)

    def shed_tickets(self, now: float) -> list[str]:
        found = self.placer.load_shedder.shed_excess(now)
        return [rejected.request.ticket for rejected in found]


class TestPlacer:
    def test_jobs_wait_for_the_room_of_their_service(self) -> None:
        harness = PlacerHarness()
        harness.arrive('large', 'a', CORES, 0.3)
        harness.arrive('other', 'b', CORES, 0.3)
        assert not harness.shed_tickets(0.3)
        harness.arrive('same', 'a', CORES, 0.3)
        assert harness.shed_tickets(0.3) == ['same']

    def test_nothing_is_shed_while_sides_join(self) -> None:
        harness = PlacerHarness()
        harness.placer.side_joined('c', SideInfo('d', CORES, 1000, 0, 'a'), 0)
        harness.arrive('large', 'a', 3 * CORES)
        assert not harness.shed_tickets(SETTLING_TIME / 2)
        assert harness.shed_tickets(SETTLING_TIME) == ['large']

    def test_room_out_of_service_is_not_expected(self) -> None:
        harness = PlacerHarness()
        harness.placer.side_joined('c', SideInfo('e', 1, 1000, 0, 'a'), -9)
        harness.report('c', 0, 0)
        harness.arrive('waits', 'a', CORES, 0.3)
        assert not harness.shed_tickets(0.3)
        harness.placer.domain_changed('d', False, 0.3)
        releases = harness.placer.load_shedder.expected_releases('a', (), 0.3)
        assert sum(one.share for one in releases) == pytest.approx(
            EVEN_FRACTION
        )

    def test_idle_entry_expects_its_even_share(self) -> None:
        harness = PlacerHarness()
        harness.placer.side_joined('c', SideInfo('d', CORES, 1000, 0, 'c'), -9)
        harness.report('c', 0, 0)
        harness.arrive('waits', 'c', 1)
        job = harness.placer.queues.jobs['waits']
        room = sum(
            one.share
            for one in harness.placer.load_shedder.expected_releases(
                'c', [job], 0
            )
        )
        assert room == pytest.approx(EVEN_FRACTION / 3)


def in_time_fraction(
    kind: str, jobs: list[ReplayJob], outcomes: list[Outcome]
) -> float:
    """Return the fraction of the jobs of a kind answered in time."""
    found = [
        outcome.is_served and outcome.response_time <= job.target_time
        for job, outcome in zip(jobs, outcomes, strict=True)
        if job.kind == kind
    ]
    return sum(found) / len(found)


@pytest.mark.parametrize('load', OVERLOADS)
@pytest.mark.parametrize('seed', [1, 2, 3])
class TestOverload:
    def test_jobs_are_shed_early(self, load: float, seed: int) -> None:
        jobs = make_jobs(seed, load, 10)
        outcomes = Replay(jobs, SIDES_LEFT).run()
        refusals = [
            outcome.response_time <= MAX_REFUSAL_FRACTION * job.target_time
            for job, outcome in zip(jobs, outcomes, strict=True)
            if not outcome.is_served
        ]
        assert refusals
        assert sum(refusals) >= 0.9 * len(refusals)

    def test_priorities_favour_important_jobs(
        self, load: float, seed: int
    ) -> None:
        jobs = make_jobs(seed, load, 10)
        outcomes = Replay(jobs, SIDES_LEFT).run()
        equal = Replay(jobs, SIDES_LEFT, has_priorities=False).run()
        urgent = in_time_fraction('quote', jobs, outcomes)
        assert urgent > in_time_fraction('quote', jobs, equal)
