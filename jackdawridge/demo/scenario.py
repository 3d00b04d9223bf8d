"""The workload of the demo and the removal of a failure domain."""

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
    build_report,
)
from jackdawridge.util.client import JsonClient

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from twisted.internet.defer import Deferred

#: Time in which all entries must link to all sides, in seconds.
LINK_TIMEOUT = 10.0
#: Time after the links until all sides have the configuration and accept
#: work, in seconds.
CONFIGURATION_TIME = 1.5
#: Durations of the workload before, during and after the removal of a failure
#: domain, in seconds.
BEFORE_REMOVAL_TIME = 4.0
REMOVAL_TIME = 6.0
AFTER_REMOVAL_TIME = 4.0
#: Time between two jobs and between two requests, in seconds.
JOB_INTERVAL = 0.25
REQUEST_INTERVAL = 0.05
#: Minimum and maximum number of tasks of a job.
TASK_COUNT_RANGE = (4, 24)
#: Minimum and maximum run time of a task, in seconds.
RUN_TIME_RANGE = (0.05, 1.0)
#: Maximum factor between declared and real values of memory and run time.
MAX_ERROR_FACTOR = 4.0
#: Memory that a task uses, in MB.
TASK_MEMORY_MB = 200
#: Time in which a minion processes a request, in seconds.
REQUEST_TIME = 0.02

_OK = 200
_POLL_INTERVAL = 0.1

#: Maximum number of bytes printed of an unexpected answer.
MAX_SHOWN_BYTES = 200


class TaskPlan(NamedTuple):
    """A task with its real run time and its declared resources."""

    #: The real run time.
    seconds: float
    #: The task as it is submitted.
    document: dict[str, object]


