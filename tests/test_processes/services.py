"""Deployment with minions, and callers of their service."""

from __future__ import annotations

import http.client
import json
import time
from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, NamedTuple

from tests.processes.background import Background
from tests.processes.deployment import Deployment, wait_until
from tests.processes.process import Process

if TYPE_CHECKING:
    from tests.processes.nodes import Node, StandInNode

SERVICE = 'dispense-ledger'
OUTCOME_HEADER = 'x-jackdawridge-outcome'


class Called(NamedTuple):
    """Request and its answer; status 0 if the connection was cut."""

    request_id: str
    method: str
    status: int
    body: str
    outcome: str
    retry_after: str
    seconds: float


class ServiceDeployment(Deployment):
    """Deployment in which each side has a minion as well as a worker."""

    def start_stand_ins(self) -> None:
        """Start the minions and all other stand-ins."""
        self.minions: list[StandInNode] = []
        #: Requests started at minions that were replaced since.
        self.ended_starts: list[Any] = []
        for number in range(self.counts[1]):
            arguments = [
                'minion',
                '--failure-domain',
                self.failure_domain_of(number),
            ]
            self.minions.append(
                self.add_stand_in(f'minion-{number}', arguments)
            )
        super().start_stand_ins()

    def make_side(self, number: int) -> Node:
        """Return a side that reaches its minion by a proxy."""
        node = super().make_side(number)
        address = self.minions[number].address
        name = f'side-{number}:minion'
        node.document['minion'] = self.open_proxy(name, address)
        node.document['service'] = SERVICE
        node.write()
        return node

    def replace_minion(self, number: int) -> None:
        """End a minion and start a new one at the same address."""
        minion = self.minions[number]
        self.ended_starts.extend(minion.record()['starts'])
        minion.close()
        minion.process = Process(
            minion.name,
            [
                'jackdawridge.cmd.standin',
                'standin',
                'minion',
                '--address',
                minion.address,
            ],
            self.directory / f'{minion.name}.log',
        )
        minion.wait_ready()

    def count_steps(self, step: str) -> float:
        """Return the number of times that running entries recorded a step."""
        name = f'jackdawridge_request_steps_total{{step="{step}"}} '
        return sum(
            float(line.removeprefix(name))
            for entry in self.entries
            if is_running(entry)
            for line in str(entry.ask('GET', '/metrics').body).splitlines()
            if line.startswith(name)
        )

    def count_request_starts(self) -> Counter[str]:
        """Return the number of starts at the minions by request id."""
        starts = Counter(start['id'] for start in self.ended_starts)
        for minion in self.minions:
            starts.update(start['id'] for start in minion.record()['starts'])
        return starts

    def wait_served(self) -> None:
        """Wait until a request succeeds through each entry."""
        wait_until(self.is_served, 'requests are answered')

    def is_served(self) -> bool:
        """Return whether a request succeeds through each entry."""
        return all(
            call(entry.caller_address, 'warm-up', seconds=0).status == 200
            for entry in self.entries
        )


def is_running(node: Node) -> bool:
    """Return whether a process was started and has not exited."""
    process = node.process
    return process is not None and process.popen.poll() is None


def call(
    address: str,
    request_id: str,
    method: str = 'GET',
    *,
    seconds: float = 0.05,
    size: int = 0,
    headers: dict[str, str] | None = None,
) -> Called:
    """Send one request whose expected answer is its id."""
    answer = {'seconds': seconds, 'answer': request_id, 'size': size}
    body = json.dumps(answer) if method == 'POST' else None
    query = f'?seconds={seconds}&answer={request_id}&size={size}'
    path = f'/v1/services/{SERVICE}/fills{"" if body else query}'
    fields = {'X-Request-Id': request_id, **(headers or {})}
    start = time.monotonic()
    try:
        return exchange(address, (method, path, body), fields, start)
    except (OSError, http.client.HTTPException):
        elapsed = time.monotonic() - start
        return Called(request_id, method, 0, '', '', '', elapsed)


def exchange(
    address: str,
    arguments: tuple[str, str, str | None],
    fields: dict[str, str],
    start: float,
) -> Called:
    """Send a request and read its answer.

    :param address: address of an entry.
    :param arguments: method, path and body.
    :param fields: headers with the request id.
    :param start: time at which the call began, on the monotonic clock.
    """
    connection = http.client.HTTPConnection(address, timeout=30)
    try:
        connection.request(*arguments, headers=fields)
        response = connection.getresponse()
        text = response.read().decode()
    finally:
        connection.close()
    return Called(
        fields['X-Request-Id'],
        arguments[0],
        response.status,
        text,
        response.getheader(OUTCOME_HEADER) or '',
        response.getheader('Retry-After') or '',
        time.monotonic() - start,
    )


class Load(Background):
    """Request load of callers that each send one request at a time.

    :param addresses: addresses of the entries, used in turn.
    :param callers: number of concurrent callers.
    :param seconds: run time of each request at the minion.
    :param methods: methods of the requests of a caller, used in turn.
    """

    def __init__(
        self,
        addresses: list[str],
        callers: int,
        seconds: float = 0.05,
        methods: tuple[str, ...] = ('GET', 'POST'),
    ) -> None:
        """Start the callers."""
        super().__init__()
        self.methods = methods
        self.addresses = addresses
        self.seconds = seconds
        self.pool = ThreadPoolExecutor(callers)
        self.futures: list[Future[list[Called]]] = [
            self.pool.submit(self.run, number) for number in range(callers)
        ]

    def run(self, number: int) -> list[Called]:
        """Send requests until stopped."""
        answers: list[Called] = []
        while not self.stopped.is_set():
            count = len(answers)
            address = self.addresses[(number + count) % len(self.addresses)]
            answers.append(
                call(
                    address,
                    f'caller-{self.methods[0]}-{number}-{count}',
                    self.methods[count % len(self.methods)],
                    seconds=self.seconds,
                )
            )
            # Backs off after a failure: a refusal may be immediate, and an
            # immediate retry would only add load.
            time.sleep(0.02 if answers[-1].status == 200 else 0.2)
        return answers

    def finish(self) -> list[Called]:
        """Stop the callers and return all answers."""
        self.stop()
        answers = [each for future in self.futures for each in future.result()]
        self.pool.shutdown()
        return answers


def check(deployment: ServiceDeployment, answers: list[Called]) -> None:
    """Check the answers against the starts that the minions recorded.

    A successful request was started, a request reported as not run was not,
    and a POST was started at most once.
    """
    starts = deployment.count_request_starts()
    for answer in answers:
        count = starts[answer.request_id]
        if answer.status == 200:
            assert answer.body == answer.request_id
            assert count >= 1, answer
        if answer.outcome == 'not-run':
            assert count == 0, answer
        if answer.method == 'POST':
            assert count <= 1, answer


def summarize(answers: list[Called]) -> dict[str, Any]:
    """Return the number of answers by status and outcome."""
    counts = Counter((each.status, each.outcome) for each in answers)
    return {f'{key[0]} {key[1]}': count for key, count in counts.items()}
