"""A modelled entry with its placer."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any

from benchmarks.trial_side import OVERHEAD
from jackdawridge.placement.admission import QueueBounds
from jackdawridge.placement.learning import Usage
from jackdawridge.placement.placer import Placer
from jackdawridge.placement.policies import POLICIES
from jackdawridge.placement.request import Request

if TYPE_CHECKING:
    from benchmarks.trial_fleet import Trial
    from benchmarks.trial_side import Running, TrialSide
    from benchmarks.workload import Job
    from jackdawridge.execution.messages import Room, Start
    from jackdawridge.placement.request import Placement


class TrialEntry:
    """An entry with its placer.

    :param fleet: that it is part of.
    :param name: of the entry.
    :param policy: name of the policy.
    """

    def __init__(self, fleet: Trial, name: str, policy: str) -> None:
        """Begin without jobs."""
        self.fleet = fleet
        self.name = name
        self.placer = Placer(POLICIES[policy](name), QueueBounds(50000))
        self.refusals = 0
        self.offers = 0
        self.batches: dict[str, int] = defaultdict(int)
        self.left: dict[str, int] = {}

    def submit(self, ticket: str, job: Job) -> None:
        """Take a job.

        :param ticket: of the job.
        :param job: the job.
        """
        requests = [
            Request(
                ticket,
                number,
                job.team,
                task.kind,
                task.declared_cores,
                task.declared_memory,
                0,
                task.declared_run_time,
            )
            for number, task in enumerate(job.tasks)
        ]
        self.left[ticket] = len(requests)
        if self.placer.enqueue(requests, self.fleet.loop.now).is_ok():
            self.place()
        else:
            self.fleet.failed.add(ticket)

    def tick(self) -> None:
        """Place again and again, as the entry's timer does."""
        self.place()
        self.fleet.loop.later(0.25, self.tick)

    def place(self) -> None:
        """Place and send."""
        by_side: dict[str, list[Placement]] = defaultdict(list)
        for placement in self.placer.place(self.fleet.loop.now):
            by_side[placement.side_id].append(placement)
        for side_id, batch in by_side.items():
            self.batches[side_id] += 1
            number = self.batches[side_id]
            self.placer.sent(side_id, number, batch)
            side = self.fleet.sides[side_id]
            delay = self.fleet.deployment.latency + OVERHEAD / 2
            self.fleet.loop.later(delay, side.receive, self, number, batch)

    def reported(self, side: TrialSide, room: Room, processed: int) -> None:
        """Take in a report."""
        self.placer.side_reported(
            side.side_id, room, processed, self.fleet.loop.now
        )
        self.place()

    def offered(self, side: TrialSide, offer: Any) -> None:
        """Take in an offer."""
        self.placer.offer_received(side.side_id, offer, self.fleet.loop.now)
        self.place()

    def refused(
        self,
        side: TrialSide,
        room: Room,
        processed: int,
        starts: list[Start],
    ) -> None:
        """Take in refusals."""
        now = self.fleet.loop.now
        self.placer.side_reported(side.side_id, room, processed, now)
        for start in starts:
            key = (start.ticket, start.task)
            self.placer.refused(key, side.side_id, 'no room', now)
        self.place()

    def ended(
        self,
        side: TrialSide,
        room: Room,
        processed: int,
        one: Running,
        failed: bool,
    ) -> None:
        """Take in an end."""
        now = self.fleet.loop.now
        self.placer.side_reported(side.side_id, room, processed, now)
        task = one.task
        usage = Usage(task.cores, task.memory, now - one.began)
        ticket = one.start.ticket
        outcome = 'failed' if failed else 'succeeded'
        key = (ticket, one.start.task)
        self.placer.ended(key, side.side_id, outcome, usage, now)
        if failed:
            self.fleet.failed.add(ticket)
            self.placer.cancel(ticket)
        self.left[ticket] -= 1
        if not self.left[ticket]:
            self.fleet.finished[ticket] = now
        self.place()
