"""Detects tasks that stall at a worker while other tasks end normally."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from jackdawridge.placement.assignment import Assignment

#: Factor on the high estimate of the run time from which a task may have
#: stalled. One task in 20 exceeds the estimate, and few of them by half.
STALL_FACTOR = 1.5
#: Run time in seconds below which no task counts as stalled: a busy side
#: reports the end of a task up to 0.2 s late.
MIN_STALL_TIME = 0.25
#: Number of jobs that have to be slow at a side before their tasks count as
#: stalled: a single one may just be long.
MIN_STALLED_JOBS = 2
#: Fraction of all running tasks that may be stopped at a time. If more seem
#: to have stalled, the estimates are wrong.
MAX_STOPPED_FRACTION = 0.3


class StallDetector:
    """Finds stalled tasks, to be stopped and run again at another side.

    A task is stopped at most once.
    """

    def __init__(self) -> None:
        """Initialise without stopped tasks."""
        #: Positions of the tasks that were stopped, by ticket.
        self.stopped: dict[str, set[int]] = defaultdict(set)

    def find(
        self,
        assignments: Iterable[Assignment],
        last_reports: Mapping[str, float],
    ) -> list[Assignment]:
        """Return the tasks to stop now.

        :param assignments: all running tasks that may be run again.
        :param last_reports: time of the last report of each side, in seconds.
            Later time does not count as run time, since the tasks of a silent
            side may have ended unseen.
        """
        running = 0
        slow_by_side: dict[str, list[Assignment]] = defaultdict(list)
        for assignment in assignments:
            running += 1
            last_report = last_reports.get(assignment.side_id, float('-inf'))
            if is_slow(assignment, last_report):
                slow_by_side[assignment.side_id].append(assignment)
        found = [
            stalled
            for tasks in slow_by_side.values()
            if count_jobs(tasks) >= MIN_STALLED_JOBS
            for stalled in tasks
            if not self.was_stopped(stalled)
        ]
        if len(found) > running * MAX_STOPPED_FRACTION:
            return []
        for one in found:
            key = one.request.key
            self.stopped[key[0]].add(key[1])
        return found

    def was_stopped(self, assignment: Assignment) -> bool:
        """Return whether a run of the task was stopped before.

        :param assignment: assignment of the task.
        """
        ticket, task = assignment.request.key
        return ticket in self.stopped and task in self.stopped[ticket]


def is_slow(assignment: Assignment, last_report: float) -> bool:
    """Return whether a task takes longer than nearly all of its kind.

    :param assignment: assignment of the task.
    :param last_report: time of the last report of its side, in seconds.
    """
    return last_report > assignment.latest_end(STALL_FACTOR, MIN_STALL_TIME)


def count_jobs(tasks: list[Assignment]) -> int:
    """Return the number of jobs that tasks belong to.

    :param tasks: assignments at one side.
    """
    return len({assignment.request.ticket for assignment in tasks})
