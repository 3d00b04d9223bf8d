"""Delegator's side of a delegation."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.coordination.conversion import job_message, tasks_message
from jackdawridge.coordination.messages import (
    LOST,
    REFUSED,
    Delegation,
    DelegationUpdate,
    EndedTask,
    RunningTask,
)
from jackdawridge.placement.assignment import Assignment
from jackdawridge.placement.learning import NO_USAGE

if TYPE_CHECKING:
    from jackdawridge.coordination.messages import (
        Decisions,
        Grant,
        ShedDecision,
        WaitingJob,
    )
    from jackdawridge.placement.learning import Need, Usage
    from jackdawridge.placement.placer import Placer
    from jackdawridge.placement.request import Key, Placement, Request

#: Longest interval in seconds between two messages to the lead while this entry
#: has tasks.
UPDATE_INTERVAL = 0.1
#: Time in seconds without an answer after which an entry places its own tasks.
#: An answer normally takes a few milliseconds, and short tasks wait for it.
LEAD_TIMEOUT = 0.15


class LeadDecisions(NamedTuple):
    """The decisions of a lead that this entry has to carry out."""

    placements: tuple[Placement, ...]
    given_up: tuple[ShedDecision, ...]


#: Result for decisions of an earlier term or of another sender.
NO_DECISIONS = LeadDecisions((), ())


class Delegate:
    """Reports queued and running tasks to the lead and applies its decisions.

    Tasks stay in the queue of this entry until the lead grants them, so that
    the entry can place them itself at any time.

    :param placer: placer of this entry.
    """

    def __init__(self, placer: Placer) -> None:
        """Start without a lead."""
        self.placer = placer
        #: Incarnation of the lead, or empty.
        self.lead = ''
        #: Counts the delegations of this entry; see `Delegation`.
        self.term = 0
        #: Number of the last update that was sent in this term.
        self.number = 0
        #: Send times in seconds of the updates that wait for an answer, by
        #: number, the oldest first; 0 is the delegation itself.
        self.unanswered: dict[int, float] = {}
        #: Time at which the last message was sent, in seconds.
        self.sent_at = float('-inf')
        #: Tickets of new jobs that the lead doesn't know of.
        self.queued: dict[str, None] = {}
        #: Tasks that were queued again, with the side to avoid.
        self.requeued: dict[Key, str] = {}
        self.dropped: list[str] = []
        self.ended: list[EndedTask] = []

    def has_lead(self) -> bool:
        """Return whether another entry places the tasks of this one."""
        return bool(self.lead)

    def has_tasks(self) -> bool:
        """Return whether this entry has queued or running tasks."""
        return bool(self.placer.queues.queued or self.placer.assignments)

    def start_term(self, lead: str, now: float) -> Delegation:
        """Start a term under a lead and return the delegation to send.

        :param lead: incarnation of the lead.
        :param now: current time in seconds.
        """
        self.end_term()
        self.lead = lead
        self.unanswered[0] = now
        self.sent_at = now
        jobs = [
            job_message(job, now) for job in self.placer.queues.jobs.values()
        ]
        running = [
            RunningTask(
                tasks_message((one.request,), one.standing, now),
                one.side_id,
                one.need.cores,
                one.need.memory,
                one.need.run_time,
                max(now - one.placed_at, 0),
            )
            for one in self.placer.assignments.values()
        ]
        return Delegation(
            self.term, tuple(self.placer.sides), tuple(jobs), tuple(running)
        )

    def end_term(self) -> None:
        """End the term; decisions of the lead that still arrive are ignored."""
        self.lead = ''
        self.term += 1
        self.number = 0
        self.unanswered.clear()
        self.queued.clear()
        self.requeued.clear()
        self.dropped.clear()
        self.ended.clear()

    def record_queued(self, ticket: str) -> None:
        """Record a new job for the next update.

        :param ticket: ticket of the job.
        """
        self.queued[ticket] = None

    def record_requeued(self, key: Key, avoided: str) -> None:
        """Record a task that was queued again for the next update.

        :param key: ticket of the job and position of the task.
        :param avoided: side to which the task should not be sent again, or
            empty.
        """
        self.requeued[key] = avoided

    def record_dropped(self, ticket: str) -> None:
        """Record for the next update that a job's queued tasks were dropped.

        :param ticket: ticket of the job.
        """
        if ticket in self.queued:
            self.queued.pop(ticket)
        else:
            self.dropped.append(ticket)

    def record_ended(
        self, key: Key, outcome: str, usage: Usage, reason: str = ''
    ) -> None:
        """Record a task that no longer runs for the next update.

        :param key: ticket of the job and position of the task.
        :param outcome: one of the outcomes of `EndedTask`.
        :param usage: highest measured use, and the run time.
        :param reason: reason of a refusal, otherwise empty.
        """
        self.ended.append(EndedTask(*key, outcome, reason, *usage))

    def make_update(self, now: float) -> DelegationUpdate | None:
        """Return the update to send to the lead, None if none is due.

        :param now: current time in seconds.
        """
        if not self.lead:
            return None
        jobs = self.collect_queued(now)
        if not (jobs or self.dropped or self.ended):
            is_due = now - self.sent_at >= UPDATE_INTERVAL and self.has_tasks()
            if not is_due:
                return None
        self.number += 1
        self.unanswered[self.number] = now
        self.sent_at = now
        update = DelegationUpdate(
            self.term,
            self.number,
            tuple(self.ended),
            tuple(jobs),
            tuple(self.dropped),
        )
        self.dropped.clear()
        self.ended.clear()
        return update

    def collect_queued(self, now: float) -> list[WaitingJob]:
        """Return the tasks to report as queued, and clear the record of them.

        :param now: current time in seconds.
        """
        found: list[WaitingJob] = []
        for ticket in self.queued:
            job = self.placer.queues.jobs.get(ticket)
            if job is not None:
                found.append(job_message(job, now))
        for key, avoided in self.requeued.items():
            waiting = self.placer.queues.find(key)
            if waiting is not None and key[0] not in self.queued:
                job, _, request = waiting
                found.append(
                    tasks_message(
                        (request,), job.standing, now, avoided=avoided
                    )
                )
        self.queued.clear()
        self.requeued.clear()
        return found

    def is_overdue(self, now: float) -> bool:
        """Return whether an answer of the lead is overdue.

        :param now: current time in seconds.
        """
        first = next(iter(self.unanswered.values()), now)
        return now - first > LEAD_TIMEOUT

    def restart_timeouts(self, now: float) -> None:
        """Restart the timeouts of all answers after a pause of this process.

        :param now: current time in seconds.
        """
        self.unanswered = dict.fromkeys(self.unanswered, now)

    def apply(
        self, lead: str, decisions: Decisions, now: float
    ) -> LeadDecisions:
        """Apply the decisions of the lead and return what to carry out.

        :param lead: incarnation of the sender.
        :param decisions: decisions of the sender.
        :param now: current time in seconds.
        """
        if lead != self.lead or decisions.term != self.term:
            return NO_DECISIONS
        self.unanswered = {
            number: since
            for number, since in self.unanswered.items()
            if number > decisions.number
        }
        granted = [self.reserve(grant, now) for grant in decisions.grants]
        placements = tuple(filter(None, granted))
        return LeadDecisions(placements, decisions.given_up)

    def reserve(self, grant: Grant, now: float) -> Placement | None:
        """Reserve capacity for a task at the side that the lead has granted.

        :param grant: decision of the lead.
        :param now: current time in seconds.
        :returns: None if the task is no longer queued or the side can't take
            it.
        """
        key = (grant.ticket, grant.task)
        found = self.placer.queues.find(key)
        if found is None:
            self.record_ended(key, LOST, NO_USAGE)
            return None
        job, _, request = found
        side = self.placer.sides.get(grant.side)
        if side is None or not side.is_open:
            self.record_ended(key, REFUSED, NO_USAGE, 'side is not in reach')
            self.record_requeued(key, grant.side)
            return None
        self.placer.queues.extract(key)
        job.has_begun = True
        return self.placer.assign(
            Assignment(
                grant.side,
                request,
                self.granted_need(grant, request),
                self.placer.placed,
                now,
                job.standing,
            ),
            side,
            grant.reason,
        )

    def granted_need(self, grant: Grant, request: Request) -> Need:
        """Return the estimated resource use that the lead has placed a task by.

        :param grant: decision of the lead.
        :param request: the task.
        """
        return self.placer.need(request)._replace(
            cores=grant.cores, memory=grant.memory, run_time=grant.run_time
        )
