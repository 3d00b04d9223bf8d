"""Who decides for the jobs of an entry, and is told of all that changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from jackdawridge.placement.learning import Usage
    from jackdawridge.placement.request import Impossible, Key, Placement


class Decider(Protocol):
    """Lets another entry decide here, or this one for others."""

    def is_delegated(self) -> bool:
        """Return whether another entry decides."""

    def job_queued(self, ticket: str) -> None:
        """Note that a job has come.

        :param ticket: of the job.
        """

    def job_dropped(self, ticket: str) -> None:
        """Note that a job needs no place any more.

        :param ticket: of the job.
        """

    def task_ended(
        self, key: Key, outcome: str, usage: Usage, reason: str = ''
    ) -> None:
        """Note that a task runs no longer, or was not started.

        :param key: of the task.
        :param outcome: `succeeded`, `failed`, `stopped`, `lost` or `refused`.
        :param usage: what it was seen to use.
        :param reason: of a refusal.
        """

    def task_requeued(self, key: Key, avoided: str) -> None:
        """Note that a task waits again.

        :param key: of the task.
        :param avoided: side that it should not go to again, or empty.
        """

    def grant(self, placement: Placement) -> None:
        """Let another entry start its task.

        :param placement: of a task that is not of this entry.
        """

    def shed(self, impossible: Impossible) -> None:
        """Let another entry answer its job without a result.

        :param impossible: a task of a job that is not of this entry.
        """

    def flush(self) -> None:
        """Send what has gathered."""


class LocalDecider:
    """Decides for the jobs of its own entry and no others."""

    def is_delegated(self) -> bool:
        """Return whether another entry decides."""
        return False

    def job_queued(self, ticket: str) -> None:
        """Do nothing.

        :param ticket: of the job.
        """

    def job_dropped(self, ticket: str) -> None:
        """Do nothing.

        :param ticket: of the job.
        """

    def task_ended(
        self, key: Key, outcome: str, usage: Usage, reason: str = ''
    ) -> None:
        """Do nothing.

        :param key: of the task.
        :param outcome: how it has ended.
        :param usage: what it was seen to use.
        :param reason: of a refusal.
        """

    def task_requeued(self, key: Key, avoided: str) -> None:
        """Do nothing.

        :param key: of the task.
        :param avoided: side that it should not go to again, or empty.
        """

    def grant(self, placement: Placement) -> None:
        """Do nothing.

        :param placement: of a task.
        """

    def shed(self, impossible: Impossible) -> None:
        """Do nothing.

        :param impossible: a task of a job.
        """

    def flush(self) -> None:
        """Do nothing."""