class Scenario:
    """Sends requests and jobs while a failure domain is removed and restored.

    :param cluster: the running deployment.
    :param seed: the random seed of the workload.
    :param print_progress: called with each line of progress.
    """

    def __init__(
        self,
        cluster: LocalCluster,
        seed: int,
        print_progress: Callable[[str], None],
    ) -> None:
        """Create the scenario without sending anything."""
        self.cluster = cluster
        self.random = random.Random(seed)
        self.print_progress = print_progress
        self.client = JsonClient(cluster.reactor)
        self.in_flight: list[Deferred[None]] = []
        self.outcomes: list[JobOutcome] = []
        self.answered = 0
        self.failed = 0
        self.crossed = 0
        self.request_count = 0
        self.is_ending = False

    async def run(self) -> Report:
        """Run the workload, remove and restore a domain, return the report."""
        await self.await_links()
        workload = [
            ensureDeferred(self.post_jobs()),
            ensureDeferred(self.post_requests()),
        ]
        await self.cluster.pause(BEFORE_REMOVAL_TIME)
        removal = await self.remove_domain()
        await self.cluster.pause(AFTER_REMOVAL_TIME)
        self.is_ending = True
        await DeferredList(workload, fireOnOneErrback=True)
        await DeferredList(self.in_flight, fireOnOneErrback=True)
        self.print_progress('all answers are in')
        self.client.close()
        return build_report(
            self.outcomes,
            RequestCounts(self.answered, self.failed, self.crossed),
            [worker.record for worker in self.cluster.workers],
            removal,
            self.cluster.count_task_messages(),
        )

    async def await_links(self) -> None:
        """Wait until each entry can place work at each side.

        Print the number of linked sides and go on if the timeout expires.
        """
        deadline = time.monotonic() + LINK_TIMEOUT
        side_count = len(self.cluster.sides)
        while time.monotonic() < deadline:
            counts = [
                len(await self.fetch_linked_sides(address))
                for address in self.cluster.operator_addresses
            ]
            if min(counts) == side_count:
                # The sides learn of the configuration from a later heartbeat.
                await self.cluster.pause(CONFIGURATION_TIME)
                self.print_progress(
                    f'{len(counts)} entries work with {side_count} sides'
                )
                return
            await self.cluster.pause(_POLL_INTERVAL)
        self.print_progress(
            f'only {min(counts)} of {side_count} sides are linked'
        )

    async def fetch_linked_sides(self, address: str) -> list[str]:
        """Return the sides at which an entry can place work.

        :param address: the operators' address of the entry.
        """
        health = await self.client.ask('GET', f'http://{address}/healthz')
        if health.status != _OK:
            return []
        answer = await self.client.ask('GET', f'http://{address}/v1/status')
        sides: list[str] = answer.document()['jobs']['sides']
        return sides

    async def remove_domain(self) -> Removal:
        """Take a failure domain out of service and, after a time, back in."""
        name = self.cluster.deployment.removed_domain
        await self.change_domain(name, in_service=False)
        removed_at = time.monotonic()
        self.print_progress(f'failure domain {name} is out of service')
        await self.cluster.pause(REMOVAL_TIME)
        restored_at = time.monotonic()
        await self.change_domain(name, in_service=True)
        self.print_progress(f'failure domain {name} is back in service')
        return Removal(name, removed_at, restored_at)

    async def change_domain(self, name: str, *, in_service: bool) -> None:
        """Publish whether a failure domain is in service.

        :param name: the name of the failure domain.
        :param in_service: whether work may start there.
        """
        address = self.cluster.operator_addresses[0]
        change = {
            'kind': 'failure_domain',
            'name': name,
            'value': {'in_service': in_service},
        }
        url = f'http://{address}/v1/configuration/changes'
        answer = await self.client.ask('POST', url, change)
        if answer.status != _OK:
            self.print_progress(
                f'change was not accepted: {answer.body.decode()}'
            )

    async def post_jobs(self) -> None:
        """Submit jobs at a steady rate until the run ends."""
        while not self.is_ending:
            self.start_concurrently(self.post_job())
            await self.cluster.pause(JOB_INTERVAL)

    async def post_requests(self) -> None:
        """Send requests at a steady rate until the run ends."""
        while not self.is_ending:
            self.request_count += 1
            self.start_concurrently(self.post_request(self.request_count))
            await self.cluster.pause(REQUEST_INTERVAL)

    def start_concurrently(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a coroutine without waiting for it to end.

        :param work: the coroutine.
        """
        self.in_flight.append(ensureDeferred(work))

    def choose_address(self, addresses: list[str]) -> str:
        """Return a random address, as a load balancer would.

        :param addresses: the addresses of the entries.
        """
        return self.random.choice(addresses)

    def plan_task(self, number: int) -> TaskPlan:
        """Return a task whose declared memory and run time are inaccurate.

        :param number: the position of the task in the job, from 0.
        """
        shortest, longest = RUN_TIME_RANGE
        seconds = shortest * (longest / shortest) ** self.random.random()
        error_factor = MAX_ERROR_FACTOR ** self.random.uniform(-1, 1)
        behaviour = {
            'seconds': seconds,
            'cores': 1,
            'memory': TASK_MEMORY_MB,
            'answer': f'litres-{number}',
        }
        return TaskPlan(
            seconds,
            {
                'kind': self.cluster.deployment.task_kind,
                'cores': 1,
                'memory': TASK_MEMORY_MB * error_factor,
                'run_time': seconds * error_factor,
                'payload': json.dumps(behaviour),
            },
        )

    async def post_job(self) -> None:
        """Submit a job and record its outcome."""
        plans = [
            self.plan_task(number)
            for number in range(self.random.randint(*TASK_COUNT_RANGE))
        ]
        job = {
            'team': self.random.choice(self.cluster.deployment.teams),
            'tasks': [plan.document for plan in plans],
        }
        address = self.choose_address(self.cluster.caller_addresses)
        started_at = time.monotonic()
        answer = await self.client.ask('POST', f'http://{address}/v1/jobs', job)
        response_time = time.monotonic() - started_at
        ideal_time = max(plan.seconds for plan in plans)
        state = job_state(answer.status, answer.document(), len(plans))
        if state != 'complete':
            self.print_progress(
                f'job {state}: {answer.status}'
                f' {answer.body[:MAX_SHOWN_BYTES]!r}'
            )
        self.outcomes.append(
            JobOutcome(state, len(plans), response_time / ideal_time)
        )

    async def post_request(self, number: int) -> None:
        """Send a request to a minion and count its result.

        :param number: the number of the request, which its answer must contain.
        """
        deployment = self.cluster.deployment
        address = self.choose_address(self.cluster.caller_addresses)
        url = f'http://{address}/v1/services/{deployment.service}'
        mark = f'mark-{number}-'
        body = {'seconds': REQUEST_TIME, 'answer': mark}
        answer = await self.client.ask(
            'POST', f'{url}/{deployment.request_path}', body
        )
        if answer.status != _OK:
            self.failed += 1
            reason = answer.body.decode(errors='replace')
            self.print_progress(
                f'request {number} failed: {answer.status} {reason}'
            )
        elif mark in answer.body.decode():
            self.answered += 1
        else:
            self.crossed += 1


def job_state(status: int, document: Any, task_count: int) -> str:
    """Return whether a job's answer is `complete`, `failed` or `partial`.

    :param status: the HTTP status code.
    :param document: the decoded answer.
    :param task_count: the number of tasks of the job.
    """
    if status != _OK or document.get('state') != 'complete':
        return 'partial' if document.get('answers') else 'failed'
    expected = [f'litres-{number}' for number in range(task_count)]
    return 'complete' if document['answers'] == expected else 'partial'
