"""Measures how long a change takes to be in force at every process.

Run as `python -m benchmarks.config_spread`. It starts entries, sides and
stand-ins as real processes, publishes changes one after another and polls the
position of every process until each has applied the change. With `--outage`
it then makes the log service unavailable for that time while jobs run.
"""

from __future__ import annotations

import argparse
import json
import statistics
import tempfile
import threading
import time
from pathlib import Path
from typing import Any, NamedTuple

from tests.processes.deployment import DOMAINS, Deployment, wait_until
from tests.processes.operators import (
    CHANGES_PATH,
    Load,
    count_starts_since,
    fetch_configuration,
    fetch_position,
    last_appended,
)

#: Time between two polls of one process, in seconds.
POLL_INTERVAL = 0.01


class Spread(NamedTuple):
    """Times from the append to the log to the last process, in seconds."""

    median: float
    worst: float
    #: Time from the request of the operator to its answer.
    answer_median: float
    answer_worst: float


class PositionWatcher(threading.Thread):
    """Polls a process and records when it reaches each position.

    :param node: process that is polled.
    """

    def __init__(self, node: Any) -> None:
        """Create the thread without starting it."""
        super().__init__(daemon=True)
        self.node = node
        self.stopping = threading.Event()
        #: Monotonic time at which each position was first seen.
        self.first_seen: dict[int, float] = {}

    def run(self) -> None:
        """Poll until the watcher is stopped."""
        while not self.stopping.wait(POLL_INTERVAL):
            position = fetch_position(self.node)
            self.first_seen.setdefault(position, time.monotonic())

    def reached_at(self, position: int) -> float:
        """Return when a position was reached, or 0 if it is not yet."""
        times = [at for seen, at in self.first_seen.items() if seen >= position]
        return min(times, default=0)


class DeploymentWatcher:
    """Watches the positions of all processes of a deployment.

    :param deployment: deployment whose entries and sides are polled.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Start a polling thread for each process."""
        nodes = (*deployment.entries, *deployment.sides)
        self.threads = [PositionWatcher(node) for node in nodes]
        for thread in self.threads:
            thread.start()

    def await_all(self, position: int) -> float:
        """Wait for all processes; return when the last reached a position."""
        wait_until(
            lambda: all(thread.reached_at(position) for thread in self.threads),
            'in force everywhere',
        )
        return max(thread.reached_at(position) for thread in self.threads)

    def stop(self) -> None:
        """Tell all polling threads to end."""
        for thread in self.threads:
            thread.stopping.set()


def measure_spread(deployment: Deployment, changes: int) -> Spread:
    """Publish changes through the entries in turn and time each of them.

    :param deployment: running deployment whose processes are polled.
    :param changes: number of changes to publish.
    """
    watcher = DeploymentWatcher(deployment)
    spreads = []
    answers = []
    for number in range(changes):
        entry = deployment.entries[number % len(deployment.entries)]
        change = {
            'kind': 'team',
            'name': f'team-{number}',
            'value': {'weight': number + 1},
        }
        requested_at = time.monotonic()
        reply = entry.ask('POST', CHANGES_PATH, change)
        answers.append(time.monotonic() - requested_at)
        assert reply.status == 200, reply
        last = watcher.await_all(reply.body['offset'] + 1)
        record = last_appended(deployment)
        assert record is not None
        spreads.append(max(0, last - record.appended_at))
    watcher.stop()
    return Spread(
        statistics.median(spreads),
        max(spreads),
        statistics.median(answers),
        max(answers),
    )


def measure_outage(deployment: Deployment, seconds: float) -> dict[str, Any]:
    """Measure starts and one change during an outage of the log service.

    :param deployment: running deployment whose log service is available.
    :param seconds: length of the outage in seconds.
    """
    load = Load(deployment, deployment.entries)
    time.sleep(3)
    before = measure_start_rate(deployment, 2)
    deployment.log.set_faults(outage=True)
    began = time.monotonic()
    change = {
        'kind': 'team',
        'name': 'ordered in the outage',
        'value': {'weight': 2},
        'change_id': 'outage',
        'wait': 2,
    }
    reply = deployment.entries[0].ask('POST', CHANGES_PATH, change)
    rates = []
    while time.monotonic() < began + seconds:
        rates.append(measure_start_rate(deployment, 2))
    deployment.log.set_faults(outage=False)
    ended = time.monotonic()
    path = f'{CHANGES_PATH}/outage'
    wait_until(
        lambda: deployment.entries[1].ask('GET', path).status == 200,
        'the change is accepted',
    )
    accepted = time.monotonic() - ended
    answers = load.finish()
    return {
        'seconds': seconds,
        'answer_in_the_outage': reply.body['status'],
        'accepted_after_seconds': round(accepted, 2),
        'starts_per_second_before': before,
        'starts_per_second_lowest': min(rates),
        'starts_per_second_median': statistics.median(rates),
        'jobs': len(answers),
        'jobs_complete': sum(answer.is_complete for answer in answers),
    }


def measure_start_rate(deployment: Deployment, seconds: float) -> float:
    """Return the rate of task starts over the next seconds.

    :param deployment: deployment whose workers count the starts.
    :param seconds: length of the measurement in seconds.
    """
    since = time.monotonic()
    time.sleep(seconds)
    starts = sum(
        count_starts_since(deployment, name, since) for name in DOMAINS
    )
    return round(starts / seconds, 1)


def main() -> None:
    """Run the measurement and print its figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=50)
    parser.add_argument('--entries', type=int, default=3)
    parser.add_argument('--sides', type=int, default=8)
    parser.add_argument('--outage', type=float, default=0, help='seconds')
    arguments = parser.parse_args()
    with (
        tempfile.TemporaryDirectory() as directory,
        Deployment(
            Path(directory),
            entries=arguments.entries,
            sides=arguments.sides,
            settings={
                'heartbeat': 1.0,
                'send_window': 3.0,
                'task_lease': 6.0,
            },
        ) as deployment,
    ):
        wait_until(
            lambda: all(
                (fetch_configuration(node) or {}).get('ready')
                for node in deployment.entries
            ),
            'entries know the configuration',
        )
        spread = measure_spread(deployment, arguments.changes)
        figures: dict[str, Any] = {
            'processes': arguments.entries + arguments.sides,
            'changes': arguments.changes,
            'spread_seconds': {
                name: round(value, 4)
                for name, value in spread._asdict().items()
            },
        }
        if arguments.outage:
            figures['outage'] = measure_outage(deployment, arguments.outage)
    print(json.dumps(figures, indent=2))


if __name__ == '__main__':
    main()
