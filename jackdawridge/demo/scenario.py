"""What the demo does with its deployment."""

from __future__ import annotations

import json
import random
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet.defer import DeferredList, ensureDeferred

from jackdawridge.demo.cluster import LocalCluster
from jackdawridge.demo.report import (
    JobOutcome,
    Removal,
    Report,
    RequestCounts,
    make_report,
)
from jackdawridge.util.client import JsonClient

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from twisted.internet.defer import Deferred

#: Time for the processes to find each other, in seconds.
SETTLE_LIMIT = 10.0
#: Time from then until every side takes work, in seconds.
SETTLE_PAUSE = 1.5
#: Length of the parts of the run, in seconds.
BEFORE = 4.0
AWAY = 6.0
AFTER = 4.0
#: Time between two jobs and between two requests, in seconds.
JOB_INTERVAL = 0.25
REQUEST_INTERVAL = 0.05
#: Fewest and most tasks of a job.
JOB_TASKS = (4, 24)
#: Shortest and longest task, in seconds.
TASK_TIMES = (0.05, 1.0)
#: How far off declared sizes and run times are at most.
DECLARED_ERROR = 4.0
#: Memory that a task really takes, in MB.
TASK_MEMORY = 200
#: Time that a minion spends on a request, in seconds.
REQUEST_TIME = 0.02

_OK = 200
_POLL = 0.1

#: Bytes of an unexpected answer that are shown.
SHOWN_BYTES = 200


class TaskPlan(NamedTuple):
    """A task with what it really takes and what is declared."""

    seconds: float
    document: dict[str, object]


