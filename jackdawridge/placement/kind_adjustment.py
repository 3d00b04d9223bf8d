"""Applies the factors of the kinds of workers to sides, tasks and estimates.

Answers the load that `worker_kinds` names. When the kinds turn out to be far
apart, run times are learned again and the sides are judged anew, each against
its own kind.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawridge.placement.assignment import Assignment
    from jackdawridge.placement.request import Key
    from jackdawridge.placement.tracking import AssignmentTracker


class KindAdjustment:
    """Feeds ended tasks to the factors of the kinds, and applies the factors.

    :param tracker: tracks the assignments, and holds the sides.
    """

    def __init__(self, tracker: AssignmentTracker) -> None:
        """Keep the tracker."""
        self.tracker = tracker

    def expected_run_time(self, assignment: Assignment) -> float:
        """Return the run time in seconds that a side is judged against.

        Where the kinds are far apart, that is the one at its own kind.

        :param assignment: assignment of the task to the side.
        """
        run_time = assignment.need.run_time
        if self.tracker.worker_kinds.factors:
            return run_time * assignment.run_time_factor
        return run_time

    def observe(self, assignment: Assignment, run_time: float) -> None:
        """Learn from a task that has succeeded.

        Limited sides are left out once the factors are known; until then the
        slow kind itself may be limited.

        :param assignment: released assignment of the task.
        :param run_time: measured run time in seconds; 0 if unknown.
        """
        tracker = self.tracker
        side = tracker.sides.get(assignment.side_id)
        if side is None:
            return
        is_limited = assignment.side_id in tracker.health.limited
        if not (is_limited and tracker.worker_kinds.factors):
            tracker.worker_kinds.observe(
                side.info.worker_kind,
                assignment.request,
                run_time,
                assignment.need.run_time,
            )

    def was_counted_late(self, key: Key) -> bool:
        """Return whether a running task has counted against its side.

        Where kinds of workers are told apart it counts once: a long task would
        otherwise limit a sound worker for as long as it runs.

        :param key: key of the task.
        """
        tracker = self.tracker
        has_factors = bool(tracker.worker_kinds.factors)
        return has_factors and key in tracker.health.late_keys

    def update(self) -> None:
        """Update the factors of the kinds of workers, and of all sides."""
        tracker = self.tracker
        if not tracker.worker_kinds.update():
            tracker.update_run_time_factors()
            return
        if tracker.worker_kinds.factors:
            tracker.learner.relearn_run_times(
                tracker.worker_kinds.pop_early_tasks()
            )
        tracker.health.restart_run_times()
        for limited in tuple(tracker.health.limited):
            tracker.apply_health(limited)
        tracker.update_run_time_factors()
        self.adjust_running()

    def adjust_running(self) -> None:
        """Expect the run times of running tasks by the present factors."""
        tracker = self.tracker
        for key, assignment in tracker.assignments.items():
            side = tracker.sides.get(assignment.side_id)
            if side is not None:
                tracker.assignments[key] = assignment._replace(
                    run_time_factor=side.run_time_factor
                )
