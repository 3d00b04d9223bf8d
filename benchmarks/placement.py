"""Benchmarks of the placement under load and faults, on real processes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from benchmarks.cluster import ask
from benchmarks.load import Action
from benchmarks.meter import SEED, Meter
from benchmarks.pool import pool_runs
from benchmarks.workload import Job, Task

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Duration of a run without faults, in seconds.
RUN_TIME = 8.0

#: Seeds of the jobs of runs without faults.
SEEDS = (SEED, 2, 3)

#: Policies that the policy `room` is compared with.
BASELINES = ('random', 'round-robin', 'least-load')

#: Failure domain that is taken out of service, and the times of its removal and
#: return, in seconds.
REMOVED_DOMAIN = 'soweto'
REMOVED_AT = 4.0
RESTORED_AT = 10.0

#: Times at which other faults begin and end, in seconds.
FAULT_BEGIN = 3.0
FAULT_END = 8.0

#: Number of jobs that are cancelled together.
CANCELLED_JOBS = 150


class PlacementBench(Meter):
    """Runs the variants of the placement benchmark on one deployment.

    :param reactor: Twisted's reactor.
    :param deployment: the fleet.
    """

    async def run_loads(
        self, loads: Sequence[float], seeds: Sequence[int] = SEEDS
    ) -> None:
        """Run loads without faults and pool the runs of all seeds in one row.

        :param loads: offered work over the capacity of the cores.
        :param seeds: seeds of the generated jobs.
        """
        for load in loads:
            runs = []
            for seed in seeds:
                jobs = self.workload(seed).arrivals(load, 0, RUN_TIME)
                runs.append(await self.measure(f'load {load}', jobs))
            slowdowns = [self.slowdowns(run.answers) for run in runs]
            self.rows.append(pool_runs([run.row for run in runs], slowdowns))

    async def warm_up(self) -> None:
        """Run a load and discard its row.

        The processes of a new cluster are slower at first, which would put the
        policy that runs first at a disadvantage.
        """
        await self.run_loads((0.5,), (SEED,))
        self.rows.clear()

    async def run_burst(self) -> None:
        """Run load 0.6 with a burst of three times the load for 1.5 seconds."""
        workload = self.workload()
        jobs = workload.arrivals(0.6, 0, RUN_TIME)
        jobs += workload.arrivals(1.2, FAULT_BEGIN, FAULT_BEGIN + 1.5)
        jobs.sort(key=submission_time)
        await self.run('burst 3x', jobs)

    async def run_fairness(self) -> None:
        """Let one team overload the fleet and another stay within its share."""
        workload = self.workload()
        jobs = [
            job._replace(team=team)
            for team, load in (('flood', 1.0), ('modest', 0.4))
            for job in workload.arrivals(load, 0, RUN_TIME)
        ]
        jobs.sort(key=submission_time)
        run = await self.run('one team floods', jobs)
        for team in ('flood', 'modest'):
            answers = [
                answer for answer in run.answers if answer.job.team == team
            ]
            run.row[f'p50_{team}'] = self.response_times(answers)['p50']

    async def run_domain_removal(self) -> None:
        """Take a failure domain out of service at load 0.9 and restore it."""
        deployment = self.deployment
        cluster = self.cluster
        removed_workers = [
            worker
            for worker in range(deployment.workers)
            if deployment.domain(worker) == REMOVED_DOMAIN
        ]
        all_workers = range(deployment.workers)
        remaining_workers = [
            worker for worker in all_workers if worker not in removed_workers
        ]
        run = await self.run(
            'failure domain',
            self.steady_jobs(
                0.9, (0, REMOVED_AT, RESTORED_AT, RESTORED_AT + 8)
            ),
            (
                Action(
                    REMOVED_AT,
                    lambda: cluster.change_domain(
                        REMOVED_DOMAIN, in_service=False
                    ),
                ),
                Action(
                    RESTORED_AT,
                    lambda: cluster.change_domain(
                        REMOVED_DOMAIN, in_service=True
                    ),
                ),
            ),
        )
        cores = deployment.cores
        recorded = run.recorded
        run.row['used_away'] = round(
            recorded.busy_fraction(
                remaining_workers, cores, REMOVED_AT + 1, RESTORED_AT
            ),
            3,
        )
        run.row['used_back'] = round(
            recorded.busy_fraction(
                all_workers, cores, RESTORED_AT + 5, RESTORED_AT + 7
            ),
            3,
        )
        run.row['late_starts'] = recorded.started_between(
            removed_workers, REMOVED_AT + 3, RESTORED_AT
        )
        run.row['timeline'] = [
            round(
                recorded.busy_fraction(all_workers, cores, second, second + 1),
                3,
            )
            for second in range(int(RESTORED_AT) + 8)
        ]

    async def run_failing_worker(self) -> None:
        """Let one worker fail all its tasks temporarily."""
        await self.run_worker_fault(
            'worker fails all', {'fail_all': True}, {'fail_all': False}
        )

    async def run_straggler(self) -> None:
        """Slow one worker down by a factor of 8 temporarily."""
        await self.run_worker_fault(
            'straggler', {'slowdown': 8.0}, {'slowdown': 1.0}
        )

    async def run_worker_fault(
        self, variant: str, begin: dict[str, Any], end: dict[str, Any]
    ) -> None:
        """Inject a fault into one worker at load 0.7 and end it later.

        :param variant: name of the variant in the row.
        :param begin: fault settings of the worker that cause the fault.
        :param end: fault settings that end it.
        """
        cluster = self.cluster
        jobs = self.workload().arrivals(0.7, 0, FAULT_END + 3)
        await self.run(
            variant,
            jobs,
            (
                Action(FAULT_BEGIN, lambda: cluster.set_faults(0, **begin)),
                Action(FAULT_END, lambda: cluster.set_faults(0, **end)),
            ),
        )

    async def run_killed_side(self) -> None:
        """Kill a side and replace it a second later."""
        cluster = self.cluster

        def replace() -> None:  # noqa: WPS430
            cluster.sides[0].kill()
            time.sleep(1)
            cluster.sides[0] = cluster.start_side(0)

        jobs = self.workload().arrivals(0.7, 0, RUN_TIME)
        await self.run('side killed', jobs, (Action(FAULT_BEGIN, replace),))

    async def run_killed_entry(self) -> None:
        """Kill an entry and replace it a second later."""
        cluster = self.cluster

        def replace() -> None:  # noqa: WPS430
            cluster.entries[1].kill()
            time.sleep(1)
            cluster.entries[1] = cluster.start_entry(1)

        jobs = self.workload().arrivals(0.7, 0, RUN_TIME)
        run = await self.run(
            'entry killed', jobs, (Action(FAULT_BEGIN, replace),)
        )
        run.row['failed_after'] = sum(
            answer.status != 200 and answer.submitted > FAULT_BEGIN + 5
            for answer in run.answers
        )

    async def run_cancellations(self) -> None:
        """Cancel many jobs in a row while other jobs run."""
        address = self.cluster.caller_addresses[0]
        body = make_long_job()
        durations: list[float] = []

        def cancel_jobs() -> None:  # noqa: WPS430
            tickets = []
            for _ in range(CANCELLED_JOBS):
                ticket = ask(address, 'POST', '/v1/tickets')['ticket']
                ask(address, 'PUT', f'/v1/jobs/{ticket}?wait=0', body)
                tickets.append(ticket)
            began = time.monotonic()
            for cancelled in tickets:
                ask(address, 'DELETE', f'/v1/jobs/{cancelled}')
            durations.append(time.monotonic() - began)

        jobs = self.workload().arrivals(0.5, 0, RUN_TIME)
        run = await self.run(
            'cancellations', jobs, (Action(FAULT_BEGIN, cancel_jobs),)
        )
        run.row['cancelled'] = CANCELLED_JOBS
        run.row['cancel_seconds'] = [round(took, 2) for took in durations]

    async def run_unplaceable_jobs(self) -> None:
        """Submit jobs whose task exceeds the cores of every worker."""
        task = Task('huge', self.deployment.cores * 2, 1, 1, 1, 1, 1)
        jobs = [Job(number / 5, 'audit', (task,)) for number in range(5)]
        run = await self.run('cannot run', jobs)
        run.row['slowest'] = round(
            max(answer.response for answer in run.answers), 2
        )
        run.row['reason'] = run.answers[0].reason


def submission_time(job: Job) -> float:
    """Return the submission time of a job, as a sort key.

    :param job: the job.
    """
    return job.submit_at


def make_long_job() -> dict[str, Any]:
    """Return the document of a job of 20 tasks of 30 seconds to cancel."""
    task = {'kind': 'long', 'cores': 1, 'payload': '{"seconds": 30}'}
    return {'team': 'audit', 'tasks': [task for _ in range(20)]}
