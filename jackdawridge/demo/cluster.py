"""Runs a whole deployment with its platform in one process."""

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
from jackdawridge.standins.sharing import Size
from jackdawridge.standins.worker import Worker

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.demo.deployments import Deployment

#: Entries of the small deployment.
ENTRIES = 2

_HOST = '127.0.0.1'
_KEY_BYTES = 16


class LocalCluster:
    """Entries, sides and stand-ins that share one loop.

    :param reactor: Twisted's reactor.
    :param deployment: what to build.
    :param seed: of what the stand-ins draw at random.
    """

    def __init__(self, reactor: Any, deployment: Deployment, seed: int) -> None:
        """Prepare without starting anything."""
        self.reactor = reactor
        self.deployment = deployment
        self.seed = seed
        self.key = secrets.token_hex(_KEY_BYTES)
        self.log = LogService(reactor, seed)
        self.workers: list[Worker] = []
        self.minions: list[Minion] = []
        self.entries: list[Application] = []
        self.sides: list[Application] = []
        #: Addresses for callers and for operators, one of each an entry.
        self.caller_addresses: list[str] = []
        self.operator_addresses: list[str] = []
        self.peer_addresses: list[str] = []

    def start(self) -> None:
        """Start the platform, then the entries, then the sides."""
        log = self.log.start()
        for _ in range(ENTRIES):
            self.caller_addresses.append(free_address())
            self.operator_addresses.append(free_address())
            self.peer_addresses.append(free_address())
        for number in range(ENTRIES):
            self.start_entry(number, log)
        for number in range(self.deployment.sides):
            self.start_side(number)

    def common(self, role: str, number: int) -> dict[str, object]:
        """Return the settings that both roles have.

        :param role: `entry` or `side`.
        :param number: of the process within its role.
        """
        domains = self.deployment.failure_domains
        return {
            'role': role,
            'node': f'{role}-{number + 1}',
            'deployment': self.deployment.name,
            'failure_domain': domains[number % len(domains)],
            'shared_key': self.key,
            'entries': self.peer_addresses,
        }

    def start_entry(self, number: int, log: str) -> None:
        """Start an entry.

        :param number: of the entry.
        :param log: address of the log service.
        """
        document = self.common('entry', number) | {
            'caller_address': self.caller_addresses[number],
            'operator_address': self.operator_addresses[number],
            'peer_address': self.peer_addresses[number],
            'log_service': log,
        }
        entry = build_entry(Settings.from_config(document), self.reactor)
        self.entries.append(entry)
        entry.start()

    def start_side(self, number: int) -> None:
        """Start a worker, a minion and the side beside them.

        :param number: of the side.
        """
        deployment = self.deployment
        document = self.common('side', number)
        failure_domain = str(document['failure_domain'])
        worker = Worker(
            self.reactor,
            Size(deployment.cores, deployment.memory),
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
            'operator_address': free_address(),
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
        """Drain all processes and stop the platform."""
        for processes in (self.entries, self.sides):
            await DeferredList(
                [ensureDeferred(process.stop()) for process in processes]
            )
        for stand_in in (*self.workers, *self.minions, self.log):
            await stand_in.stop()

    def messages(self) -> int:
        """Return the number of messages about tasks that were received."""
        return sum(
            process.received[name]
            for process in (*self.entries, *self.sides)
            for name in TASK_MESSAGES
        )

    def pause(self, seconds: float) -> Deferred[None]:
        """Return a `Deferred` that fires after a while.

        :param seconds: to wait.
        """
        paused: Deferred[None] = Deferred()
        self.reactor.callLater(seconds, paused.callback, None)
        return paused


#: Names of the messages that are sent because of tasks.
TASK_MESSAGES = (
    'StartBatch',
    'OutcomeBatch',
    'CancelBatch',
    'Resolve',
    'Resolution',
    'Offer',
)


def free_address() -> str:
    """Return an address on loopback whose port is free."""
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        return '{0}:{1}'.format(_HOST, probe.getsockname()[1])
