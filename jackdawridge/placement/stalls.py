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
LEAST_STALL = 0.25
#: Jobs that have to stand still at a side: a single one may just be long.
STALLED_JOBS = 2
#: Part of all running tasks that may be stopped at a time. If more seem to
#: stand still, the estimates are wrong.
MOST_STOPPED = 0.3


class Stalls:
    """Finds tasks to stop, so that they run again at another side.

    A task is stopped once at most.
    """

    def __init__(self) -> None:
        """Begin without tasks."""
        #: Positions of the tasks that were stopped, by ticket.
        self.stopped: dict[str, set[int]] = defaultdict(set)

    def find(
        self, assignments: Iterable[Assignment], heard: Mapping[str, float]
    ) -> list[Assignment]:
        """Return the tasks to stop now.

        :param assignments: all tasks that run, which may run again.
        :param heard: when each side reported last. What was placed may have
            ended since, so that a silent side is not judged by it.
        """
        running = 0
        slow: dict[str, list[Assignment]] = defaultdict(list)
        for assignment in assignments:
            running += 1
            last_word = heard.get(assignment.side_id, float('-inf'))
            if is_slow(assignment, last_word):
                slow[assignment.side_id].append(assignment)
        found = [
            stalled
            for tasks in slow.values()
            if count_jobs(tasks) >= STALLED_JOBS
            for stalled in tasks
            if not self.was_stopped(stalled)
        ]
        if len(found) > running * MOST_STOPPED:
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


def is_slow(assignment: Assignment, last_word: float) -> bool:
    """Return whether a task takes longer than nearly all of its kind.

    :param assignment: of the task.
    :param last_word: when its side reported last.
    """
    return last_word > assignment.latest_end(STALL_FACTOR, LEAST_STALL)


def count_jobs(tasks: list[Assignment]) -> int:
    """Return how many jobs tasks belong to.

    :param tasks: of one side.
    """
    return len({assignment.request.ticket for assignment in tasks})
