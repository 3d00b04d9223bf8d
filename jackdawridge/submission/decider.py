"""Who decides for the jobs of an entry, and is told of all that changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from jackdawridge.placement.learning import Usage
    from jackdawridge.placement.request import Key, Placement, UnplaceableTask


class Decider(Protocol):
    """Lets another entry decide here, or this one for others."""

    def is_elsewhere(self) -> bool:
        """Return whether another entry decides."""

    def queued(self, ticket: str) -> None:
        """Note that a job has come.

        :param ticket: of the job.
        """

    def dropped(self, ticket: str) -> None:
        """Note that a job needs no place any more.

        :param ticket: of the job.
        """

    def ended(
        self, key: Key, outcome: str, usage: Usage, reason: str = ''
    ) -> None:
        """Note that a task runs no longer, or was not started.

        :param key: of the task.
        :param outcome: `succeeded`, `failed`, `stopped`, `lost` or `refused`.
        :param usage: what it was seen to use.
        :param reason: of a refusal.
        """

    def repeated(self, key: Key, avoided: str) -> None:
        """Note that a task waits again.

        :param key: of the task.
        :param avoided: side that it should not go to again, or empty.
        """

    def grant(self, placement: Placement) -> None:
        """Let another entry start its task.

        :param placement: of a task that is not of this entry.
        """

    def give_up(self, useless: UnplaceableTask) -> None:
        """Let another entry answer its job without a result.

        :param useless: a task of a job that is not of this entry.
        """

    def flush(self) -> None:
        """Send what has gathered."""


class AloneDecider:
    """Decides for the jobs of its own entry and no others."""

    def is_elsewhere(self) -> bool:
        """Return whether another entry decides."""
        return False

    def queued(self, ticket: str) -> None:
        """Do nothing.

        :param ticket: of the job.
        """

    def dropped(self, ticket: str) -> None:
        """Do nothing.

        :param ticket: of the job.
        """

    def ended(
        self, key: Key, outcome: str, usage: Usage, reason: str = ''
    ) -> None:
        """Do nothing.

        :param key: of the task.
        :param outcome: how it has ended.
        :param usage: what it was seen to use.
        :param reason: of a refusal.
        """

    def repeated(self, key: Key, avoided: str) -> None:
        """Do nothing.

        :param key: of the task.
        :param avoided: side that it should not go to again, or empty.
        """

    def grant(self, placement: Placement) -> None:
        """Do nothing.

        :param placement: of a task.
        """

    def give_up(self, useless: UnplaceableTask) -> None:
        """Do nothing.

        :param useless: a task of a job.
        """

    def flush(self) -> None:
        """Do nothing."""
