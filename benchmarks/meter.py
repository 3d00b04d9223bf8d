"""Runs jobs on a deployment of real processes and computes figures."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any, NamedTuple

from benchmarks.cluster import Cluster
from benchmarks.figures import Slowdowns, percentile
from benchmarks.load import Action, LoadGenerator
from benchmarks.records import WorkerRecords
from benchmarks.workload import Job, Workload

if TYPE_CHECKING:
    from collections.abc import Sequence

    from benchmarks.load import JobAnswer
    from benchmarks.workload import Deployment

#: Jobs that arrive in this time from the start of a run are not counted,
#: in seconds.
WARM_UP_TIME = 2.0

#: Default seed of a workload, used for runs with faults.
SEED = 1

Row = dict[str, Any]


class Run(NamedTuple):
    """Answers, worker records and figures of one run."""

    answers: list[JobAnswer]
    recorded: WorkerRecords
    row: Row


class Meter:
    """Runs jobs on one deployment and keeps a row for each variant.

    :param reactor: Twisted's reactor.
    :param deployment: size and latency of the deployment to start.
    """

    def __init__(self, reactor: Any, deployment: Deployment) -> None:
        """Start the processes with the placement policy `room`."""
        self.reactor = reactor
        self.deployment = deployment
        self.cluster = Cluster(deployment, 'room')
        self.rows: list[Row] = []

    async def run(
        self,
        variant: str,
        jobs: Sequence[Job],
        actions: Sequence[Action] = (),
    ) -> Run:
        """Run one variant and add its row to the rows of the meter.

        :param variant: name of the variant.
        :param jobs: jobs to submit.
        :param actions: actions carried out during the run.
        """
        run = await self.measure(variant, jobs, actions)
        self.rows.append(run.row)
        return run

    async def measure(
        self,
        variant: str,
        jobs: Sequence[Job],
        actions: Sequence[Action] = (),
    ) -> Run:
        """Run one variant and return its results without keeping them.

        :param variant: name of the variant.
        :param jobs: jobs to submit.
        :param actions: actions carried out during the run.
        """
        cluster = self.cluster
        load = LoadGenerator(
            self.reactor,
            cluster.caller_addresses,
            self.deployment.client_latency,
        )
        before = self.read_counters()
        answers = await load.run(jobs, actions)
        after = self.read_counters()
        await load.close()
        recorded = WorkerRecords(
            cluster.records(), answers, load.began_monotonic
        )
        row: Row = {
            'deployment': self.deployment.name,
            'policy': cluster.policy,
            'variant': variant,
            **self.response_times(answers),
            **costs_per_task(jobs, before, after),
            'failed': sum(answer.status != 200 for answer in answers),
            'double_starts': recorded.double_starts(),
        }
        return Run(answers, recorded, row)

    def read_counters(self) -> dict[str, float]:
        """Return refusals, offers and processor seconds so far."""
        statuses = [self.cluster.status(number) for number in (0, 1)]
        return {
            'refused': sum(status['refused'] for status in statuses),
            'offered': sum(status['offered'] for status in statuses),
            'entry': sum(
                entry.processor_time() for entry in self.cluster.entries
            ),
            'side': sum(side.processor_time() for side in self.cluster.sides),
        }

    def response_times(self, answers: Sequence[JobAnswer]) -> Row:
        """Return the job counts and the percentiles of the slowdown.

        :param answers: answers to all jobs of a run.
        """
        slowdowns = self.slowdowns(answers)
        return {
            'jobs': len(answers),
            'counted': len(slowdowns),
            'p50': round(percentile(slowdowns, 0.5), 3),
            'p99': round(percentile(slowdowns, 0.99), 3),
        }

    def slowdowns(self, answers: Sequence[JobAnswer]) -> list[float]:
        """Return the slowdown of each successful job after the warm-up.

        :param answers: answers to all jobs of a run.
        """
        deployment = self.deployment
        slowdowns = Slowdowns(
            deployment.cores * deployment.workers,
            2 * deployment.client_latency,
        )
        for answer in answers:
            if answer.status == 200 and answer.job.submit_at >= WARM_UP_TIME:
                slowdowns.add(answer.job, answer.response)
        return slowdowns.values

    def steady_jobs(self, load: float, times: Sequence[float]) -> list[Job]:
        """Return jobs that offer the same load in each interval.

        :param load: offered work as a fraction of the cores.
        :param times: boundaries of the consecutive intervals, in seconds.
        """
        workload = self.workload()
        return [
            job
            for begin, end in itertools.pairwise(times)
            for job in workload.arrivals(load, begin, end)
        ]

    def workload(self, seed: int = SEED) -> Workload:
        """Return a new workload for the deployment.

        :param seed: seed of the random numbers that make the jobs.
        """
        return Workload(self.deployment, seed)


def costs_per_task(
    jobs: Sequence[Job], before: dict[str, float], after: dict[str, float]
) -> Row:
    """Return the wasted messages and the processor time per task.

    A refused start wastes two messages, the start and the refusal.

    :param jobs: all jobs of the run.
    :param before: counters before the run.
    :param after: counters after the run.
    """
    tasks = sum(len(job.tasks) for job in jobs)
    # The counters of a process that was replaced restart at zero.
    change = {name: max(after[name] - before[name], 0) for name in before}
    wasted = 2 * change['refused'] + change['offered']
    return {
        'tasks': tasks,
        'wasted': round(wasted / tasks, 3),
        'entry_us': round(change['entry'] / tasks * 1e6),
        'side_us': round(change['side'] / tasks * 1e6),
    }
