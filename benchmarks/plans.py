"""Which variants of the placement are run at which deployment."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any

from benchmarks.meter import SEED, Row
from benchmarks.placement import BASELINES, Bench
from benchmarks.workload import DEPLOYMENTS

if TYPE_CHECKING:
    from collections.abc import Callable

#: Baseline that comes closest.
BEST_BASELINE = 'least-load'


async def run_plan(reactor: Any, name: str) -> list[Row]:
    """Run all variants of a deployment on one cluster.

    :param reactor: Twisted's reactor.
    :param name: of the deployment.
    """
    bench = Bench(reactor, DEPLOYMENTS[name])
    try:
        await PLANS[name](bench)
    finally:
        bench.cluster.close()
    return bench.rows


async def compare(bench: Bench) -> None:
    """Run the loads with all policies.

    :param bench: of the smaller fleet.
    """
    await bench.warm_up()
    await bench.loads((0.5,), (SEED,))
    await bench.loads((0.7, 0.9))
    await bench.burst()
    for policy in BASELINES:
        bench.cluster.change_policy(policy)
        await baseline_loads(bench, policy)


async def run_all(bench: Bench) -> None:
    """Run loads and faults, fewer of them with the baselines.

    :param bench: of the larger fleet.
    """
    await bench.warm_up()
    await bench.loads((0.5,), (SEED,))
    await bench.loads((0.7, 0.9))
    await bench.burst()
    await run_faults(bench)
    for policy in BASELINES:
        bench.cluster.change_policy(policy)
        await baseline_loads(bench, policy)
        await bench.domain()
        await bench.failing_worker()


async def baseline_loads(bench: Bench, policy: str) -> None:
    """Run the loads with a baseline; at 0.9 only the best one.

    :param bench: whose entries use the baseline.
    :param policy: its name.
    """
    await bench.loads((0.7,))
    if policy == BEST_BASELINE:
        await bench.loads((0.9,))


async def run_faults(bench: Bench) -> None:
    """Run all faults.

    :param bench: of the larger fleet.
    """
    faults: tuple[Callable[[], Any], ...] = (
        bench.fairness,
        bench.domain,
        bench.failing_worker,
        bench.straggler,
        bench.cancellations,
        bench.impossible,
        bench.killed_side,
        bench.killed_entry,
    )
    for fault in faults:
        await fault()


#: What is run, by the name of the deployment.
PLANS = MappingProxyType({'fiscalia': compare, 'consortium': run_all})
