"""A whole deployment of real processes on loopback, with proxies between."""

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

#: Time for the whole deployment to become ready, in seconds.
READY_TIMEOUT = 40
OK = 200
#: Settings under which leases and windows end while a test waits.
LAPSING = {'send_window': 0.6, 'task_lease': 1.0}  # noqa: WPS407
#: Settings of every process.
COMMON = {
    'deployment': 'test',
    'shared_key': 'a shared key for tests only',
    'heartbeat': 0.2,
    'send_window': 2.0,
    'task_lease': 5.0,
    'drain': 20.0,
    'log_level': 'info',
}
DOMAINS = ('Germiston', 'Soweto', 'Tembisa', 'Pretoria West')


class EntryAddresses(NamedTuple):
    """Where an entry listens."""

    caller: str
    peer: str
    operator: str


class Deployment:
    """Entries, sides, workers and a log service, joined by fault proxies.

    :param directory: for settings and logs.
    :param seed: of all faults that occur at random.
    :param entries: number of entries.
    :param sides: number of sides, each with a worker.
    :param settings: change those of `COMMON`.
    :param domains: failure domains, which the sides take in turn.
    :param worker: further arguments of the worker stand-ins.
    :param control: of a process with proxies; one is started if it is empty.
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
        """Keep the plan."""
        self.directory = directory
        self.seed = seed
        self.random = random.Random(seed)  # noqa: S311
        self.counts = (entries, sides)
        self.settings = {**COMMON, **(settings or {})}
        self.domains = domains
        self.worker_arguments = worker
        self.control = control
        #: Starts before the last reset.
        self.earlier_starts = 0
        self.entries: list[Node] = []
        self.sides: list[Node] = []
        self.workers: list[StandInNode] = []
        self.stand_ins: list[StandInNode] = []
        self.proxies: dict[str, Proxy] = {}

    def __enter__(self) -> Self:
        """Start everything."""
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
        """End everything."""
        self.close()

    def start(self) -> None:
        """Start everything and wait until each entry knows each side."""
        self.start_stand_ins()
        entries = [
            EntryAddresses(*find_free_addresses(3))
            for _ in range(self.counts[0])
        ]
        for number, addresses in enumerate(entries):
            self.entries.append(self.plan_entry(number, addresses))
        for number in range(self.counts[1]):
            self.sides.append(self.plan_side(number))
        for node in self.entries:
            self.introduce(node)
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
                self.domain_of(number),
                *self.worker_arguments,
            ]
            self.workers.append(
                self.add_stand_in(f'worker-{number}', arguments)
            )

    def add_stand_in(self, name: str, arguments: list[str]) -> StandInNode:
        """Start one stand-in."""
        node = StandInNode(self.directory, name, arguments)
        self.stand_ins.append(node)
        return node

    def domain_of(self, number: int) -> str:
        """Return the failure domain of a side and its worker."""
        return self.domains[number % len(self.domains)]

    def open_proxy(self, name: str, target: str) -> str:
        """Open a proxy and return its address."""
        proxy = Proxy.open(self.control, name, target)
        self.proxies[name] = proxy
        return proxy.address

    def plan_entry(self, number: int, addresses: EntryAddresses) -> Node:
        """Return an entry that does not know the others yet."""
        name = f'entry-{number}'
        log = self.open_proxy(f'{name}:log', self.log.address)
        self.open_proxy(f'caller:{name}', addresses.caller)
        document = {
            **self.settings,
            'role': 'entry',
            'node': name,
            'failure_domain': self.domain_of(number),
            'caller_address': addresses.caller,
            'peer_address': addresses.peer,
            'operator_address': addresses.operator,
            'log_service': log,
            'entries': [addresses.peer],
        }
        return Node(self.directory, document)

    def introduce(self, node: Node) -> None:
        """Tell an entry of the others, each behind a proxy."""
        others = [
            self.open_proxy(f'{node.name}:{other.name}', other.peer)
            for other in self.entries
            if other is not node
        ]
        node.document['entries'] = [node.peer, *others]
        node.write()

    def plan_side(self, number: int) -> Node:
        """Return a side with its worker and the entries behind proxies."""
        name = f'side-{number}'
        worker = self.workers[number].address
        document = {
            **self.settings,
            'role': 'side',
            'node': name,
            'failure_domain': self.domain_of(number),
            'operator_address': find_free_addresses(1)[0],
            'entries': [
                self.open_proxy(f'{name}:{entry.name}', entry.peer)
                for entry in self.entries
            ],
            'worker': self.open_proxy(f'{name}:worker', worker),
        }
        return Node(self.directory, document)

    def wait_linked(self, timeout: float = READY_TIMEOUT) -> None:
        """Wait until each entry that runs knows each side that runs."""
        wait_until(self.are_linked, 'entries know all sides', timeout)
        wait_until(self.are_joined, 'entries know each other', timeout)

    def are_linked(self) -> bool:
        """Return whether each entry that runs knows each side that runs."""
        entries = [node for node in self.entries if node.has_to_run()]
        sides = {node.name for node in self.sides if node.has_to_run()}
        return all(sides <= set(node.known_sides()) for node in entries)

    def are_joined(self) -> bool:
        """Return whether each entry answers for tickets of the others."""
        running = [node.caller for node in self.entries if node.has_to_run()]
        tickets = [get_ticket(address) for address in running]
        return all(
            request(address, 'GET', f'/v1/jobs/{ticket}').status == OK
            for address in running
            for ticket in tickets
        )

    def reset(self) -> None:
        """End all faults and wait until nothing runs."""
        for proxy in self.proxies.values():
            proxy.set()
        for worker in self.workers:
            worker.set(lose_answers=0, delay=0, delay_request=0, kill=False)
        self.wait_linked()
        wait_until(lambda: self.count_running() == 0, 'nothing runs')
        self.earlier_starts = count_starts(self.records())

    def records(self) -> list[Record]:
        """Return the records of all workers."""
        return [worker.record() for worker in self.workers]

    def started_tasks(self, ticket: str) -> set[int]:
        """Return the positions of the tasks of a job that were started."""
        return find_started_tasks(self.records(), ticket)

    def count_starts(self) -> int:
        """Return the number of starts at all workers since the reset."""
        return count_starts(self.records()) - self.earlier_starts

    def count_running(self) -> int:
        """Return the number of tasks that run at all workers."""
        return sum(
            len(record['starts']) - len(record['ends'])
            for record in self.records()
        )

    def count_open(self, entry: Node) -> int:
        """Return the number of jobs that an entry has admitted."""
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

    :param condition: asked again and again.
    :param wanted: for the error.
    :param timeout: in seconds.
    :raises AssertionError: if it does not hold in time.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        assert time.monotonic() < deadline, f'not within {timeout} s: {wanted}'
        time.sleep(0.05)
