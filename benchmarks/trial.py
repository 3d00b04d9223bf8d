"""Compares placement policies in a discrete-event simulation, in one process.

Entries and workers are simulated by a heap of timed calls. Only the decisions
are compared: simulated work takes no processor time, and latencies are exact.
"""

from __future__ import annotations

import argparse
import json
from typing import TYPE_CHECKING

from benchmarks.figures import Slowdowns, percentile
from benchmarks.trial_fleet import SimulatedFleet
from benchmarks.workload import DEPLOYMENTS, Workload
from jackdawridge.placement.policies import POLICIES

if TYPE_CHECKING:
    from benchmarks.workload import Deployment

#: Time at the start of a run whose jobs are not counted, in seconds.
WARM_UP_TIME = 5.0


def run_simulation(
    deployment: Deployment, policy: str, load: float, seconds: float, seed: int
) -> dict[str, float]:
    """Run one simulation and return its results.

    :param deployment: sizes and latencies of the fleet.
    :param policy: name of the placement policy.
    :param load: offered work over the capacity of the cores.
    :param seconds: duration after the warm-up, in which jobs are counted.
    :param seed: seed of the generated jobs.
    """
    workload = Workload(deployment, seed)
    end = WARM_UP_TIME + seconds
    jobs = workload.arrivals(load, 0, end)
    fleet = SimulatedFleet(deployment, policy)
    fleet.submit_all(jobs)
    fleet.loop.run(end + 20)
    slowdowns = Slowdowns(workload.cores, 2 * deployment.latency)
    for ticket, job in fleet.jobs.items():
        finished = fleet.finished.get(ticket)
        if job.submit_at >= WARM_UP_TIME and finished is not None:
            slowdowns.add(job, finished - job.submit_at)
    tasks = sum(len(submitted.tasks) for submitted in jobs)
    wasted = sum(2 * entry.refusals + entry.offers for entry in fleet.entries)
    return {
        'p50': round(percentile(slowdowns.values, 0.5), 3),
        'p99': round(percentile(slowdowns.values, 0.99), 3),
        'wasted': round(wasted / tasks, 4),
        'jobs': len(slowdowns.values),
        'unfinished': len(fleet.jobs) - len(fleet.finished),
    }


def main() -> None:
    """Print the results of all deployments, loads and policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--policies', nargs='*', default=list(POLICIES))
    parser.add_argument('--loads', nargs='*', type=float, default=[0.7, 0.9])
    arguments = parser.parse_args()
    for deployment in DEPLOYMENTS.values():
        for load in arguments.loads:
            for policy in arguments.policies:
                results = run_simulation(
                    deployment, policy, load, arguments.seconds, arguments.seed
                )
                print(deployment.name, load, policy, json.dumps(results))


if __name__ == '__main__':
    main()
