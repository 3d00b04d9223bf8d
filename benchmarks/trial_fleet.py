"""The simulated fleet: entries, sides and the jobs that they run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.trial_entry import SimulatedEntry
from benchmarks.trial_loop import EventLoop
from benchmarks.trial_side import SimulatedSide

if TYPE_CHECKING:
    from benchmarks.workload import Deployment, Job


class SimulatedFleet:
    """A simulated fleet, for a single run.

    :param deployment: sizes and latencies of the fleet.
    :param policy: name of the placement policy.
    :param entries: number of entries.
    """

    def __init__(
        self, deployment: Deployment, policy: str, entries: int = 2
    ) -> None:
        """Create entries and sides, link them and start their timers."""
        self.loop = EventLoop()
        self.deployment = deployment
        self.jobs: dict[str, Job] = {}
        self.finished: dict[str, float] = {}
        self.failed: set[str] = set()
        #: Begin, end and cores of each ended task.
        self.ended_tasks: list[tuple[float, float, float]] = []
        self.sides = {
            f'side-{number}': SimulatedSide(self, number)
            for number in range(deployment.workers)
        }
        self.entries = [
            SimulatedEntry(self, f'entry-{number}', policy)
            for number in range(entries)
        ]
        for entry in self.entries:
            for side in self.sides.values():
                entry.placer.side_joined(side.side_id, side.info, -10)
            entry.place_periodically()
        for number, side in enumerate(self.sides.values()):
            side.send_heartbeat()
            self.loop.call_later(number / 22, side.measure_usage)

    def entry(self, name: str) -> SimulatedEntry:
        """Return an entry by its name.

        :param name: name of the entry, which ends in its number.
        """
        return self.entries[int(name.rpartition('-')[2])]

    def submit_all(self, jobs: list[Job]) -> None:
        """Schedule the submission of jobs to the entries in turn.

        :param jobs: jobs ordered by submission time.
        """
        for number, job in enumerate(jobs):
            ticket = f't{number}'
            self.jobs[ticket] = job
            entry = self.entries[number % len(self.entries)]
            self.loop.call_later(job.submit_at, entry.submit, ticket, job)
