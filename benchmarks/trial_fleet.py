"""A modelled fleet: entries, sides and the jobs that they run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.trial_entry import TrialEntry
from benchmarks.trial_loop import Loop
from benchmarks.trial_side import TrialSide

if TYPE_CHECKING:
    from benchmarks.workload import Deployment, Job


class Trial:
    """One run of a fleet in memory.

    :param deployment: the fleet.
    :param policy: name of the policy.
    :param entries: how many there are.
    """

    def __init__(
        self, deployment: Deployment, policy: str, entries: int = 2
    ) -> None:
        """Link all entries with all sides."""
        self.loop = Loop()
        self.deployment = deployment
        self.jobs: dict[str, Job] = {}
        self.finished: dict[str, float] = {}
        self.failed: set[str] = set()
        #: Begin, end and cores of each task that has ended.
        self.busy: list[tuple[float, float, float]] = []
        self.sides = {
            f'side-{number}': TrialSide(self, number)
            for number in range(deployment.workers)
        }
        self.entries = [
            TrialEntry(self, f'entry-{number}', policy)
            for number in range(entries)
        ]
        for entry in self.entries:
            for side in self.sides.values():
                entry.placer.side_joined(side.side_id, side.info, -10)
            entry.tick()
        for number, side in enumerate(self.sides.values()):
            side.heartbeat()
            self.loop.later(number / 22, side.report_usage)

    def entry(self, name: str) -> TrialEntry:
        """Return an entry by its name.

        :param name: of the entry.
        """
        return self.entries[int(name.rpartition('-')[2])]

    def load(self, jobs: list[Job]) -> None:
        """Submit jobs at their times, to the entries in turn.

        :param jobs: in the order of their times.
        """
        for number, job in enumerate(jobs):
            ticket = f't{number}'
            self.jobs[ticket] = job
            entry = self.entries[number % len(self.entries)]
            self.loop.later(job.at, entry.submit, ticket, job)
