"""Deployment of real processes on loopback, linked by fault proxies."""

from __future__ import annotations

import random
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple, Self

from jackdawridge.standins.record import (
    count_starts,
    find_double_starts,
    find_started_tasks,
)
from tests.processes.http import get_ticket, request
from tests.processes.nodes import Node, StandInNode
from tests.processes.ports import find_free_addresses
from tests.processes.proxies import Proxy

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from jackdawridge.standins.messages import Record

#: Time limit for the whole deployment to become ready, in seconds.
READY_TIMEOUT = 40
OK = 200
#: Settings with leases and send windows that expire during a test.
SHORT_LEASES = {'send_window': 0.6, 'task_lease': 1.0}  # noqa: WPS407
#: Default settings of every process.
COMMON_SETTINGS = {
    'deployment': 'test',
    'shared_key': 'a shared key for tests only',
    'heartbeat': 0.2,
    'send_window': 2.0,
    'task_lease': 5.0,
    'drain': 20.0,
    # The proxies in front of the entries are the only routes to them.
    'seed_discovery': 60.0,
    'log_level': 'info',
}
DOMAINS = ('Germiston', 'Soweto', 'Tembisa', 'Pretoria West')


class EntryAddresses(NamedTuple):
    """Addresses that an entry listens on."""

    caller_address: str
    peer_address: str
    operator_address: str


