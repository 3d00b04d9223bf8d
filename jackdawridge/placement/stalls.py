"""Tasks that stand still at a worker while others end in their usual time."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from jackdawridge.placement.tracking import Assignment

#: Run time over the late estimate from which a task may stand still. One task
#: in 20 exceeds the estimate, few by half.
STALL_FACTOR = 1.5
#: Run time from which a task may stand still, in seconds: the reports of
#: ends come up to 0.2 s late when a side is busy.
MIN_STALL_TIME = 0.25
#: Jobs that have to stand still at a side: a single one may just be long.
MIN_STALLED_JOBS = 2
#: Part of all running tasks that may be stopped at a time. If more seem to
#: stand still, the estimates are wrong.
MAX_STOPPED_FRACTION = 0.3


class StallDetector:
    """Finds tasks to stop, so that they run again at another side.

    A task is stopped once at most.
    """

    def __init__(self) -> None:
        """Begin without tasks."""
        #: Positions of the tasks that were stopped, by ticket.
        self.stopped: dict[str, set[int]] = defaultdict(set)

    def find(
        self,
        assignments: Iterable[Assignment],
        last_reports: Mapping[str, float],
    ) -> list[Assignment]:
        """Return the tasks to stop now.

        :param assignments: all tasks that run, which may run again.
        :param last_reports: when each side reported last. What was placed may have
            ended since, so that a silent side is not judged by it.
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

        :param assignment: of the task.
        """
        ticket, task = assignment.request.key
        return ticket in self.stopped and task in self.stopped[ticket]


def is_slow(assignment: Assignment, last_report: float) -> bool:
    """Return whether a task takes longer than nearly all of its kind.

    :param assignment: of the task.
    :param last_report: when its side reported last.
    """
    return last_report > assignment.latest_end(STALL_FACTOR, MIN_STALL_TIME)


def count_jobs(tasks: list[Assignment]) -> int:
    """Return how many jobs tasks belong to.

    :param tasks: of one side.
    """
    return len({assignment.request.ticket for assignment in tasks})
