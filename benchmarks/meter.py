"""Runs jobs on a deployment of real processes and takes the figures."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any, NamedTuple

from benchmarks.cluster import Cluster
from benchmarks.figures import Slowdowns, percentile
from benchmarks.load import Action, LoadGenerator
from benchmarks.records import Recorded
from benchmarks.workload import Job, Workload

if TYPE_CHECKING:
    from collections.abc import Sequence

    from benchmarks.load import JobAnswer
    from benchmarks.workload import Deployment

#: Time at the beginning of a run whose jobs are not counted, in seconds.
WARM_UP = 2.0

#: Seed of the jobs of runs with faults.
SEED = 1

Row = dict[str, Any]


class Run(NamedTuple):
    """What one run left."""

    answers: list[JobAnswer]
    recorded: Recorded
    row: Row


class Meter:
    """Runs jobs on one deployment and keeps a row for each variant.

    :param reactor: Twisted's reactor.
    :param deployment: the fleet.
    """

    def __init__(self, reactor: Any, deployment: Deployment) -> None:
        """Start the processes."""
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
        """Run one variant and keep its figures.

        :param variant: its name.
        :param jobs: that are submitted.
        :param actions: done by the way.
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
        """Run one variant.

        :param variant: its name.
        :param jobs: that are submitted.
        :param actions: done by the way.
        """
        cluster = self.cluster
        load = LoadGenerator(
            self.reactor, cluster.callers, self.deployment.client_latency
        )
        before = self.counts()
        answers = await load.run(jobs, actions)
        after = self.counts()
        await load.close()
        recorded = Recorded(cluster.records(), answers, load.began_monotonic)
        row: Row = {
            'deployment': self.deployment.name,
            'policy': cluster.policy,
            'variant': variant,
            **self.response_times(answers),
            **per_task(jobs, before, after),
            'failed': sum(answer.status != 200 for answer in answers),
            'double_starts': recorded.double_starts(),
        }
        return Run(answers, recorded, row)

    def counts(self) -> dict[str, float]:
        """Return what is compared before and after a run."""
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
        """Return the response times over the ideal ones.

        :param answers: of a run.
        """
        slowdowns = self.slowdowns(answers)
        return {
            'jobs': len(answers),
            'counted': len(slowdowns),
            'p50': round(percentile(slowdowns, 0.5), 3),
            'p99': round(percentile(slowdowns, 0.99), 3),
        }

    def slowdowns(self, answers: Sequence[JobAnswer]) -> list[float]:
        """Return the response time over the ideal one of each counted job.

        :param answers: of a run.
        """
        deployment = self.deployment
        slowdowns = Slowdowns(
            deployment.cores * deployment.workers,
            2 * deployment.client_latency,
        )
        for answer in answers:
            if answer.status == 200 and answer.job.submit_at >= WARM_UP:
                slowdowns.add(answer.job, answer.response)
        return slowdowns.values

    def steady_jobs(self, load: float, times: Sequence[float]) -> list[Job]:
        """Return jobs whose work is the same load in each interval.

        :param load: work offered over the cores.
        :param times: at which the intervals begin and end.
        """
        workload = self.workload()
        return [
            job
            for begin, end in itertools.pairwise(times)
            for job in workload.arrivals(load, begin, end)
        ]

    def workload(self, seed: int = SEED) -> Workload:
        """Return a workload that begins anew.

        :param seed: of the jobs.
        """
        return Workload(self.deployment, seed)


def per_task(
    jobs: Sequence[Job], before: dict[str, float], after: dict[str, float]
) -> Row:
    """Return messages and processor time for each task.

    A refused start wastes a start and a refusal.

    :param jobs: of the run.
    :param before: counts before the run.
    :param after: counts after the run.
    """
    tasks = sum(len(job.tasks) for job in jobs)
    # A process that was replaced has begun to count anew.
    change = {name: max(after[name] - before[name], 0) for name in before}
    wasted = 2 * change['refused'] + change['offered']
    return {
        'tasks': tasks,
        'wasted': round(wasted / tasks, 3),
        'entry_us': round(change['entry'] / tasks * 1e6),
        'side_us': round(change['side'] / tasks * 1e6),
    }
