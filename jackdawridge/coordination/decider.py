"""Tells the lead of an entry, or the entries that it leads, what changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawridge.coordination.component import Coordination
    from jackdawridge.placement.learning import Usage
    from jackdawridge.placement.request import Key, Placement, UnplaceableTask


class JointDecider:
    """Passes on what an engine tells.

    :param coordination: of the same entry.
    """

    def __init__(self, coordination: Coordination) -> None:
        """Keep the parts."""
        self.coordination = coordination
        self.engine = coordination.engine
        self.delegate = coordination.delegate
        self.lead = coordination.leading.lead

    def is_elsewhere(self) -> bool:
        """Return whether another entry decides."""
        return self.delegate.has_lead()

    def queued(self, ticket: str) -> None:
        """Note that a job has come.

        :param ticket: of the job.
        """
        if self.delegate.has_lead():
            self.delegate.note_queued(ticket)
        else:
            self.coordination.review()

    def dropped(self, ticket: str) -> None:
        """Note that a job needs no place any more.

        :param ticket: of the job.
        """
        if self.delegate.has_lead():
            self.delegate.note_dropped(ticket)
            self.engine.place_soon()

    def ended(
        self, key: Key, outcome: str, usage: Usage, reason: str = ''
    ) -> None:
        """Note that a task runs no longer, or was not started.

        :param key: of the task.
        :param outcome: as in `EndedTask`.
        :param usage: what it was seen to use.
        :param reason: of a refusal.
        """
        if self.delegate.has_lead():
            self.delegate.note_ended(key, outcome, usage, reason)
            self.engine.place_soon()

    def repeated(self, key: Key, avoided: str) -> None:
        """Note that a task waits again.

        :param key: of the task.
        :param avoided: side that it should not go to again, or empty.
        """
        if self.delegate.has_lead():
            self.delegate.note_repeated(key, avoided)
            self.engine.place_soon()

    def grant(self, placement: Placement) -> None:
        """Let another entry start its task.

        :param placement: of a task that is not of this entry.
        """
        self.lead.grant(placement)

    def give_up(self, useless: UnplaceableTask) -> None:
        """Let another entry answer its job without a result.

        :param useless: a task of a job that is not of this entry.
        """
        self.lead.give_up(useless)

    def flush(self) -> None:
        """Send what has gathered."""
        self.coordination.flush()
