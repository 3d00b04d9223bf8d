"""A simulated entry, which uses the real placer."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any

from benchmarks.trial_side import OVERHEAD_TIME
from jackdawridge.placement.admission import QueueBounds
from jackdawridge.placement.learning import Usage
from jackdawridge.placement.placer import Placer
from jackdawridge.placement.policies import POLICIES
from jackdawridge.placement.request import Request

if TYPE_CHECKING:
    from benchmarks.trial_fleet import SimulatedFleet
    from benchmarks.trial_side import RunningTask, SimulatedSide
    from benchmarks.workload import Job
    from jackdawridge.execution.messages import Room, Start
    from jackdawridge.placement.request import Placement


class SimulatedEntry:
    """A simulated entry with a real placer.

    :param fleet: fleet that the entry belongs to.
    :param name: name of the entry.
    :param policy: name of the placement policy.
    """

    def __init__(self, fleet: SimulatedFleet, name: str, policy: str) -> None:
        """Create the placer, with an empty queue."""
        self.fleet = fleet
        self.name = name
        self.placer = Placer(POLICIES[policy](name), QueueBounds(50000))
        self.refusals = 0
        self.offers = 0
        self.batch_numbers: dict[str, int] = defaultdict(int)
        self.unfinished_tasks: dict[str, int] = {}

    def submit(self, ticket: str, job: Job) -> None:
        """Enqueue the tasks of a job and place; a rejected job has failed.

        :param ticket: ticket of the job.
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
        self.unfinished_tasks[ticket] = len(requests)
        if self.placer.enqueue(requests, self.fleet.loop.now).is_ok():
            self.place_tasks()
        else:
            self.fleet.failed.add(ticket)

    def place_periodically(self) -> None:
        """Place tasks at a fixed interval, like the timer of an entry."""
        self.place_tasks()
        self.fleet.loop.call_later(0.25, self.place_periodically)

    def place_tasks(self) -> None:
        """Run a placement pass and send the starts to the sides."""
        by_side: dict[str, list[Placement]] = defaultdict(list)
        for placement in self.placer.place(self.fleet.loop.now):
            by_side[placement.side_id].append(placement)
        for side_id, batch in by_side.items():
            self.batch_numbers[side_id] += 1
            number = self.batch_numbers[side_id]
            self.placer.sent(side_id, number, batch)
            side = self.fleet.sides[side_id]
            delay = self.fleet.deployment.latency + OVERHEAD_TIME / 2
            self.fleet.loop.call_later(
                delay, side.handle_starts, self, number, batch
            )

    def handle_report(
        self, side: SimulatedSide, room: Room, processed: int
    ) -> None:
        """Handle a heartbeat of a side, which reports its room."""
        self.placer.side_reported(
            side.side_id, room, processed, self.fleet.loop.now
        )
        self.place_tasks()

    def handle_offer(self, side: SimulatedSide, offer: Any) -> None:
        """Handle an offer of held room."""
        self.placer.offer_received(side.side_id, offer, self.fleet.loop.now)
        self.place_tasks()

    def handle_refusals(
        self,
        side: SimulatedSide,
        room: Room,
        processed: int,
        starts: list[Start],
    ) -> None:
        """Handle the refusal of starts, with the room of the side."""
        now = self.fleet.loop.now
        self.placer.side_reported(side.side_id, room, processed, now)
        for start in starts:
            key = (start.ticket, start.task)
            self.placer.refused(key, side.side_id, 'no room', now)
        self.place_tasks()

    def handle_end(
        self,
        side: SimulatedSide,
        room: Room,
        processed: int,
        running: RunningTask,
        failed: bool,
    ) -> None:
        """Handle the end of a task, with the room of the side.

        The job of a failed task fails, and its other tasks are cancelled.
        """
        now = self.fleet.loop.now
        self.placer.side_reported(side.side_id, room, processed, now)
        task = running.task
        usage = Usage(task.cores, task.memory, now - running.began)
        ticket = running.start.ticket
        outcome = 'failed' if failed else 'succeeded'
        key = (ticket, running.start.task)
        self.placer.ended(key, side.side_id, outcome, usage, now)
        if failed:
            self.fleet.failed.add(ticket)
            self.placer.cancel(ticket)
        self.unfinished_tasks[ticket] -= 1
        if not self.unfinished_tasks[ticket]:
            self.fleet.finished[ticket] = now
        self.place_tasks()
