"""Compares placement policies in memory, without processes.

Entries and workers are modelled by a heap of timed calls. Only decisions are
compared: nothing here costs processor time, and latencies are exact.
"""

from __future__ import annotations

import argparse
import json
from typing import TYPE_CHECKING

from benchmarks.figures import Slowdowns, percentile
from benchmarks.trial_fleet import Trial
from benchmarks.workload import DEPLOYMENTS, Workload
from jackdawridge.placement.policies import POLICIES

if TYPE_CHECKING:
    from benchmarks.workload import Deployment

#: Time before the jobs that are counted, in seconds.
WARM_UP = 5.0


def run_trial(
    deployment: Deployment, policy: str, load: float, seconds: float, seed: int
) -> dict[str, float]:
    """Run one trial and return its figures.

    :param deployment: the fleet.
    :param policy: name of the policy.
    :param load: work offered over the cores.
    :param seconds: for which jobs are counted.
    :param seed: of the jobs.
    """
    workload = Workload(deployment, seed)
    end = WARM_UP + seconds
    jobs = workload.arrivals(load, 0, end)
    trial = Trial(deployment, policy)
    trial.load(jobs)
    trial.loop.run(end + 20)
    slowdowns = Slowdowns(workload.cores, 2 * deployment.latency)
    for ticket, job in trial.jobs.items():
        finished = trial.finished.get(ticket)
        if job.at >= WARM_UP and finished is not None:
            slowdowns.add(job, finished - job.at)
    tasks = sum(len(loaded.tasks) for loaded in jobs)
    wasted = sum(2 * one.refusals + one.offers for one in trial.entries)
    return {
        'p50': round(percentile(slowdowns.values, 0.5), 3),
        'p99': round(percentile(slowdowns.values, 0.99), 3),
        'wasted': round(wasted / tasks, 4),
        'jobs': len(slowdowns.values),
        'unfinished': len(trial.jobs) - len(trial.finished),
    }


def main() -> None:
    """Print the figures of all variants."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--policies', nargs='*', default=list(POLICIES))
    parser.add_argument('--loads', nargs='*', type=float, default=[0.7, 0.9])
    arguments = parser.parse_args()
    for deployment in DEPLOYMENTS.values():
        for load in arguments.loads:
            for policy in arguments.policies:
                figures = run_trial(
                    deployment, policy, load, arguments.seconds, arguments.seed
                )
                print(deployment.name, load, policy, json.dumps(figures))


if __name__ == '__main__':
    main()