class Scenario:
    """Posts requests and jobs while a failure domain leaves and returns.

    :param cluster: that is running.
    :param seed: of everything that is drawn at random.
    :param say: called with each line of progress.
    """

    def __init__(
        self, cluster: LocalCluster, seed: int, say: Callable[[str], None]
    ) -> None:
        """Prepare without traffic."""
        self.cluster = cluster
        self.random = random.Random(seed)
        self.say = say
        self.client = JsonClient(cluster.reactor)
        self.open: list[Deferred[None]] = []
        self.outcomes: list[JobOutcome] = []
        self.answered = 0
        self.failed = 0
        self.crossed = 0
        self.posted = 0
        self.ending = False

    async def run(self) -> Report:
        """Go through all parts and return the report."""
        await self.settle()
        traffic = [
            ensureDeferred(self.post_jobs()),
            ensureDeferred(self.post_requests()),
        ]
        await self.cluster.pause(BEFORE)
        removal = await self.remove_domain()
        await self.cluster.pause(AFTER)
        self.ending = True
        await DeferredList(traffic, fireOnOneErrback=True)
        await DeferredList(self.open, fireOnOneErrback=True)
        self.say('all answers are in')
        self.client.close()
        return make_report(
            self.outcomes,
            RequestCounts(self.answered, self.failed, self.crossed),
            [worker.record for worker in self.cluster.workers],
            removal,
            self.cluster.messages(),
        )

    async def settle(self) -> None:
        """Wait until each entry may place work at each side."""
        deadline = time.monotonic() + SETTLE_LIMIT
        wanted = len(self.cluster.sides)
        while time.monotonic() < deadline:
            counts = [
                len(await self.linked_sides(address))
                for address in self.cluster.operator_addresses
            ]
            if min(counts) == wanted:
                # The sides hear of the configuration with a later heartbeat.
                await self.cluster.pause(SETTLE_PAUSE)
                self.say(f'{len(counts)} entries work with {wanted} sides')
                return
            await self.cluster.pause(_POLL)
        self.say(f'only {min(counts)} of {wanted} sides are linked')

    async def linked_sides(self, address: str) -> list[str]:
        """Return the sides that an entry may place work at.

        :param address: of the entry, for operators.
        """
        health = await self.client.ask('GET', f'http://{address}/healthz')
        if health.status != _OK:
            return []
        answer = await self.client.ask('GET', f'http://{address}/v1/status')
        sides: list[str] = answer.document()['jobs']['sides']
        return sides

    async def remove_domain(self) -> Removal:
        """Take a failure domain out of service and back in."""
        name = self.cluster.deployment.removed
        await self.change_domain(name, in_service=False)
        out = time.monotonic()
        self.say(f'failure domain {name} is out of service')
        await self.cluster.pause(AWAY)
        back = time.monotonic()
        await self.change_domain(name, in_service=True)
        self.say(f'failure domain {name} is back in service')
        return Removal(name, out, back)

    async def change_domain(self, name: str, *, in_service: bool) -> None:
        """Publish a change of a failure domain.

        :param name: of the failure domain.
        :param in_service: whether work may start there.
        """
        address = self.cluster.operator_addresses[0]
        order = {
            'kind': 'failure_domain',
            'name': name,
            'value': {'in_service': in_service},
        }
        url = f'http://{address}/v1/configuration/changes'
        answer = await self.client.ask('POST', url, order)
        if answer.status != _OK:
            self.say(f'change was not accepted: {answer.body.decode()}')

    async def post_jobs(self) -> None:
        """Submit jobs at a steady rate until the run ends."""
        while not self.ending:
            self.begin(self.post_job())
            await self.cluster.pause(JOB_INTERVAL)

    async def post_requests(self) -> None:
        """Send requests at a steady rate until the run ends."""
        while not self.ending:
            self.posted += 1
            self.begin(self.post_request(self.posted))
            await self.cluster.pause(REQUEST_INTERVAL)

    def begin(self, work: Coroutine[Any, Any, None]) -> None:
        """Do something beside the steady rate.

        :param work: to be done.
        """
        self.open.append(ensureDeferred(work))

    def choose(self, addresses: list[str]) -> str:
        """Return an address as the balancer would.

        :param addresses: one an entry.
        """
        return self.random.choice(addresses)

    def plan_task(self, number: int) -> TaskPlan:
        """Return a task whose declared values are off.

        :param number: its position in the job.
        """
        shortest, longest = TASK_TIMES
        seconds = shortest * (longest / shortest) ** self.random.random()
        error = DECLARED_ERROR ** self.random.uniform(-1, 1)
        behaviour = {
            'seconds': seconds,
            'cores': 1,
            'memory': TASK_MEMORY,
            'answer': f'litres-{number}',
        }
        return TaskPlan(
            seconds,
            {
                'kind': self.cluster.deployment.task_kind,
                'cores': 1,
                'memory': TASK_MEMORY * error,
                'run_time': seconds * error,
                'payload': json.dumps(behaviour),
            },
        )

    async def post_job(self) -> None:
        """Submit a job and judge its answer."""
        plans = [
            self.plan_task(number)
            for number in range(self.random.randint(*JOB_TASKS))
        ]
        job = {
            'team': self.random.choice(self.cluster.deployment.teams),
            'tasks': [plan.document for plan in plans],
        }
        address = self.choose(self.cluster.caller_addresses)
        began = time.monotonic()
        answer = await self.client.ask('POST', f'http://{address}/v1/jobs', job)
        took = time.monotonic() - began
        ideal = max(plan.seconds for plan in plans)
        state = judge(answer.status, answer.document(), len(plans))
        if state != 'complete':
            self.say(
                f'job {state}: {answer.status} {answer.body[:SHOWN_BYTES]!r}'
            )
        self.outcomes.append(JobOutcome(state, len(plans), took / ideal))

    async def post_request(self, number: int) -> None:
        """Send a request to a minion and judge its answer.

        :param number: identifies the request in its answer.
        """
        deployment = self.cluster.deployment
        address = self.choose(self.cluster.caller_addresses)
        url = f'http://{address}/v1/services/{deployment.service}'
        mark = f'mark-{number}-'
        body = {'seconds': REQUEST_TIME, 'answer': mark}
        answer = await self.client.ask('POST', f'{url}/{deployment.path}', body)
        if answer.status != _OK:
            self.failed += 1
            reason = answer.body.decode(errors='replace')
            self.say(f'request {number} failed: {answer.status} {reason}')
        elif mark in answer.body.decode():
            self.answered += 1
        else:
            self.crossed += 1


def judge(status: int, document: Any, tasks: int) -> str:
    """Return whether a job's answer is `complete`, `failed` or `partial`.

    :param status: of HTTP.
    :param document: the answer.
    :param tasks: of the job.
    """
    if status != _OK or document.get('state') != 'complete':
        return 'partial' if document.get('answers') else 'failed'
    expected = [f'litres-{number}' for number in range(tasks)]
    return 'complete' if document['answers'] == expected else 'partial'
