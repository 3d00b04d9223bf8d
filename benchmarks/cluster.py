"""Runs a deployment of real processes and stand-ins on loopback."""

from __future__ import annotations

import json
import os
import socket
import subprocess  # noqa: S404
import sys
import tempfile
import time
from http.client import HTTPConnection
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from benchmarks.workload import Deployment

#: Longest time until all processes are linked, and timeout of an HTTP
#: request, in seconds.
READY_TIMEOUT = 30

#: Shared key of all processes of a benchmark.
SHARED_KEY = 'key of the benchmark processes'

#: Number of decisions for each decision line that is written to the log.
DECISION_SAMPLING = 1000000


class ClusterProcess:
    """A running process of the system or a stand-in.

    :param arguments: command-line arguments of `python -m jackdawridge`.
    :param log: file for the error stream, and for the log lines of an entry
        or a side.
    """

    def __init__(self, arguments: list[str], log: Path) -> None:
        """Start the process."""
        is_standin = '--settings' not in arguments
        with log.open('ab') as stream:
            self.popen = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', 'jackdawridge', *arguments],
                stdout=subprocess.PIPE if is_standin else stream,
                stderr=stream,
            )

    def read_address(self) -> str:
        """Return the address that a stand-in prints when it listens."""
        assert self.popen.stdout is not None
        return str(json.loads(self.popen.stdout.readline())['address'])

    def processor_time(self) -> float:
        """Return the processor time used so far, in seconds; 0 if ended."""
        try:
            text = Path(f'/proc/{self.popen.pid}/stat').read_text()
        except OSError:
            return 0
        fields = text.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.popen.kill()
        self.popen.wait()
        if self.popen.stdout is not None:
            self.popen.stdout.close()


