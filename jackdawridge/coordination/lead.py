"""What an entry keeps of others for which it decides."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.coordination.messages import (
    LOST,
    REFUSED,
    Decisions,
    GivenUp,
    Grant,
)
from jackdawridge.coordination.waiting import objective_of, requests_of
from jackdawridge.placement.fleet import REFUSAL_WAIT
from jackdawridge.placement.learning import Usage
from jackdawridge.placement.tracking import NO_ROOM, Assignment

if TYPE_CHECKING:
    from jackdawridge.coordination.messages import (
        Delegation,
        EndedTask,
        News,
        RunningTask,
        WaitingJob,
    )
    from jackdawridge.placement.placer import Placer
    from jackdawridge.placement.request import Key, Placement, UnplaceableTask

#: Silence after which an entry that has work here is forgotten, in seconds.
#: It says something in each `PULSE` while it has any.
FORGET_AFTER = 0.35
#: Part of an entry's sides that a lead must reach itself.
LEAST_REACH = 0.9
#: Reason for the start of a task that ran before this entry decided.
TAKEN_OVER = 'taken over'


class Delegator:
    """An entry for which this one decides.

    :param incarnation: of the entry.
    :param delegation: what it has asked for.
    :param now: the time in seconds.
    """

    def __init__(
        self, incarnation: str, delegation: Delegation, now: float
    ) -> None:
        """Begin without decisions."""
        self.incarnation = incarnation
        self.term = delegation.term
        #: Number of the newest news.
        self.number = 0
        #: Nodes of the sides that the entry reaches.
        self.reach = frozenset(delegation.sides)
        #: Positions of the tasks that run, by ticket.
        self.running: dict[str, set[int]] = defaultdict(set)
        #: Tickets of all its jobs that are known here.
        self.tickets: set[str] = set()
        self.grants: list[Grant] = []
        self.given_up: list[GivenUp] = []
        #: Whether an answer is due.
        self.is_owed = True
        self.heard_at = now


class Answer(NamedTuple):
    """Decisions and the entry that they are for."""

    incarnation: str
    decisions: Decisions


class Lead:
    """Places the tasks of other entries together with those of its own.

    The others send the starts and hear how they end, so that no job depends
    on this entry. Once they hear nothing from it they decide by themselves.

    :param placer: of this entry.
    """

    def __init__(self, placer: Placer) -> None:
        """Begin without delegators."""
        self.placer = placer
        self.delegators: dict[str, Delegator] = {}
        #: Whose job each ticket is.
        self.owners: dict[str, Delegator] = {}

    def reaches(self, delegation: Delegation) -> bool:
        """Return whether this entry knows nearly all sides of another.

        :param delegation: of the other entry.
        """
        known = sum(side in self.placer.sides for side in delegation.sides)
        return bool(known) and known >= LEAST_REACH * len(delegation.sides)

    def begin(
        self, incarnation: str, delegation: Delegation, now: float
    ) -> None:
        """Decide for an entry from now on.

        :param incarnation: of the entry.
        :param delegation: what it has asked for.
        :param now: the time in seconds.
        """
        self.forget(incarnation)
        delegator = Delegator(incarnation, delegation, now)
        self.delegators[incarnation] = delegator
        self.placer.set_lead(is_lead=True)
        for task in delegation.running:
            self.take_over(delegator, task, now)
        for job in delegation.jobs:
            self.queue(delegator, job, now)

    def take_over(
        self, delegator: Delegator, task: RunningTask, now: float
    ) -> None:
        """Count a task that runs already.

        :param delegator: whose task it is.
        :param task: that runs.
        :param now: the time in seconds.
        """
        side = self.placer.sides.get(task.side)
        if side is None:
            return
        request = requests_of(task.job)[0]
        job = self.placer.queues.make_job([request])
        placed_at = now - task.age
        standing = self.placer.standing(
            job, now - task.job.waited, objective_of(task.job)
        )
        need = self.placer.need(request)._replace(
            cores=task.cores, memory=task.memory, run_time=task.run_time
        )
        assignment = Assignment(
            task.side, request, need, self.placer.placed, placed_at, standing
        )
        self.placer.assign(assignment, side, TAKEN_OVER)
        self.note(delegator, request.key)
        side.mark_reported(need)

    def note(self, delegator: Delegator, key: Key) -> None:
        """Keep that a task of an entry runs.

        :param delegator: the entry.
        :param key: of the task.
        """
        ticket, task = key
        self.owners[ticket] = delegator
        delegator.tickets.add(ticket)
        delegator.running[ticket].add(task)

    def queue(
        self, delegator: Delegator, waiting: WaitingJob, now: float
    ) -> None:
        """Queue tasks of an entry.

        :param delegator: the entry.
        :param waiting: the tasks.
        :param now: the time in seconds.
        """
        requests = requests_of(waiting)
        if not requests:
            return
        self.owners[waiting.ticket] = delegator
        delegator.tickets.add(waiting.ticket)
        if waiting.avoided:
            for request in requests:
                self.placer.avoided[request.ticket][request.task] = (
                    waiting.avoided
                )
        queues = self.placer.queues
        known = queues.jobs.get(waiting.ticket)
        if known is not None:
            for request in reversed(requests):
                queues.requeue(request, known.standing)
            return
        job = queues.make_job(requests)
        job.has_begun = waiting.has_begun
        job.reachable_sides = delegator.reach
        self.placer.enqueue_unchecked(
            job, now - waiting.waited, objective_of(waiting)
        )

    def take_news(self, incarnation: str, news: News, now: float) -> bool:
        """Take in what has changed at an entry.

        :param incarnation: of the entry.
        :param news: from it.
        :param now: the time in seconds.
        :returns: whether this entry decides for it.
        """
        delegator = self.delegators.get(incarnation)
        if delegator is None or delegator.term != news.term:
            return False
        delegator.heard_at = now
        delegator.number = news.number
        delegator.is_owed = True
        for task in news.ended:
            self.end(delegator, task, now)
        for job in news.jobs:
            self.queue(delegator, job, now)
        for ticket in news.dropped:
            self.drop(delegator, ticket)
        return True

    def end(self, delegator: Delegator, task: EndedTask, now: float) -> None:
        """Take in that a task of an entry runs no longer.

        :param delegator: the entry.
        :param task: that has ended.
        :param now: the time in seconds.
        """
        key = (task.ticket, task.task)
        running = delegator.running.get(task.ticket)
        if running is None or task.task not in running:
            return
        running.discard(task.task)
        if task.outcome in {LOST, REFUSED}:
            assignment = self.placer.discard_assignment(key)
        else:
            usage = Usage(task.cores, task.memory, task.run_time)
            side_id = self.placer.assignments[key].side_id
            assignment = self.placer.ended(
                key, side_id, task.outcome, usage, now
            )
        if assignment is not None:
            self.give_back(assignment, task.reason, now)
        self.drop_if_over(delegator, task.ticket)

    def give_back(
        self, assignment: Assignment, refusal: str, now: float
    ) -> None:
        """Count the room of a task that has left its side.

        :param assignment: that was released.
        :param refusal: why the side refused it, or empty.
        :param now: the time in seconds.
        """
        side = self.placer.sides.get(assignment.side_id)
        if side is not None and refusal and refusal != NO_ROOM:
            side.close_until(now + REFUSAL_WAIT)
        if refusal != NO_ROOM:
            self.placer.restore_room(assignment)

    def drop_if_over(self, delegator: Delegator, ticket: str) -> None:
        """Forget a job of which nothing waits or runs.

        :param delegator: whose job it is.
        :param ticket: of the job.
        """
        if not delegator.running.get(ticket):
            delegator.running.pop(ticket, None)
            if ticket not in self.placer.queues.jobs:
                self.drop(delegator, ticket)

    def drop(self, delegator: Delegator, ticket: str) -> None:
        """Place no more of a job.

        :param delegator: whose job it is.
        :param ticket: of the job.
        """
        self.placer.cancel(ticket)
        if not delegator.running.get(ticket):
            self.owners.pop(ticket, None)
            delegator.tickets.discard(ticket)

    def forget(self, incarnation: str) -> None:
        """Decide no longer for an entry.

        What runs of it is seen in the reports of the sides.

        :param incarnation: of the entry.
        """
        delegator = self.delegators.pop(incarnation, None)
        if delegator is None:
            return
        for ticket, tasks in delegator.running.items():
            for task in tasks:
                self.placer.discard_assignment((ticket, task))
        for ticket in delegator.tickets:
            self.placer.cancel(ticket)
            self.owners.pop(ticket, None)
        if not self.delegators:
            self.placer.set_lead(is_lead=False)

    def forget_silent(self, now: float) -> list[str]:
        """Forget entries that have work here and say nothing.

        :param now: the time in seconds.
        :returns: their incarnations.
        """
        silent = [
            incarnation
            for incarnation, delegator in self.delegators.items()
            if delegator.tickets and now - delegator.heard_at > FORGET_AFTER
        ]
        for incarnation in silent:
            self.forget(incarnation)
        return silent

    def grant(self, placement: Placement) -> None:
        """Let an entry start a task of its own.

        :param placement: of the task.
        """
        request = placement.request
        delegator = self.owners[request.ticket]
        self.placer.record_delegated_start(request.key)
        self.note(delegator, request.key)
        delegator.grants.append(
            Grant(
                *request.key,
                placement.side_id,
                placement.cores,
                placement.memory,
                placement.run_time,
                placement.reason,
            )
        )

    def give_up(self, useless: UnplaceableTask) -> None:
        """Let an entry answer a job without its result.

        :param useless: one of its tasks, with the reason.
        """
        ticket = useless.request.ticket
        delegator = self.owners.get(ticket)
        if delegator is not None:
            delegator.given_up.append(GivenUp(ticket, useless.reason))
            self.drop(delegator, ticket)

    def answers(self) -> list[Answer]:
        """Return what is to be sent now."""
        found: list[Answer] = []
        for delegator in self.delegators.values():
            if not (
                delegator.is_owed or delegator.grants or delegator.given_up
            ):
                continue
            decisions = Decisions(
                delegator.term,
                delegator.number,
                tuple(delegator.grants),
                tuple(delegator.given_up),
            )
            found.append(Answer(delegator.incarnation, decisions))
            delegator.is_owed = False
            delegator.grants.clear()
            delegator.given_up.clear()
        return found
