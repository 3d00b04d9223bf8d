"""A deployment of real processes on loopback, with stand-ins."""

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

#: Time for all processes to be linked, in seconds.
READY_TIMEOUT = 30

#: Shared by the processes of a benchmark.
SHARED_KEY = 'key of the benchmark processes'

#: One in so many decision lines is written.
SAMPLING = 1000000


class Started:
    """A process with its addresses.

    :param arguments: of `python -m jackdawridge`.
    :param log: takes its error stream, and the lines of an entry or a side.
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

    def announced(self) -> str:
        """Return the address in the line that a stand-in prints."""
        assert self.popen.stdout is not None
        return str(json.loads(self.popen.stdout.readline())['address'])

    def processor_time(self) -> float:
        """Return the processor time used so far, in seconds."""
        try:
            text = Path(f'/proc/{self.popen.pid}/stat').read_text()
        except OSError:
            return 0
        fields = text.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def kill(self) -> None:
        """End the process at once."""
        self.popen.kill()
        self.popen.wait()
        if self.popen.stdout is not None:
            self.popen.stdout.close()


class Cluster:
    """Two entries, a side beside each worker, and the log service.

    :param deployment: the fleet.
    :param policy: of the entries.
    """

    def __init__(self, deployment: Deployment, policy: str) -> None:
        """Start all processes and wait until they are linked."""
        self.deployment = deployment
        self.policy = policy
        self.place = tempfile.TemporaryDirectory()
        self.log = self.start('log', ['standin', 'log'])
        self.log_address = self.log.announced()
        self.workers = [
            self.start(f'worker-{number}', self.worker_arguments(number))
            for number in range(deployment.workers)
        ]
        self.worker_addresses = [worker.announced() for worker in self.workers]
        self.callers = free_addresses(2)
        self.links = free_addresses(2)
        self.operators = free_addresses(2)
        self.entries = [self.start_entry(number) for number in (0, 1)]
        self.sides = [
            self.start_side(number) for number in range(deployment.workers)
        ]
        self.await_links()

    def start(self, name: str, arguments: list[str]) -> Started:
        """Start a process.

        :param name: of its log file.
        :param arguments: of `python -m jackdawridge`.
        """
        return Started(arguments, Path(self.place.name) / f'{name}.log')

    def worker_arguments(self, number: int) -> list[str]:
        """Return the arguments of a worker.

        :param number: of the worker.
        """
        deployment = self.deployment
        return [
            'standin',
            'worker',
            f'--cores={deployment.cores}',
            f'--memory={deployment.memory}',
            f'--failure-domain={deployment.domain(number)}',
        ]

    def start_entry(self, number: int) -> Started:
        """Start an entry.

        :param number: of the entry.
        """
        document = {
            **self.common('entry', number),
            'caller_address': self.callers[number],
            'peer_address': self.links[number],
            'operator_address': self.operators[number],
            'log_service': self.log_address,
            'policy': self.policy,
        }
        return self.start_daemon('entry', number, document)

    def start_side(self, number: int) -> Started:
        """Start a side.

        :param number: of the side.
        """
        document = {
            **self.common('side', number),
            'operator_address': free_addresses(1)[0],
            'worker': self.worker_addresses[number],
            'cores': self.deployment.cores,
            'memory': self.deployment.memory,
        }
        return self.start_daemon('side', number, document)

    def common(self, role: str, number: int) -> dict[str, Any]:
        """Return the settings of both roles.

        :param role: `entry` or `side`.
        :param number: of the process.
        """
        return {
            'role': role,
            'node': f'{role}-{number}',
            'deployment': self.deployment.name,
            'failure_domain': self.deployment.domain(number),
            'shared_key': SHARED_KEY,
            'entries': self.links,
            'log_level': 'warning',
            'decision_sampling': SAMPLING,
            'link_delay': self.deployment.latency,
        }

    def start_daemon(
        self, role: str, number: int, document: dict[str, Any]
    ) -> Started:
        """Write the settings of a daemon and start it.

        :param role: `entry` or `side`.
        :param number: of the process.
        :param document: its settings.
        """
        path = Path(self.place.name) / f'{role}-{number}.json'
        path.write_text(json.dumps(document))
        name = f'{role}-{number}'
        return self.start(name, [role, '--settings', str(path)])

    def change_policy(self, policy: str) -> None:
        """Replace both entries by ones with another policy.

        :param policy: its name.
        """
        self.policy = policy
        for number, entry in enumerate(self.entries):
            entry.kill()
            self.entries[number] = self.start_entry(number)
        self.await_links()

    def change_domain(self, name: str, *, in_service: bool) -> None:
        """Take a failure domain out of service or back in.

        :param name: of the failure domain.
        :param in_service: whether work may run there.
        """
        order = {
            'kind': 'failure_domain',
            'name': name,
            'value': {'in_service': in_service},
        }
        path = '/v1/configuration/changes'
        ask(self.operators[0], 'POST', path, order)

    def await_links(self) -> None:
        """Wait until both entries are in touch with all sides.

        :raises TimeoutError: if they do not get in touch.
        """
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline:
            linked = [len(self.status(number)['sides']) for number in (0, 1)]
            if min(linked) == self.deployment.workers:
                return
            time.sleep(0.2)
        raise TimeoutError(f'processes are not linked; logs: {self.logs()}')

    def status(self, number: int) -> dict[str, Any]:
        """Return what an entry says about its jobs.

        :param number: of the entry.
        """
        try:
            document = ask(self.operators[number], 'GET', '/v1/status')
        except OSError:
            return {'sides': [], 'placed': 0, 'refused': 0, 'offered': 0}
        return dict(document['jobs'])

    def records(self) -> list[dict[str, Any]]:
        """Return what the workers recorded of starts and ends."""
        return [
            ask(address, 'GET', '/record') for address in self.worker_addresses
        ]

    def fault(self, worker: int, **faults: object) -> None:
        """Give a worker faults.

        :param worker: its number.
        :param faults: that replace those of the same name.
        """
        ask(self.worker_addresses[worker], 'POST', '/faults', faults)

    def logs(self) -> str:
        """Return the last lines of all logs."""
        texts = [
            path.read_text()[-300:]
            for path in Path(self.place.name).glob('*.log')
        ]
        return '\n'.join(text for text in texts if text)

    def close(self) -> None:
        """End all processes."""
        for process in (
            *self.entries,
            *self.sides,
            *self.workers,
            self.log,
        ):
            process.kill()
        self.place.cleanup()


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses that nobody listens on.

    :param count: how many.
    """
    sockets = [socket.socket() for _ in range(count)]
    for bound in sockets:
        bound.bind(('127.0.0.1', 0))
    addresses = [
        '127.0.0.1:{0}'.format(one.getsockname()[1]) for one in sockets
    ]
    for bound in sockets:
        bound.close()
    return addresses


def ask(
    address: str, method: str, path: str, body: object = None
) -> dict[str, Any]:
    """Send a request and return the parsed answer.

    :param address: `ip:port`.
    :param method: of HTTP.
    :param path: of the request.
    :param body: sent as JSON.
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