class Cluster:
    """Two entries, a side beside each worker, and the log service.

    :param deployment: size and latency of the deployment to start.
    :param policy: name of the placement policy of the entries.
    """

    def __init__(self, deployment: Deployment, policy: str) -> None:
        """Start all processes and wait until they are linked."""
        self.deployment = deployment
        self.policy = policy
        self.directory = tempfile.TemporaryDirectory()
        self.log = self.start('log', ['standin', 'log'])
        self.log_address = self.log.read_address()
        self.workers = [
            self.start(f'worker-{number}', self.worker_arguments(number))
            for number in range(deployment.workers)
        ]
        self.worker_addresses = [
            worker.read_address() for worker in self.workers
        ]
        self.caller_addresses = free_addresses(2)
        self.peer_addresses = free_addresses(2)
        self.operator_addresses = free_addresses(2)
        self.entries = [self.start_entry(number) for number in (0, 1)]
        self.sides = [
            self.start_side(number) for number in range(deployment.workers)
        ]
        self.await_links()

    def start(self, name: str, arguments: list[str]) -> ClusterProcess:
        """Start a process.

        :param name: name of its log file without the suffix.
        :param arguments: command-line arguments of `python -m jackdawridge`.
        """
        return ClusterProcess(
            arguments, Path(self.directory.name) / f'{name}.log'
        )

    def worker_arguments(self, number: int) -> list[str]:
        """Return the command-line arguments of a stand-in worker.

        :param number: index of the worker, which selects its failure domain.
        """
        deployment = self.deployment
        return [
            'standin',
            'worker',
            f'--cores={deployment.cores}',
            f'--memory={deployment.memory}',
            f'--failure-domain={deployment.domain(number)}',
        ]

    def start_entry(self, number: int) -> ClusterProcess:
        """Start an entry on the addresses reserved for it.

        :param number: index of the entry.
        """
        document = {
            **self.common_settings('entry', number),
            'caller_address': self.caller_addresses[number],
            'peer_address': self.peer_addresses[number],
            'operator_address': self.operator_addresses[number],
            'log_service': self.log_address,
            'policy': self.policy,
        }
        return self.start_daemon('entry', number, document)

    def start_side(self, number: int) -> ClusterProcess:
        """Start the side of a worker.

        :param number: index of the side and of its worker.
        """
        document = {
            **self.common_settings('side', number),
            'operator_address': free_addresses(1)[0],
            'worker': self.worker_addresses[number],
            'cores': self.deployment.cores,
            'memory': self.deployment.memory,
        }
        return self.start_daemon('side', number, document)

    def common_settings(self, role: str, number: int) -> dict[str, Any]:
        """Return the settings that entries and sides have in common.

        :param role: `entry` or `side`.
        :param number: index of the process within its role.
        """
        return {
            'role': role,
            'node': f'{role}-{number}',
            'deployment': self.deployment.name,
            'failure_domain': self.deployment.domain(number),
            'shared_key': SHARED_KEY,
            'entries': self.peer_addresses,
            'log_level': 'warning',
            'decision_sampling': DECISION_SAMPLING,
            'link_delay': self.deployment.latency,
        }

    def start_daemon(
        self, role: str, number: int, document: dict[str, Any]
    ) -> ClusterProcess:
        """Write the settings file of a daemon and start the daemon.

        :param role: `entry` or `side`.
        :param number: index of the process within its role.
        :param document: all settings of the daemon.
        """
        path = Path(self.directory.name) / f'{role}-{number}.json'
        path.write_text(json.dumps(document))
        name = f'{role}-{number}'
        return self.start(name, [role, '--settings', str(path)])

    def change_policy(self, policy: str) -> None:
        """Restart both entries with another placement policy.

        :param policy: name of the new policy.
        """
        self.policy = policy
        for number, entry in enumerate(self.entries):
            entry.kill()
            self.entries[number] = self.start_entry(number)
        self.await_links()

    def change_domain(self, name: str, *, in_service: bool) -> None:
        """Take a failure domain out of service or return it to service.

        :param name: name of the failure domain.
        :param in_service: whether tasks may run in the failure domain.
        """
        change = {
            'kind': 'failure_domain',
            'name': name,
            'value': {'in_service': in_service},
        }
        path = '/v1/configuration/changes'
        ask(self.operator_addresses[0], 'POST', path, change)

    def await_links(self) -> None:
        """Wait until both entries are linked to all sides.

        :raises TimeoutError: if the links are not open in time.
        """
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline:
            linked = [len(self.status(number)['sides']) for number in (0, 1)]
            if min(linked) == self.deployment.workers:
                return
            time.sleep(0.2)
        raise TimeoutError(
            f'processes are not linked; logs: {self.log_tails()}'
        )

    def status(self, number: int) -> dict[str, Any]:
        """Return the jobs section of an entry's status page.

        Counters are zero while the entry does not answer.

        :param number: index of the entry.
        """
        try:
            document = ask(self.operator_addresses[number], 'GET', '/v1/status')
        except OSError:
            return {'sides': [], 'placed': 0, 'refused': 0, 'offered': 0}
        return dict(document['jobs'])

    def records(self) -> list[dict[str, Any]]:
        """Return the starts and ends of tasks recorded by each worker."""
        return [
            ask(address, 'GET', '/record') for address in self.worker_addresses
        ]

    def set_faults(self, worker: int, **faults: object) -> None:
        """Inject faults into a worker.

        :param worker: index of the worker.
        :param faults: faults by name; others of the worker stay in force.
        """
        ask(self.worker_addresses[worker], 'POST', '/faults', faults)

    def log_tails(self) -> str:
        """Return the last 300 characters of each log that has any."""
        texts = [
            path.read_text()[-300:]
            for path in Path(self.directory.name).glob('*.log')
        ]
        return '\n'.join(text for text in texts if text)

    def close(self) -> None:
        """Kill all processes and delete their files."""
        for process in (
            *self.entries,
            *self.sides,
            *self.workers,
            self.log,
        ):
            process.kill()
        self.directory.cleanup()


def free_addresses(count: int) -> list[str]:
    """Return distinct loopback addresses that no process listens on.

    :param count: number of addresses.
    """
    sockets = [socket.socket() for _ in range(count)]
    for bound in sockets:
        bound.bind(('127.0.0.1', 0))
    addresses = [
        '127.0.0.1:{0}'.format(listener.getsockname()[1])
        for listener in sockets
    ]
    for bound in sockets:
        bound.close()
    return addresses


def ask(
    address: str, method: str, path: str, body: object = None
) -> dict[str, Any]:
    """Send an HTTP request and return the parsed JSON response.

    :param address: address of the server as `ip:port`.
    :param method: HTTP method.
    :param path: path of the request.
    :param body: value sent as JSON, or nothing to send no body.
    """
    connection = HTTPConnection(address, timeout=READY_TIMEOUT)
    try:
        connection.request(
            method, path, None if body is None else json.dumps(body)
        )
        answer = connection.getresponse().read()
    finally:
        connection.close()
    return dict(json.loads(answer))
