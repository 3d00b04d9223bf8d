"""A cluster of real processes, each with few seed addresses."""

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

#: Settings with short times, in seconds, to keep the tests fast.
SHORT_TIMES = {
    'heartbeat': 0.4,
    'send_window': 1.6,
    'task_lease': 2.4,
    'drain': 15.0,
}
#: Time for processes to start and to find each other, in seconds.
STARTUP_TIMEOUT = 40.0


class Cluster:
    """Processes of one deployment, each on its own addresses.

    :param directory: holds the settings and the logs.
    """

    def __init__(self, directory: Path) -> None:
        """Start the log service."""
        self.directory = directory
        self.processes: dict[str, Process] = {}
        self.operators: dict[str, str] = {}
        self.workers: dict[str, str] = {}
        self.log_service = self.start_stand_in('log', 'log')

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
        """Start an entry.

        :param addresses: for callers, for peers and for operators.
        """
        document = {
            'role': 'entry',
            'caller_address': addresses[0],
            'peer_address': addresses[1],
            'log_service': self.log_service,
        }
        self.start(name, document, addresses[2], seeds)

    def start_side(self, name: str, seeds: list[str]) -> None:
        """Start a side, and its worker unless that is already running."""
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
        """Start a process with the common settings and its own.

        :param document: the settings of its own.
        :param operator: its operators' address.
        """
        common = {
            **SHORT_TIMES,
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
        """Return the status page of a process; empty if it doesn't answer."""
        try:
            reply = request(self.operators[name], 'GET', '/v1/status')
        except (OSError, http.client.HTTPException):
            return {}
        return dict(reply.body)

    def entries(self, name: str) -> dict[str, str]:
        """Return the states of the entries known to a process."""
        return dict(self.status(name).get('membership', {}).get('entries', {}))

    def sides(self, name: str) -> dict[str, int]:
        """Return the number of sides in each state known to a process."""
        return dict(self.status(name).get('membership', {}).get('sides', {}))

    def ready_sides(self, name: str) -> set[str]:
        """Return the sides on which an entry places tasks."""
        return set(self.status(name).get('jobs', {}).get('sides', ()))

    def submit(self, caller: str, tasks: int, seconds: float) -> Reply:
        """Submit a job and wait for its answer."""
        payload = json.dumps({'seconds': seconds, 'answer': 'x'})
        task = {'cores': 1, 'run_time': seconds, 'payload': payload}
        body = {'team': 'night', 'tasks': list(repeat(task, tasks))}
        return request(caller, 'POST', '/v1/jobs?wait=20', body)

    def worker_records(self) -> list[Any]:
        """Return the records of all workers."""
        return [
            request(address, 'GET', '/record').body
            for address in self.workers.values()
        ]

    def check_single_starts(self) -> None:
        """Check that no task was started twice."""
        assert not find_double_starts(self.worker_records())

    def close(self) -> None:
        """Stop all processes."""
        for process in self.processes.values():
            process.close()


def wait_until(
    condition: Callable[[], bool], wanted: str, timeout: float = STARTUP_TIMEOUT
) -> float:
    """Wait until a condition holds; return the seconds it took.

    :param wanted: description of the condition, for the failure message.
    """
    started = time.monotonic()
    while not condition():
        waited = time.monotonic() - started
        assert waited < timeout, f'not within {timeout} s: {wanted}'
        time.sleep(0.05)
    return time.monotonic() - started
