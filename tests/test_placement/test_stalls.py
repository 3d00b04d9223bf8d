"""Tests of the detection of stalled tasks."""

from __future__ import annotations

from jackdawridge.placement.assignment import Assignment
from jackdawridge.placement.learning import Need
from jackdawridge.placement.queued_jobs import Standing
from jackdawridge.placement.request import Request
from jackdawridge.placement.stalls import StallDetector

HIGH_RUN_TIME = 0.4


def make_assignment(ticket: str, side: str, placed_at: float) -> Assignment:
    request = Request(ticket, 0, 'team', 'kind', 1, 1, 0, 0.2, reruns=True)
    need = Need(1, 1, 0, 0.2, HIGH_RUN_TIME)
    return Assignment(side, request, need, 0, placed_at, Standing(0, 0))


def healthy_assignments(count: int, now: float) -> list[Assignment]:
    """Return assignments of tasks that have just started at other sides."""
    return [
        make_assignment(f'sound {number}', f'side {number}', now)
        for number in range(count)
    ]


def last_reports(running: list[Assignment], now: float) -> dict[str, float]:
    """Return the last reports if all sides have just reported."""
    return {one.side_id: now for one in running}


class TestStalls:
    def test_tasks_of_a_hanging_side_are_stopped_once(self) -> None:
        stall_detector = StallDetector()
        hanging = [make_assignment('a', 's', 0), make_assignment('b', 's', 0)]
        running = hanging + healthy_assignments(10, 0.9)
        assert stall_detector.find(running, last_reports(running, 0.3)) == []
        assert stall_detector.find(running, last_reports(running, 1)) == hanging
        assert stall_detector.find(running, last_reports(running, 1.2)) == []

    def test_single_long_job_is_not_stopped(self) -> None:
        stall_detector = StallDetector()
        running = [make_assignment('a', 's', 0), *healthy_assignments(10, 9)]
        assert stall_detector.find(running, last_reports(running, 9.1)) == []

    def test_long_jobs_at_many_sides_are_not_stopped(self) -> None:
        stall_detector = StallDetector()
        running = [
            make_assignment(f'job {number}', f'side {number}', 0)
            for number in range(10)
        ]
        assert stall_detector.find(running, last_reports(running, 9)) == []

    def test_nothing_is_stopped_if_most_tasks_seem_stalled(
        self,
    ) -> None:
        stall_detector = StallDetector()
        running = [
            make_assignment(f'job {number}', f'side {number % 3}', 0)
            for number in range(12)
        ]
        assert (
            stall_detector.find(
                [*running, *healthy_assignments(4, 9)],
                last_reports([*running, *healthy_assignments(4, 9)], 9),
            )
            == []
        )

    def test_tasks_of_silent_side_are_not_stopped(self) -> None:
        stall_detector = StallDetector()
        running = [make_assignment('a', 's', 0), make_assignment('b', 's', 0)]
        running += healthy_assignments(10, 0.9)
        last_report = {**last_reports(running, 3), 's': 0.5}
        assert stall_detector.find(running, last_report) == []
        assert (
            stall_detector.find(running, {**last_report, 's': 3}) == running[:2]
        )

    def test_tasks_of_side_without_report_are_not_stopped(self) -> None:
        running = [make_assignment('a', 's', 0), make_assignment('b', 's', 0)]
        assert (
            StallDetector().find(running + healthy_assignments(10, 9), {}) == []
        )
