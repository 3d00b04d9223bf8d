"""A deployment with minions, and callers of their service."""

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
    """A request and its answer; status 0 if the connection was cut."""

    request_id: str
    method: str
    status: int
    body: str
    outcome: str
    retry_after: str
    seconds: float


class ServiceDeployment(Deployment):
    """A deployment whose sides have a minion as well."""

    def start_stand_ins(self) -> None:
        """Start the minions as well."""
        self.minions: list[StandInNode] = []
        #: Starts at minions that were replaced.
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
        """Return a side with a minion behind a proxy."""
        node = super().make_side(number)
        address = self.minions[number].address
        name = f'side-{number}:minion'
        node.document['minion'] = self.open_proxy(name, address)
        node.document['service'] = SERVICE
        node.write()
        return node

    def replace_minion(self, number: int) -> None:
        """End a minion and start another at its address."""
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

    def steps(self, step: str) -> float:
        """Return how often entries that run have taken a step."""
        name = f'jackdawridge_request_steps_total{{step="{step}"}} '
        return sum(
            float(line.removeprefix(name))
            for entry in self.entries
            if is_running(entry)
            for line in str(entry.ask('GET', '/metrics').body).splitlines()
            if line.startswith(name)
        )

    def starts(self) -> Counter[str]:
        """Return how often each request was started by the minions."""
        starts = Counter(start['id'] for start in self.ended_starts)
        for minion in self.minions:
            starts.update(start['id'] for start in minion.record()['starts'])
        return starts

    def wait_served(self) -> None:
        """Wait until a request is answered through each entry."""
        wait_until(self.is_served, 'requests are answered')

    def is_served(self) -> bool:
        """Return whether a request is answered through each entry."""
        return all(
            call(entry.caller, 'warm-up', seconds=0).status == 200
            for entry in self.entries
        )


def is_running(node: Node) -> bool:
    """Return whether a process was started and has not ended."""
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
    """Send one request, whose answer is to tell its id."""
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
    order: tuple[str, str, str | None],
    fields: dict[str, str],
    start: float,
) -> Called:
    """Send a request and read its answer."""
    connection = http.client.HTTPConnection(address, timeout=30)
    try:
        connection.request(*order, headers=fields)
        response = connection.getresponse()
        text = response.read().decode()
    finally:
        connection.close()
    return Called(
        fields['X-Request-Id'],
        order[0],
        response.status,
        text,
        response.getheader(OUTCOME_HEADER) or '',
        response.getheader('Retry-After') or '',
        time.monotonic() - start,
    )


class Load(Background):
    """Callers that send requests one after the other until told to stop.

    :param addresses: of the entries, taken in turn.
    :param callers: number of callers.
    :param seconds: that each request takes.
    """

    def __init__(
        self, addresses: list[str], callers: int, seconds: float = 0.05
    ) -> None:
        """Start calling."""
        super().__init__()
        self.addresses = addresses
        self.seconds = seconds
        self.pool = ThreadPoolExecutor(callers)
        self.futures: list[Future[list[Called]]] = [
            self.pool.submit(self.run, number) for number in range(callers)
        ]

    def run(self, number: int) -> list[Called]:
        """Call until told to stop; every second request is a POST."""
        answers: list[Called] = []
        while not self.stopped.is_set():
            count = len(answers)
            address = self.addresses[(number + count) % len(self.addresses)]
            answers.append(
                call(
                    address,
                    f'caller-{number}-{count}',
                    'POST' if count % 2 else 'GET',
                    seconds=self.seconds,
                )
            )
            # A caller that is refused at once does not hammer.
            time.sleep(0.02 if answers[-1].status == 200 else 0.2)
        return answers

    def finish(self) -> list[Called]:
        """Stop and return all answers."""
        self.stop()
        answers = [each for one in self.futures for each in one.result()]
        self.pool.shutdown()
        return answers


def check(deployment: ServiceDeployment, answers: list[Called]) -> None:
    """Check the promises against the minions' own record."""
    starts = deployment.starts()
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
    """Return how often each status and outcome was seen."""
    counts = Counter((each.status, each.outcome) for each in answers)
    return {f'{key[0]} {key[1]}': count for key, count in counts.items()}