class Deployment:
    """Entries, sides, workers and a log service, linked by fault proxies.

    :param directory: directory for the settings and the logs.
    :param seed: seed of all random faults.
    :param entries: number of entries.
    :param sides: number of sides, each with a worker.
    :param settings: settings that override the defaults in `COMMON_SETTINGS`.
    :param domains: failure domains, assigned to the sides in turn.
    :param worker: additional arguments of the worker stand-ins.
    :param control: control address of a process with fault proxies; if it is
        empty, such a process is started.
    """

    def __init__(
        self,
        directory: Path,
        *,
        seed: int = 0,
        entries: int = 2,
        sides: int = 2,
        settings: dict[str, Any] | None = None,
        domains: tuple[str, ...] = DOMAINS,
        worker: tuple[str, ...] = (),
        control: str = '',
    ) -> None:
        """Prepare the deployment without starting a process."""
        self.directory = directory
        self.seed = seed
        self.random = random.Random(seed)  # noqa: S311
        self.counts = (entries, sides)
        self.settings = {**COMMON_SETTINGS, **(settings or {})}
        self.domains = domains
        self.worker_arguments = worker
        self.control = control
        #: Number of task starts before the last reset.
        self.earlier_starts = 0
        self.entries: list[Node] = []
        self.sides: list[Node] = []
        self.workers: list[StandInNode] = []
        self.stand_ins: list[StandInNode] = []
        self.proxies: dict[str, Proxy] = {}

    def __enter__(self) -> Self:
        """Start all processes."""
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes."""
        self.close()

    def start(self) -> None:
        """Start all processes and wait until each entry knows each side."""
        self.start_stand_ins()
        entries = [
            EntryAddresses(*find_free_addresses(3))
            for _ in range(self.counts[0])
        ]
        for number, addresses in enumerate(entries):
            self.entries.append(self.make_entry(number, addresses))
        for number in range(self.counts[1]):
            self.sides.append(self.make_side(number))
        for node in self.entries:
            self.set_peers(node)
        self.start_nodes()
        for stand_in in self.stand_ins:
            stand_in.wait_ready()
        self.wait_linked()

    def start_nodes(self) -> None:
        """Start entries and sides."""
        for node in (*self.entries, *self.sides):
            node.start()

    def start_stand_ins(self) -> None:
        """Start the log service, the workers and the proxies."""
        seed = ['--seed', str(self.seed)]
        self.log = self.add_stand_in('log', ['log', *seed])
        if not self.control:
            proxy = self.add_stand_in('proxy', ['proxy', *seed])
            self.control = proxy.wait_ready()
        for number in range(self.counts[1]):
            arguments = [
                'worker',
                *seed,
                '--node',
                f'worker-{number}',
                '--failure-domain',
                self.failure_domain_of(number),
                *self.worker_arguments,
            ]
            self.workers.append(
                self.add_stand_in(f'worker-{number}', arguments)
            )

    def add_stand_in(self, name: str, arguments: list[str]) -> StandInNode:
        """Start one stand-in without waiting until it is ready."""
        node = StandInNode(self.directory, name, arguments)
        self.stand_ins.append(node)
        return node

    def failure_domain_of(self, number: int) -> str:
        """Return the failure domain of a side and its worker."""
        return self.domains[number % len(self.domains)]

    def open_proxy(self, name: str, target: str) -> str:
        """Open a proxy and return its address."""
        proxy = Proxy.open(self.control, name, target)
        self.proxies[name] = proxy
        return proxy.address

    def make_entry(self, number: int, addresses: EntryAddresses) -> Node:
        """Return an entry that is not configured with its peers yet."""
        name = f'entry-{number}'
        log = self.open_proxy(f'{name}:log', self.log.address)
        self.open_proxy(f'caller:{name}', addresses.caller_address)
        document = {
            **self.settings,
            'role': 'entry',
            'node': name,
            'failure_domain': self.failure_domain_of(number),
            'caller_address': addresses.caller_address,
            'peer_address': addresses.peer_address,
            'operator_address': addresses.operator_address,
            'log_service': log,
            'entries': [addresses.peer_address],
        }
        return Node(self.directory, document)

    def set_peers(self, node: Node) -> None:
        """Configure an entry with the other entries, each behind a proxy."""
        others = [
            self.open_proxy(f'{node.name}:{other.name}', other.peer_address)
            for other in self.entries
            if other is not node
        ]
        node.document['entries'] = [node.peer_address, *others]
        node.write()

    def make_side(self, number: int) -> Node:
        """Return a side that reaches its worker and the entries by proxies."""
        name = f'side-{number}'
        worker = self.workers[number].address
        document = {
            **self.settings,
            'role': 'side',
            'node': name,
            'failure_domain': self.failure_domain_of(number),
            'operator_address': find_free_addresses(1)[0],
            'entries': [
                self.open_proxy(f'{name}:{entry.name}', entry.peer_address)
                for entry in self.entries
            ],
            'worker': self.open_proxy(f'{name}:worker', worker),
        }
        return Node(self.directory, document)

    def wait_linked(self, timeout: float = READY_TIMEOUT) -> None:
        """Wait until running entries know each other and all running sides."""
        wait_until(self.are_linked, 'entries know all sides', timeout)
        wait_until(self.are_joined, 'entries know each other', timeout)

    def are_linked(self) -> bool:
        """Return whether each running entry knows each running side."""
        entries = [node for node in self.entries if node.should_run()]
        sides = {node.name for node in self.sides if node.should_run()}
        return all(sides <= set(node.known_sides()) for node in entries)

    def are_joined(self) -> bool:
        """Return whether each running entry answers for all tickets."""
        running = [
            node.caller_address for node in self.entries if node.should_run()
        ]
        tickets = [get_ticket(address) for address in running]
        return all(
            request(address, 'GET', f'/v1/jobs/{ticket}').status == OK
            for address in running
            for ticket in tickets
        )

    def reset(self) -> None:
        """Clear all faults, wait until no task runs and reset the count."""
        for proxy in self.proxies.values():
            proxy.set_faults()
        for worker in self.workers:
            worker.set_faults(
                lose_answers=0, delay=0, delay_request=0, kill=False
            )
        self.wait_linked()
        wait_until(lambda: self.count_running() == 0, 'nothing runs')
        self.earlier_starts = count_starts(self.records())

    def records(self) -> list[Record]:
        """Return the starts and ends that all workers recorded."""
        return [worker.record() for worker in self.workers]

    def started_tasks(self, ticket: str) -> set[int]:
        """Return the indexes of the tasks of a job that were started."""
        return find_started_tasks(self.records(), ticket)

    def count_starts(self) -> int:
        """Return the number of task starts at all workers since the reset."""
        return count_starts(self.records()) - self.earlier_starts

    def count_running(self) -> int:
        """Return the number of tasks running at all workers."""
        return sum(
            len(record['starts']) - len(record['ends'])
            for record in self.records()
        )

    def count_open(self, entry: Node) -> int:
        """Return the number of open jobs that an entry has admitted."""
        status = entry.status() or {}
        return int(status.get('jobs', {}).get('open_jobs', 0))

    def check(self) -> None:
        """Check that no task was started twice."""
        doubles = find_double_starts(self.records())
        assert not doubles, f'seed {self.seed}: {doubles[:3]}'

    def close(self) -> None:
        """End all processes."""
        for node in (*self.entries, *self.sides):
            node.close()
        for stand_in in self.stand_ins:
            stand_in.close()


def wait_until(
    condition: Callable[[], bool], wanted: str, timeout: float = 30
) -> None:
    """Wait until a condition holds.

    :param condition: function that is polled every 0.05 s.
    :param wanted: description of the condition for the error message.
    :param timeout: time limit in seconds.
    :raises AssertionError: if it does not hold in time.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        assert time.monotonic() < deadline, f'not within {timeout} s: {wanted}'
        time.sleep(0.05)
