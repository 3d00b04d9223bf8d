"""The runs at a target that are not known to have ended."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

    from jackdawridge.execution.leased_target import Run

#: Time after its admission in which a start may be ordered, in seconds;
#: shorter than the time that an entry waits for a silent side before it starts
#: the task elsewhere.
START_VALID_TIME = 0.7
#: Reason to refuse a start that was not ordered in that time.
OUTDATED = 'start is outdated'
#: Reason to refuse a start whose run was reported as lost meanwhile.
REPORTED_LOST = 'run was reported as lost'


class RunStage(Enum):
    """What is known about a run that is not known to have ended."""

    #: Its start waits to be ordered.
    waiting = 'waiting'
    #: The order is being sent, or not answered yet.
    ordered = 'ordered'
    #: The order will not be answered; the target may have received it.
    unanswered = 'unanswered'
    #: The target has confirmed that it runs.
    confirmed = 'confirmed'
    #: It was admitted for an earlier target or incarnation, and ends with the
    #: take-over of the present one.
    left_behind = 'left_behind'


_UNCONFIRMED = frozenset((RunStage.ordered, RunStage.unanswered))


class LiveRun(NamedTuple):
    """A run that was admitted and is not known to have ended."""

    task_id: str
    #: Local time after which its start is not ordered, in seconds.
    valid_until: float
    #: Local time at which it was admitted, or confirmed if it was, in seconds.
    started_at: float
    stage: RunStage


class LiveRuns:
    """The runs at a target that are not known to have ended.

    A start may wait long between its admission and its order. What happens to
    its run meanwhile is recorded here, and here it is decided whether the start
    may still be ordered.
    """

    def __init__(self) -> None:
        """Start without runs."""
        self.by_run: dict[Run, LiveRun] = {}

    def __contains__(self, run: object) -> bool:
        """Return whether a run is live."""
        return run in self.by_run

    def __len__(self) -> int:
        """Return the number of live runs."""
        return len(self.by_run)

    def has_task(self, name: str) -> bool:
        """Return whether a task runs at the target or is being started.

        :param name: name of the task at the target.
        """
        return any(run.name == name for run in self.by_run)

    def of_tasks(self, ids: Collection[str]) -> list[Run]:
        """Return the runs of tasks.

        :param ids: ids of the tasks at the side.
        """
        id_set = set(ids)
        return [
            run for run, live in self.by_run.items() if live.task_id in id_set
        ]

    def is_current(self, run: Run) -> bool:
        """Return whether a run is live and was admitted for this target.

        :param run: run that was admitted.
        """
        live = self.by_run.get(run)
        return live is not None and live.stage is not RunStage.left_behind

    def add(self, run: Run, task_id: str, now: float) -> None:
        """Add a run whose start is about to be ordered.

        :param run: run that was admitted.
        :param task_id: id of the task at the side.
        :param now: local time in seconds.
        """
        self.by_run[run] = LiveRun(
            task_id, now + START_VALID_TIME, now, RunStage.waiting
        )

    def replace(self, run: Run, attempt: Run, now: float) -> None:
        """Replace a run that will never start by another attempt.

        :param run: run that was ordered.
        :param attempt: run that is about to be ordered.
        :param now: local time in seconds.
        """
        live = self.by_run.pop(run)
        self.by_run[attempt] = live._replace(
            started_at=now, stage=RunStage.waiting
        )

    def refusal(self, run: Run, now: float) -> str:
        """Return why a start must not be ordered, or an empty string.

        :param run: run that was admitted.
        :param now: local time in seconds.
        """
        live = self.by_run.get(run)
        if live is None or live.stage is not RunStage.waiting:
            return REPORTED_LOST
        # If this process was paused, the entry may have started the task
        # elsewhere.
        return OUTDATED if now > live.valid_until else ''

    def record_order(self, run: Run) -> None:
        """Record that the start of a run is ordered now.

        :param run: run that waited for its order.
        """
        live = self.by_run[run]
        self.by_run[run] = live._replace(stage=RunStage.ordered)

    def record_lost_answer(self, run: Run) -> None:
        """Record that the order of a run will not be answered.

        :param run: run that was ordered.
        """
        live = self.by_run.get(run)
        if live is not None and live.stage is RunStage.ordered:
            self.by_run[run] = live._replace(stage=RunStage.unanswered)

    def confirm(self, run: Run, now: float) -> LiveRun | None:
        """Record that the target runs an attempt that was ordered.

        :param run: run that was ordered.
        :param now: local time in seconds.
        :returns: what is known about it, None if it is not live.
        """
        live = self.by_run.get(run)
        if live is not None and live.stage in _UNCONFIRMED:
            live = live._replace(started_at=now, stage=RunStage.confirmed)
            self.by_run[run] = live
        return live

    def remove(self, run: Run) -> LiveRun | None:
        """Remove a run that never started or has ended.

        :param run: run to remove.
        :returns: what was known about it, None if it was not live.
        """
        return self.by_run.pop(run, None)

    def clear(self) -> tuple[LiveRun, ...]:
        """Remove and return all runs."""
        runs = tuple(self.by_run.values())
        self.by_run.clear()
        return runs

    def clear_settled(self) -> tuple[LiveRun, ...]:
        """Remove and return all runs but those whose orders are open.

        An order that is being sent may still reach the next incarnation of a
        target that has just refused another call.
        """
        settled = [
            run
            for run, live in self.by_run.items()
            if live.stage is not RunStage.ordered
        ]
        return tuple(self.by_run.pop(run_key) for run_key in settled)

    def remove_missing(
        self, requested_at: float, running: frozenset[Run]
    ) -> list[LiveRun]:
        """Remove and return confirmed runs that a report does not list.

        Such a run has ended although its end was not reported.

        :param requested_at: local time at which the report was requested, in
            seconds.
        :param running: runs that the report lists.
        """
        missing = [
            run
            for run, live in self.by_run.items()
            if live.stage is RunStage.confirmed
            and live.started_at < requested_at
            and run not in running
        ]
        return [self.by_run.pop(run_key) for run_key in missing]

    def leave_behind(self) -> None:
        """Order nothing more for all present runs.

        They stay live until the take-over of the target that was joined, since
        orders of this side may have reached that.
        """
        self.by_run = {
            run: live._replace(stage=RunStage.left_behind)
            for run, live in self.by_run.items()
        }
