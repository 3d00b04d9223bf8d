"""What an entry keeps of the one that decides for it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.coordination.messages import (
    LOST,
    REFUSED,
    Delegation,
    EndedTask,
    News,
    RunningTask,
)
from jackdawridge.coordination.waiting import describe, describe_job
from jackdawridge.placement.learning import NO_USAGE
from jackdawridge.placement.tracking import Assignment

if TYPE_CHECKING:
    from jackdawridge.coordination.messages import (
        Decisions,
        GivenUp,
        Grant,
        WaitingJob,
    )
    from jackdawridge.placement.learning import Need, Usage
    from jackdawridge.placement.placer import Placer
    from jackdawridge.placement.request import Key, Placement, Request

#: Longest time between two messages to a lead that has work, in seconds.
PULSE = 0.1
#: Time without an answer after which an entry decides by itself, in seconds:
#: an answer takes some milliseconds, and a short task waits for it.
SILENCE = 0.15


class Verdicts(NamedTuple):
    """What follows from the decisions of a lead."""

    placements: tuple[Placement, ...]
    given_up: tuple[GivenUp, ...]


NOTHING_NEW = Verdicts((), ())


class Delegate:
    """Tells a lead what waits and runs here, and takes its decisions.

    The queue of this entry holds what is not granted, so that the entry can
    go on by itself at any time.

    :param placer: of this entry.
    """

    def __init__(self, placer: Placer) -> None:
        """Begin without a lead."""
        self.placer = placer
        #: Incarnation of the lead, or empty.
        self.lead = ''
        self.term = 0
        #: Number of the newest news.
        self.number = 0
        #: When the oldest message without an answer was sent, by its number.
        self.unanswered: dict[int, float] = {}
        self.sent_at = float('-inf')
        #: Tickets of jobs that have come.
        self.queued: dict[str, None] = {}
        #: Tasks that wait again, with the side to avoid.
        self.repeated: dict[Key, str] = {}
        self.dropped: list[str] = []
        self.ended: list[EndedTask] = []

    def has_lead(self) -> bool:
        """Return whether another entry decides."""
        return bool(self.lead)

    def is_busy(self) -> bool:
        """Return whether anything waits or runs here."""
        return bool(self.placer.queues.queued or self.placer.assignments)

    def begin(self, lead: str, now: float) -> Delegation:
        """Let another entry decide, and return what to tell it.

        :param lead: its incarnation.
        :param now: the time in seconds.
        """
        self.end()
        self.lead = lead
        self.unanswered[0] = now
        self.sent_at = now
        jobs = [
            describe_job(job, now) for job in self.placer.queues.jobs.values()
        ]
        running = [
            RunningTask(
                describe((one.request,), one.standing, now),
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

    def end(self) -> None:
        """Decide here again; what the lead has decided under way is void."""
        self.lead = ''
        self.term += 1
        self.number = 0
        self.unanswered.clear()
        self.queued.clear()
        self.repeated.clear()
        self.dropped.clear()
        self.ended.clear()

    def note_queued(self, ticket: str) -> None:
        """Note that a job has come.

        :param ticket: of the job.
        """
        self.queued[ticket] = None

    def note_repeated(self, key: Key, avoided: str) -> None:
        """Note that a task waits again.

        :param key: of the task.
        :param avoided: side that it should not go to again.
        """
        self.repeated[key] = avoided

    def note_dropped(self, ticket: str) -> None:
        """Note that a job needs no place any more.

        :param ticket: of the job.
        """
        if ticket in self.queued:
            self.queued.pop(ticket)
        else:
            self.dropped.append(ticket)

    def note_ended(
        self, key: Key, outcome: str, usage: Usage, reason: str = ''
    ) -> None:
        """Note that a task runs no longer.

        :param key: of the task.
        :param outcome: as in `EndedTask`.
        :param usage: what it was seen to use.
        :param reason: of a refusal.
        """
        self.ended.append(EndedTask(*key, outcome, reason, *usage))

    def news(self, now: float) -> News | None:
        """Return what to tell the lead now, if anything.

        :param now: the time in seconds.
        """
        if not self.lead:
            return None
        jobs = self.waiting_jobs(now)
        if not (jobs or self.dropped or self.ended):
            is_due = now - self.sent_at >= PULSE and self.is_busy()
            if not is_due:
                return None
        self.number += 1
        self.unanswered[self.number] = now
        self.sent_at = now
        told = News(
            self.term,
            self.number,
            tuple(self.ended),
            tuple(jobs),
            tuple(self.dropped),
        )
        self.dropped.clear()
        self.ended.clear()
        return told

    def waiting_jobs(self, now: float) -> list[WaitingJob]:
        """Return the tasks that have come or wait again, once.

        :param now: the time in seconds.
        """
        found: list[WaitingJob] = []
        for ticket in self.queued:
            job = self.placer.queues.jobs.get(ticket)
            if job is not None:
                found.append(describe_job(job, now))
        for key, avoided in self.repeated.items():
            waiting = self.placer.queues.find(key)
            if waiting is not None and key[0] not in self.queued:
                job, _, request = waiting
                found.append(
                    describe((request,), job.standing, now, avoided=avoided)
                )
        self.queued.clear()
        self.repeated.clear()
        return found

    def is_silent(self, now: float) -> bool:
        """Return whether the lead owes an answer for too long.

        :param now: the time in seconds.
        """
        first = next(iter(self.unanswered.values()), now)
        return now - first > SILENCE

    def excuse(self, now: float) -> None:
        """Wait for answers anew after a pause of this process.

        :param now: the time in seconds.
        """
        self.unanswered = dict.fromkeys(self.unanswered, now)

    def take(self, lead: str, decisions: Decisions, now: float) -> Verdicts:
        """Take what the lead has decided.

        :param lead: incarnation of the sender.
        :param decisions: from it.
        :param now: the time in seconds.
        """
        if lead != self.lead or decisions.term != self.term:
            return NOTHING_NEW
        self.unanswered = {
            number: since
            for number, since in self.unanswered.items()
            if number > decisions.number
        }
        granted = [self.place(grant, now) for grant in decisions.grants]
        placements = tuple(filter(None, granted))
        return Verdicts(placements, decisions.given_up)

    def place(self, grant: Grant, now: float) -> Placement | None:
        """Reserve room for a task as the lead has decided.

        :param grant: the decision.
        :param now: the time in seconds.
        :returns: None if the task waits no more or cannot go there.
        """
        key = (grant.ticket, grant.task)
        found = self.placer.queues.find(key)
        if found is None:
            self.note_ended(key, LOST, NO_USAGE)
            return None
        job, _, request = found
        side = self.placer.sides.get(grant.side)
        if side is None or not side.is_open:
            self.note_ended(key, REFUSED, NO_USAGE, 'side is not in reach')
            self.note_repeated(key, grant.side)
            return None
        self.placer.queues.extract(key)
        job.has_begun = True
        return self.placer.assign(
            Assignment(
                grant.side,
                request,
                self.need(grant, request),
                self.placer.placed,
                now,
                job.standing,
            ),
            side,
            grant.reason,
        )

    def need(self, grant: Grant, request: Request) -> Need:
        """Return the estimate that a lead has decided by.

        :param grant: the decision.
        :param request: the task.
        """
        return self.placer.need(request)._replace(
            cores=grant.cores, memory=grant.memory, run_time=grant.run_time
        )
