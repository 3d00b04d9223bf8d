"""Lead's side of a delegation: places the tasks of other entries."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.coordination.conversion import objective_of, requests_of
from jackdawridge.coordination.messages import (
    LOST,
    REFUSED,
    Decisions,
    Grant,
    ShedDecision,
)
from jackdawridge.coordination.selection import MIN_REACHED_FRACTION
from jackdawridge.placement.assignment import Assignment
from jackdawridge.placement.fleet import REFUSAL_WAIT
from jackdawridge.placement.learning import Usage
from jackdawridge.placement.tracking import NO_ROOM

if TYPE_CHECKING:
    from collections.abc import Collection

    from jackdawridge.coordination.messages import (
        Delegation,
        DelegationUpdate,
        EndedTask,
        RunningTask,
        WaitingJob,
    )
    from jackdawridge.placement.placer import Placer
    from jackdawridge.placement.request import Key, Placement, UnplaceableTask

#: Time in seconds without a message after which an entry with tasks here is
#: forgotten. It sends one at least every `UPDATE_INTERVAL` while it has any.
DELEGATOR_TIMEOUT = 0.35
#: Time in seconds for which this entry may lack links to the sides of another
#: that it decides for. A side that relinks does so within it.
REACH_TIMEOUT = 0.5
#: Placement reason of a task that was running before this entry became lead.
TAKEN_OVER_REASON = 'taken over'


class Delegator:
    """An entry whose tasks this entry places.

    :param incarnation: run of the entry.
    :param delegation: message by which the entry has delegated.
    :param now: current time in seconds.
    """

    def __init__(
        self, incarnation: str, delegation: Delegation, now: float
    ) -> None:
        """Start without decisions for the entry."""
        self.incarnation = incarnation
        self.term = delegation.term
        #: Number of the last update that was received.
        self.number = 0
        #: Nodes of the sides that the entry is linked to.
        self.reach = frozenset(delegation.sides)
        #: Positions of the running tasks, by ticket.
        self.running: dict[str, set[int]] = defaultdict(set)
        #: Tickets of all jobs of the entry that are known here.
        self.tickets: set[str] = set()
        self.grants: list[Grant] = []
        self.given_up: list[ShedDecision] = []
        #: Whether an update hasn't been answered yet.
        self.is_answer_due = True
        #: Time of the last message from the entry, in seconds.
        self.heard_at = now
        #: Time at which this entry was last linked to nearly all its sides.
        self.reached_at = now


class Answer(NamedTuple):
    """Decisions to send, with the entry that receives them."""

    incarnation: str
    decisions: Decisions


class Lead:
    """Places the tasks of delegators together with those of its own entry.

    The delegators send the starts and receive the outcomes themselves, so that
    no job depends on this entry. They place their own tasks once they get no
    answer from it.

    :param placer: placer of this entry.
    """

    def __init__(self, placer: Placer) -> None:
        """Start without delegators."""
        self.placer = placer
        self.delegators: dict[str, Delegator] = {}
        #: Delegator that owns the job, by ticket.
        self.owners: dict[str, Delegator] = {}

    def reaches(self, sides: Collection[str]) -> bool:
        """Return whether this entry is linked to nearly all sides of another.

        :param sides: nodes of the sides of the other entry.
        """
        known = sum(side in self.placer.sides for side in sides)
        return bool(known) and known >= MIN_REACHED_FRACTION * len(sides)

    def find_unreached(self, now: float) -> list[Delegator]:
        """Return the delegators whose sides have been out of reach for long.

        :param now: current time in seconds.
        """
        for known in self.delegators.values():
            if self.reaches(known.reach):
                known.reached_at = now
        return [
            delegator
            for delegator in self.delegators.values()
            if now - delegator.reached_at > REACH_TIMEOUT
        ]

    def accept(
        self, incarnation: str, delegation: Delegation, now: float
    ) -> None:
        """Start placing the tasks of an entry.

        :param incarnation: run of the entry.
        :param delegation: queued and running tasks of the entry.
        :param now: current time in seconds.
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
        """Account for a task that was running before the delegation.

        :param delegator: entry that owns the task.
        :param task: the running task.
        :param now: current time in seconds.
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
        self.placer.assign(assignment, side, TAKEN_OVER_REASON)
        self.record_running(delegator, request.key)
        side.mark_reported(need)

    def record_running(self, delegator: Delegator, key: Key) -> None:
        """Record a running task of a delegator.

        :param delegator: entry that owns the task.
        :param key: ticket of the job and position of the task.
        """
        ticket, task = key
        self.owners[ticket] = delegator
        delegator.tickets.add(ticket)
        delegator.running[ticket].add(task)

    def queue(
        self, delegator: Delegator, waiting: WaitingJob, now: float
    ) -> None:
        """Queue tasks of a delegator.

        :param delegator: entry that owns the tasks.
        :param waiting: the queued tasks.
        :param now: current time in seconds.
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

    def apply_update(
        self, incarnation: str, update: DelegationUpdate, now: float
    ) -> bool:
        """Apply an update from a delegator.

        :param incarnation: run of the sender.
        :param update: changes since the previous update.
        :param now: current time in seconds.
        :returns: False if this entry doesn't place tasks for the sender.
        """
        delegator = self.delegators.get(incarnation)
        if delegator is None or delegator.term != update.term:
            return False
        delegator.heard_at = now
        delegator.number = update.number
        delegator.is_answer_due = True
        for task in update.ended:
            self.end_task(delegator, task, now)
        # A job that was dropped may have been queued again since, under the
        # same ticket. One that was dropped after that isn't in the update.
        for ticket in update.dropped:
            self.drop(delegator, ticket)
        for job in update.jobs:
            self.queue(delegator, job, now)
        return True

    def end_task(
        self, delegator: Delegator, task: EndedTask, now: float
    ) -> None:
        """Release a task of a delegator that has ended or was refused.

        :param delegator: entry that owns the task.
        :param task: the task with its outcome.
        :param now: current time in seconds.
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
            self.release_capacity(assignment, task.reason, now)
        self.drop_if_finished(delegator, task.ticket)

    def release_capacity(
        self, assignment: Assignment, refusal: str, now: float
    ) -> None:
        """Return the capacity of a released task to its side.

        :param assignment: released assignment.
        :param refusal: reason for which the side refused the start, or empty.
        :param now: current time in seconds.
        """
        side = self.placer.sides.get(assignment.side_id)
        if side is not None and refusal and refusal != NO_ROOM:
            side.close_until(now + REFUSAL_WAIT)
        if refusal != NO_ROOM:
            self.placer.restore_room(assignment)

    def drop_if_finished(self, delegator: Delegator, ticket: str) -> None:
        """Forget a job that has neither queued nor running tasks.

        :param delegator: entry that owns the job.
        :param ticket: ticket of the job.
        """
        if not delegator.running.get(ticket):
            delegator.running.pop(ticket, None)
            if ticket not in self.placer.queues.jobs:
                self.drop(delegator, ticket)

    def drop(self, delegator: Delegator, ticket: str) -> None:
        """Drop the queued tasks of a job.

        :param delegator: entry that owns the job.
        :param ticket: ticket of the job.
        """
        self.placer.cancel(ticket)
        if not delegator.running.get(ticket):
            self.owners.pop(ticket, None)
            delegator.tickets.discard(ticket)

    def forget(self, incarnation: str) -> None:
        """Stop placing the tasks of an entry.

        Its running tasks are accounted for by the reports of the sides.

        :param incarnation: run of the entry.
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
        """Forget entries with tasks here that have been silent for too long.

        :param now: current time in seconds.
        :returns: incarnations of the forgotten entries.
        """
        silent = [
            incarnation
            for incarnation, delegator in self.delegators.items()
            if delegator.tickets
            and now - delegator.heard_at > DELEGATOR_TIMEOUT
        ]
        for incarnation in silent:
            self.forget(incarnation)
        return silent

    def grant(self, placement: Placement) -> None:
        """Grant a placed task to the delegator that owns it.

        :param placement: placement of the task.
        """
        request = placement.request
        delegator = self.owners[request.ticket]
        self.placer.record_delegated_start(request.key)
        self.record_running(delegator, request.key)
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

    def shed(self, impossible: UnplaceableTask) -> None:
        """Tell the delegator that owns a job to shed it.

        :param impossible: a task of the job, with the reason.
        """
        ticket = impossible.request.ticket
        delegator = self.owners.get(ticket)
        if delegator is not None:
            delegator.given_up.append(ShedDecision(ticket, impossible.reason))
            self.drop(delegator, ticket)

    def collect_answers(self) -> list[Answer]:
        """Return the decisions to send now and clear them."""
        found: list[Answer] = []
        for delegator in self.delegators.values():
            if not (
                delegator.is_answer_due
                or delegator.grants
                or delegator.given_up
            ):
                continue
            decisions = Decisions(
                delegator.term,
                delegator.number,
                tuple(delegator.grants),
                tuple(delegator.given_up),
            )
            found.append(Answer(delegator.incarnation, decisions))
            delegator.is_answer_due = False
            delegator.grants.clear()
            delegator.given_up.clear()
        return found
