"""Real entries, sides and workers that know few addresses."""

from __future__ import annotations

import http.client
import json
import time
from itertools import repeat
from pathlib import Path
from typing import TYPE_CHECKING, Any

from jackdawridge.standins.record import find_double_starts
from tests.processes.http import Reply, request
from tests.processes.ports import find_free_addresses
from tests.processes.process import Process

if TYPE_CHECKING:
    from collections.abc import Callable

#: Short times, which keep the tests short.
TIMES = {'heartbeat': 0.4, 'send_window': 1.6, 'task_lease': 2.4, 'drain': 15.0}
#: Time for processes to start and to find each other, in seconds.
PATIENCE = 40.0


class Site:
    """Processes of one deployment, each on its own addresses.

    :param directory: for settings and logs.
    """

    def __init__(self, directory: Path) -> None:
        """Start the log service."""
        self.directory = directory
        self.processes: dict[str, Process] = {}
        self.operators: dict[str, str] = {}
        self.workers: dict[str, str] = {}
        self.log = self.start_stand_in('log', 'log')

    def start_stand_in(self, name: str, *arguments: str) -> str:
        """Start a stand-in and return its address."""
        process = Process(
            name,
            ['jackdawridge.cmd.standin', 'standin', *arguments],
            self.directory / f'{name}.log',
        )
        self.processes[name] = process
        return str(process.wait_ready()['address'])

    def start_entry(
        self, name: str, addresses: list[str], seeds: list[str]
    ) -> None:
        """Start an entry on addresses for callers, peers and operators."""
        document = {
            'role': 'entry',
            'caller_address': addresses[0],
            'peer_address': addresses[1],
            'log_service': self.log,
        }
        self.start(name, document, addresses[2], seeds)

    def start_side(self, name: str, seeds: list[str]) -> None:
        """Start a side, and its worker unless that runs already."""
        if name not in self.workers:
            domain = ('--node', name, '--failure-domain', 'soweto')
            worker = self.start_stand_in(f'worker-{name}', 'worker', *domain)
            self.workers[name] = worker
        document = {'role': 'side', 'worker': self.workers[name]}
        self.start(name, document, find_free_addresses(1)[0], seeds)

    def start(
        self,
        name: str,
        document: dict[str, Any],
        operator: str,
        seeds: list[str],
    ) -> None:
        """Start a process with settings that all have besides its own."""
        common = {
            **TIMES,
            'node': name,
            'deployment': 'test',
            'shared_key': 'a shared key for tests only',
            'failure_domain': 'soweto',
            'operator_address': operator,
            'entries': seeds,
        }
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps({**common, **document}))
        self.operators[name] = operator
        role = str(document['role'])
        self.processes[name] = Process(
            name,
            ['jackdawridge', role, '--settings', str(path)],
            self.directory / f'{name}.log',
        )

    def status(self, name: str) -> dict[str, Any]:
        """Return what a process tells operators, nothing if it does not."""
        try:
            reply = request(self.operators[name], 'GET', '/v1/status')
        except (OSError, http.client.HTTPException):
            return {}
        return dict(reply.body)

    def entries(self, name: str) -> dict[str, str]:
        """Return the states of the entries that a process knows."""
        return dict(self.status(name).get('membership', {}).get('entries', {}))

    def sides(self, name: str) -> dict[str, int]:
        """Return the number of sides in each state that a process knows."""
        return dict(self.status(name).get('membership', {}).get('sides', {}))

    def ready_sides(self, name: str) -> set[str]:
        """Return the sides at which an entry places work."""
        return set(self.status(name).get('jobs', {}).get('sides', ()))

    def submit(self, caller: str, tasks: int, seconds: float) -> Reply:
        """Submit a job and wait for its answer."""
        payload = json.dumps({'seconds': seconds, 'answer': 'x'})
        task = {'cores': 1, 'run_time': seconds, 'payload': payload}
        body = {'team': 'night', 'tasks': list(repeat(task, tasks))}
        return request(caller, 'POST', '/v1/jobs?wait=20', body)

    def records(self) -> list[Any]:
        """Return the records of all workers."""
        return [
            request(address, 'GET', '/record').body
            for address in self.workers.values()
        ]

    def check(self) -> None:
        """Check that no task was started twice."""
        assert not find_double_starts(self.records())

    def close(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            process.close()


def wait_until(
    condition: Callable[[], bool], wanted: str, timeout: float = PATIENCE
) -> float:
    """Wait until a condition holds; return the time that it took."""
    started = time.monotonic()
    while not condition():
        waited = time.monotonic() - started
        assert waited < timeout, f'not within {timeout} s: {wanted}'
        time.sleep(0.05)
    return time.monotonic() - started
