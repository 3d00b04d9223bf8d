"""A whole deployment with its platform in one process."""

from __future__ import annotations

import secrets
import socket
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, DeferredList, ensureDeferred

from jackdawridge.config import Settings
from jackdawridge.entry import build_entry
from jackdawridge.side import build_side
from jackdawridge.standins.log import LogService
from jackdawridge.standins.minion import Minion
from jackdawridge.standins.shared_processors import Resources
from jackdawridge.standins.worker import Worker

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.demo.deployments import Deployment

#: Number of entries.
ENTRY_COUNT = 2

_HOST = '127.0.0.1'
_KEY_BYTES = 16


class LocalCluster:
    """Entries, sides and stand-ins that share one reactor.

    :param reactor: the Twisted reactor.
    :param deployment: the deployment to build.
    :param seed: the random seed of the stand-ins.
    """

    def __init__(self, reactor: Any, deployment: Deployment, seed: int) -> None:
        """Create the cluster without starting its processes."""
        self.reactor = reactor
        self.deployment = deployment
        self.seed = seed
        self.shared_key = secrets.token_hex(_KEY_BYTES)
        self.log_service = LogService(reactor, seed)
        self.workers: list[Worker] = []
        self.minions: list[Minion] = []
        self.entries: list[Application] = []
        self.sides: list[Application] = []
        #: Addresses of the entries for callers, operators and peers, by number.
        self.caller_addresses: list[str] = []
        self.operator_addresses: list[str] = []
        self.peer_addresses: list[str] = []

    def start(self) -> None:
        """Start the platform, then the entries, then the sides."""
        log_address = self.log_service.start()
        for _ in range(ENTRY_COUNT):
            self.caller_addresses.append(find_free_address())
            self.operator_addresses.append(find_free_address())
            self.peer_addresses.append(find_free_address())
        for number in range(ENTRY_COUNT):
            self.start_entry(number, log_address)
        for number in range(self.deployment.side_count):
            self.start_side(number)

    def common_settings(self, role: str, number: int) -> dict[str, object]:
        """Return the settings that both roles share.

        :param role: the role, `entry` or `side`.
        :param number: the number of the process within its role, from 0.
        """
        domains = self.deployment.failure_domains
        return {
            'role': role,
            'node': f'{role}-{number + 1}',
            'deployment': self.deployment.name,
            'failure_domain': domains[number % len(domains)],
            'shared_key': self.shared_key,
            'entries': self.peer_addresses,
        }

    def start_entry(self, number: int, log_address: str) -> None:
        """Start an entry.

        :param number: the number of the entry, from 0.
        :param log_address: the address of the log service.
        """
        document = self.common_settings('entry', number) | {
            'caller_address': self.caller_addresses[number],
            'operator_address': self.operator_addresses[number],
            'peer_address': self.peer_addresses[number],
            'log_service': log_address,
        }
        entry = build_entry(Settings.from_config(document), self.reactor)
        self.entries.append(entry)
        entry.start()

    def start_side(self, number: int) -> None:
        """Start a worker, a minion and their side.

        :param number: the number of the side, from 0.
        """
        deployment = self.deployment
        document = self.common_settings('side', number)
        failure_domain = str(document['failure_domain'])
        worker = Worker(
            self.reactor,
            Resources(deployment.cores, deployment.memory),
            failure_domain=failure_domain,
            node=f'worker-{number + 1}',
            seed=self.seed + number,
        )
        minion = Minion(
            self.reactor,
            failure_domain=failure_domain,
            node=f'minion-{number + 1}',
            seed=self.seed + number,
        )
        self.workers.append(worker)
        self.minions.append(minion)
        document |= {
            'operator_address': find_free_address(),
            'worker': worker.start(),
            'minion': minion.start(),
            'service': deployment.service,
            'cores': deployment.cores,
            'memory': deployment.memory,
        }
        side = build_side(Settings.from_config(document), self.reactor)
        self.sides.append(side)
        side.start()

    async def stop(self) -> None:
        """Drain the entries, then the sides, and stop the platform."""
        for processes in (self.entries, self.sides):
            await DeferredList(
                [ensureDeferred(process.stop()) for process in processes]
            )
        for stand_in in (*self.workers, *self.minions, self.log_service):
            await stand_in.stop()

    def count_task_messages(self) -> int:
        """Return the number of task messages that all processes received."""
        return sum(
            process.received[name]
            for process in (*self.entries, *self.sides)
            for name in TASK_MESSAGES
        )

    def pause(self, seconds: float) -> Deferred[None]:
        """Return a `Deferred` that fires after a delay.

        :param seconds: the delay.
        """
        paused: Deferred[None] = Deferred()
        self.reactor.callLater(seconds, paused.callback, None)
        return paused


#: Names of the messages that entries and sides exchange to run tasks.
TASK_MESSAGES = (
    'StartBatch',
    'OutcomeBatch',
    'CancelBatch',
    'Resolve',
    'Resolution',
    'Offer',
)


def find_free_address() -> str:
    """Return a loopback address with a free port."""
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        return '{0}:{1}'.format(_HOST, probe.getsockname()[1])
