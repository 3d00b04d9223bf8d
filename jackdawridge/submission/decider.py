"""Protocol by which the engine shares decisions with other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from jackdawridge.placement.learning import Usage
    from jackdawridge.placement.request import Key, Placement, UnplaceableTask


class Decider(Protocol):
    """Handles changes to queued and running tasks, and decisions on them.

    Lets another entry place the tasks of this one, or this entry place those of
    others.
    """

    def is_delegated(self) -> bool:
        """Return whether another entry places the tasks of this one."""

    def job_queued(self, ticket: str) -> None:
        """Handle a new job.

        :param ticket: ticket of the job.
        """

    def job_dropped(self, ticket: str) -> None:
        """Handle a job whose queued tasks were dropped.

        :param ticket: ticket of the job.
        """

    def task_ended(
        self, key: Key, outcome: str, usage: Usage, reason: str = ''
    ) -> None:
        """Handle a task that has ended or whose start was refused.

        :param key: ticket of the job and position of the task.
        :param outcome: `succeeded`, `failed`, `stopped`, `lost` or `refused`.
        :param usage: highest measured use, and the run time.
        :param reason: reason of a refusal, otherwise empty.
        """

    def task_requeued(self, key: Key, avoided: str) -> None:
        """Handle a task that was queued again.

        :param key: ticket of the job and position of the task.
        :param avoided: side to which the task should not be sent again, or
            empty.
        """

    def grant(self, placement: Placement) -> None:
        """Have the entry that owns a task start it.

        :param placement: placement of a task of another entry.
        """

    def shed(self, impossible: UnplaceableTask) -> None:
        """Have the entry that owns a job shed it.

        :param impossible: a task of a job of another entry, with the reason.
        """

    def flush(self) -> None:
        """Send pending messages."""


class LocalDecider:
    """Stands for an entry that places its own tasks and no others."""

    def is_delegated(self) -> bool:
        """Return False."""
        return False

    def job_queued(self, ticket: str) -> None:
        """Do nothing: no other entry has to know.

        :param ticket: ticket of the job.
        """

    def job_dropped(self, ticket: str) -> None:
        """Do nothing: no other entry has to know.

        :param ticket: ticket of the job.
        """

    def task_ended(
        self, key: Key, outcome: str, usage: Usage, reason: str = ''
    ) -> None:
        """Do nothing: no other entry has to know.

        :param key: ticket of the job and position of the task.
        :param outcome: `succeeded`, `failed`, `stopped`, `lost` or `refused`.
        :param usage: highest measured use, and the run time.
        :param reason: reason of a refusal, otherwise empty.
        """

    def task_requeued(self, key: Key, avoided: str) -> None:
        """Do nothing: no other entry has to know.

        :param key: ticket of the job and position of the task.
        :param avoided: side to which the task should not be sent again, or
            empty.
        """

    def grant(self, placement: Placement) -> None:
        """Do nothing: all tasks are of this entry.

        :param placement: placement of a task.
        """

    def shed(self, impossible: UnplaceableTask) -> None:
        """Do nothing: all jobs are of this entry.

        :param impossible: a task of a job, with the reason.
        """

    def flush(self) -> None:
        """Do nothing: there are no messages."""
