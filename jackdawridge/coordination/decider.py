"""Decider that reports changes to the lead, and decisions to delegators."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawridge.coordination.component import Coordination
    from jackdawridge.placement.learning import Usage
    from jackdawridge.placement.request import Key, Placement, UnplaceableTask


class JointDecider:
    """Passes the changes of an engine on to the lead or to the delegators.

    :param coordination: component of the same entry.
    """

    def __init__(self, coordination: Coordination) -> None:
        """Keep the parts of the component."""
        self.coordination = coordination
        self.engine = coordination.engine
        self.delegate = coordination.delegate
        self.lead = coordination.delegations.lead

    def is_delegated(self) -> bool:
        """Return whether another entry places the tasks of this one."""
        return self.delegate.has_lead()

    def job_queued(self, ticket: str) -> None:
        """Report a new job to the lead, or select a lead.

        :param ticket: ticket of the job.
        """
        if self.delegate.has_lead():
            self.delegate.record_queued(ticket)
        else:
            self.coordination.select_lead()

    def job_dropped(self, ticket: str) -> None:
        """Report to the lead that a job's queued tasks were dropped.

        :param ticket: ticket of the job.
        """
        if self.delegate.has_lead():
            self.delegate.record_dropped(ticket)
            self.engine.place_soon()

    def task_ended(
        self, key: Key, outcome: str, usage: Usage, reason: str = ''
    ) -> None:
        """Report to the lead that a task has ended or its start was refused.

        :param key: ticket of the job and position of the task.
        :param outcome: one of the outcomes of `EndedTask`.
        :param usage: highest measured use, and the run time.
        :param reason: reason of a refusal, otherwise empty.
        """
        if self.delegate.has_lead():
            self.delegate.record_ended(key, outcome, usage, reason)
            self.engine.place_soon()

    def task_requeued(self, key: Key, avoided: str) -> None:
        """Report to the lead that a task was queued again.

        :param key: ticket of the job and position of the task.
        :param avoided: side to which the task should not be sent again, or
            empty.
        """
        if self.delegate.has_lead():
            self.delegate.record_requeued(key, avoided)
            self.engine.place_soon()

    def grant(self, placement: Placement) -> None:
        """Have the delegator that owns a task start it.

        :param placement: placement of a task of another entry.
        """
        self.lead.grant(placement)

    def shed(self, impossible: UnplaceableTask) -> None:
        """Have the delegator that owns a job shed it.

        :param impossible: a task of a job of another entry, with the reason.
        """
        self.lead.shed(impossible)

    def flush(self) -> None:
        """Send pending updates and decisions."""
        self.coordination.flush()
