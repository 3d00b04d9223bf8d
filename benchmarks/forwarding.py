"""Compares forwarded requests with requests sent directly to minions.

`python -m benchmarks.forwarding [--seconds N] [--json FILE]`
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

from tests.test_processes.services import SERVICE, ServiceDeployment

ENTRIES = 3
SIDES = 11
SLOTS = 8
#: Mean service time of a request at a minion, in seconds.
MEAN_SERVICE_TIME = 0.9 * 0.125 + 0.1 * 0.6
#: Requests a second that all slots can serve together.
CAPACITY_PER_SECOND = SIDES * SLOTS / MEAN_SERVICE_TIME
#: Clock ticks a second, the unit of processor times in /proc.
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


class ScenarioResult(NamedTuple):
    """Results of one scenario, a row of the table."""

    name: str
    requests: int
    answered: int
    refused: int
    unknown: int
    crossed: int
    #: Response time minus the service time at the minion, in milliseconds.
    added_p50: float
    added_p99: float
    #: Response time over the ideal: the service time at the minion plus a
    #: direct round trip to a lightly loaded minion.
    slowdown_p50: float
    slowdown_p99: float
    #: Messages to sides for each request, beyond the first.
    wasted: float
    #: Processor time for each request, in microseconds.
    entry_cpu: float
    side_cpu: float
    per_second: float


class Scenario(NamedTuple):
    """The load that is offered, and the faults injected meanwhile."""

    name: str
    #: Fraction of the capacity; 0 for requests with no service time.
    load: float
    direct: bool = False
    #: Actions on the deployment after a third and two thirds of the run.
    first: Any = None
    second: Any = None


def slow_minion(deployment: ServiceDeployment) -> None:
    """Slow a minion down by a factor of 5."""
    deployment.minions[0].set_faults(slowdown=5)


def restore_minion(deployment: ServiceDeployment) -> None:
    """Restore the normal speed of the slow minion."""
    deployment.minions[0].set_faults(slowdown=1)


def replace_minion(deployment: ServiceDeployment) -> None:
    """Replace a minion by a new process at the same address."""
    deployment.replace_minion(1)


def kill_side(deployment: ServiceDeployment) -> None:
    """Kill a side without a graceful shutdown."""
    deployment.sides[2].running.kill()


def restart_side(deployment: ServiceDeployment) -> None:
    """Restart the side that was killed or left."""
    deployment.sides[2].start()


def stop_side(deployment: ServiceDeployment) -> None:
    """Shut a side down gracefully."""
    deployment.sides[2].running.terminate()


#: Light load that measures the direct round trip.
LIGHT_LOAD = Scenario('direct 0.1', 0.1, direct=True)
SCENARIOS = (
    Scenario('direct 0.7', 0.7, direct=True),
    Scenario('load 0.3', 0.3),
    Scenario('load 0.7', 0.7),
    Scenario('load 0.9', 0.9),
    Scenario('slow minion 0.7', 0.7, first=slow_minion, second=restore_minion),
    Scenario('minion restart 0.7', 0.7, first=replace_minion),
    Scenario('side killed 0.7', 0.7, first=kill_side, second=restart_side),
    Scenario('side leaves 0.7', 0.7, first=stop_side, second=restart_side),
    Scenario('no time, one entry', 0),
)


def processor_time(pids: list[int]) -> float:
    """Return the total processor time of processes, in seconds.

    Processes that have ended are skipped.
    """
    total = 0
    for pid in pids:
        try:
            fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
        except OSError:
            continue
        total += sum(int(field) for field in fields.split()[11:13])
    return total / TICKS_PER_SECOND


def find_targets(
    deployment: ServiceDeployment, scenario: Scenario
) -> list[str]:
    """Return the URLs, without scheme, that the load generators request.

    A scenario without a load uses a single entry.
    """
    if scenario.direct:
        return [f'{minion.address}/' for minion in deployment.minions]
    path = f'/v1/services/{SERVICE}/'
    entries = [f'{entry.caller_address}{path}' for entry in deployment.entries]
    return entries if scenario.load else entries[:1]


def generate(
    deployment: ServiceDeployment, scenario: Scenario, seconds: float
) -> list[Any]:
    """Run one load generator for each target and return all responses."""
    request_targets = find_targets(deployment, scenario)
    generators = [
        subprocess.Popen(
            [
                sys.executable,
                '-m',
                'benchmarks.forwarding_load',
                json.dumps(
                    {
                        'target': target,
                        'rate': scenario.load
                        * CAPACITY_PER_SECOND
                        / len(request_targets),
                        'duration': seconds,
                        'seed': number + 1,
                        'callers': 64,
                        'empty': not scenario.load,
                    }
                ),
            ],
            stdout=subprocess.PIPE,
        )
        for number, target in enumerate(request_targets)
    ]
    for action in (scenario.first, scenario.second):
        time.sleep(seconds / 3)
        if action is not None:
            action(deployment)
    responses: list[Any] = []
    for generator in generators:
        responses.extend(json.loads(generator.communicate()[0]))
    return responses


def measure(
    deployment: ServiceDeployment,
    scenario: Scenario,
    seconds: float,
    round_trip: float = 0,
) -> ScenarioResult:
    """Run a scenario and return its row.

    :param deployment: running processes.
    :param scenario: load and faults.
    :param seconds: duration of the run.
    :param round_trip: direct round trip included in the ideal response time,
        in milliseconds.
    """
    groups = (deployment.entries, deployment.sides)
    pids = [[node.pid for node in group] for group in groups]
    before = [processor_time(group) for group in pids]
    attempts = count_attempts(deployment)
    responses = generate(deployment, scenario, seconds)
    spent = [
        processor_time(group) - start
        for group, start in zip(pids, before, strict=True)
    ]
    attempts = count_attempts(deployment) - attempts
    return summarize(scenario, responses, spent, attempts, seconds, round_trip)


def count_attempts(deployment: ServiceDeployment) -> float:
    """Return how many requests the entries sent to sides, with hedges."""
    return deployment.count_steps('send') + deployment.count_steps('hedge')


def summarize(
    scenario: Scenario,
    responses: list[Any],
    spent: list[float],
    attempts: float,
    seconds: float,
    round_trip: float,
) -> ScenarioResult:
    """Compute the row of a scenario.

    :param scenario: load and faults of the run.
    :param responses: fields of `Response`, one list for each request.
    :param spent: processor time of all entries and of all sides, in seconds.
    :param attempts: requests that the entries sent to sides.
    :param seconds: duration of the run.
    :param round_trip: direct round trip, in milliseconds.
    """
    outcomes = Counter(outcome for _, _, _, outcome, _ in responses)
    answered = [each for each in responses if each[2] == 200]
    added = sorted((each[4] - each[1]) * 1000 for each in answered)
    slowdown = sorted(
        each[4] / (each[1] + round_trip / 1000) for each in answered if each[1]
    )
    count = max(len(responses), 1)
    wasted = 0 if scenario.direct else attempts / count - 1
    return ScenarioResult(
        scenario.name,
        len(responses),
        len(answered),
        outcomes['not-run'],
        outcomes['unknown'],
        outcomes['crossed'],
        quantile(added, 0.5),
        quantile(added, 0.99),
        quantile(slowdown, 0.5),
        quantile(slowdown, 0.99),
        round(wasted, 4),
        round(spent[0] / count * 1e6, 1),
        round(spent[1] / count * 1e6, 1),
        round(len(responses) / seconds, 1),
    )


def quantile(ordered: list[float], fraction: float) -> float:
    """Return a quantile of sorted values, or 0 if there are none."""
    if not ordered:
        return 0
    return round(ordered[int(fraction * (len(ordered) - 1))], 3)


def print_table(rows: list[ScenarioResult]) -> None:
    """Print the rows as a table."""
    print(' | '.join(ScenarioResult._fields))
    for row in rows:
        print(' | '.join(str(field) for field in row))


def main() -> None:
    """Measure the selected scenarios on one deployment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=9)
    parser.add_argument('--json', type=Path)
    parser.add_argument('--only', default='')
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        settings = {'decision_sampling': 1000, 'heartbeat': 1.0}
        deployment = ServiceDeployment(
            Path(directory), entries=ENTRIES, sides=SIDES, settings=settings
        )
        with deployment:
            deployment.wait_served()
            idle = measure(deployment, LIGHT_LOAD, arguments.seconds)
            rows = [idle]
            rows.extend(
                measure(deployment, scenario, arguments.seconds, idle.added_p50)
                for scenario in SCENARIOS
                if arguments.only in scenario.name
            )
    print_table(rows)
    if arguments.json is not None:
        document = [row._asdict() for row in rows]
        arguments.json.write_text(json.dumps(document, indent=1))


if __name__ == '__main__':
    main()
