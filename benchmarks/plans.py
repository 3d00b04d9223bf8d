"""Plans: the variants of the placement benchmark for each deployment."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any

from benchmarks.meter import SEED, Row
from benchmarks.placement import BASELINES, PlacementBench
from benchmarks.workload import DEPLOYMENTS

if TYPE_CHECKING:
    from collections.abc import Callable

#: Baseline whose results are closest to those of the policy `room`.
BEST_BASELINE = 'least-load'


async def run_plan(reactor: Any, name: str) -> list[Row]:
    """Run the plan of a deployment on one cluster and return the rows.

    :param reactor: Twisted's reactor.
    :param name: name of the deployment.
    """
    bench = PlacementBench(reactor, DEPLOYMENTS[name])
    try:
        await PLANS[name](bench)
    finally:
        bench.cluster.close()
    return bench.rows


async def compare_policies(bench: PlacementBench) -> None:
    """Run the loads with all policies, without faults.

    :param bench: benchmark of the smaller fleet.
    """
    await bench.warm_up()
    await bench.run_loads((0.5,), (SEED,))
    await bench.run_loads((0.7, 0.9))
    await bench.run_burst()
    for policy in BASELINES:
        bench.cluster.change_policy(policy)
        await run_baseline_loads(bench, policy)


async def run_loads_and_faults(bench: PlacementBench) -> None:
    """Run loads and faults; with the baselines, only some of them.

    :param bench: benchmark of the larger fleet.
    """
    await bench.warm_up()
    await bench.run_loads((0.5,), (SEED,))
    await bench.run_loads((0.7, 0.9))
    await bench.run_burst()
    await run_faults(bench)
    for policy in BASELINES:
        bench.cluster.change_policy(policy)
        await run_baseline_loads(bench, policy)
        await bench.run_domain_removal()
        await bench.run_failing_worker()


async def run_baseline_loads(bench: PlacementBench, policy: str) -> None:
    """Run load 0.7 with a baseline, and load 0.9 with the best one only.

    :param bench: benchmark whose entries use the baseline.
    :param policy: name of the baseline.
    """
    await bench.run_loads((0.7,))
    if policy == BEST_BASELINE:
        await bench.run_loads((0.9,))


async def run_faults(bench: PlacementBench) -> None:
    """Run all variants with faults.

    :param bench: benchmark of the larger fleet.
    """
    faults: tuple[Callable[[], Any], ...] = (
        bench.run_fairness,
        bench.run_domain_removal,
        bench.run_failing_worker,
        bench.run_straggler,
        bench.run_cancellations,
        bench.run_unplaceable_jobs,
        bench.run_killed_side,
        bench.run_killed_entry,
    )
    for fault in faults:
        await fault()


#: Functions that run the plans, by the name of the deployment.
PLANS = MappingProxyType(
    {'fiscalia': compare_policies, 'consortium': run_loads_and_faults}
)
