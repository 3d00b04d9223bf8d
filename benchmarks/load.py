"""Open-loop load generator: submits jobs to the entries at fixed times."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import treq
from twisted.internet.defer import DeferredList, ensureDeferred
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from benchmarks.workload import Job

#: Maximum number of persistent connections to each entry.
MAX_CONNECTIONS = 400

#: Time limit for the answer to a job, in seconds.
ANSWER_TIMEOUT = 60

#: Status recorded for a job without an answer.
NO_ANSWER = 0


class JobAnswer(NamedTuple):
    """A submitted job with its answer."""

    job: Job
    #: Time of the submission, in seconds from the start of the run.
    submitted: float
    #: Response time, in seconds.
    response: float
    #: HTTP status, or `NO_ANSWER`.
    status: int
    reason: str
    #: Ticket of the job, or an empty string if the entry issued none.
    ticket: str


class Reply(NamedTuple):
    """Status, reason and ticket in the answer of an entry."""

    status: int
    reason: str
    ticket: str


class Action(NamedTuple):
    """A call, such as a fault injection, made during a run."""

    #: Time of the call, in seconds from the start of the run.
    at: float
    call: Callable[[], object]


class LoadGenerator:
    """Submits jobs at their times, without waiting for earlier answers.

    :param reactor: Twisted's reactor.
    :param addresses: addresses of the entries, used in turn.
    :param latency: simulated one-way latency to the entries, in seconds.
    """

    def __init__(
        self, reactor: Any, addresses: Sequence[str], latency: float
    ) -> None:
        """Create an empty connection pool."""
        self.reactor = reactor
        self.addresses = list(addresses)
        self.latency = latency
        self.pool: Any = HTTPConnectionPool(reactor)
        self.pool.maxPersistentPerHost = MAX_CONNECTIONS
        self.pool.retryAutomatically = False
        # Twisted's client has no types.
        make_agent: Any = Agent
        self.agent: Any = make_agent(reactor, pool=self.pool)
        self.answers: list[JobAnswer] = []
        #: Start of the run on the reactor's clock and on the monotonic clock.
        self.began: float = 0
        self.began_monotonic: float = 0

    async def run(
        self, jobs: Sequence[Job], actions: Sequence[Action] = ()
    ) -> list[JobAnswer]:
        """Submit jobs at their times and return all answers.

        :param jobs: jobs ordered by submission time.
        :param actions: calls made in a thread during the run.
        """
        bodies = [encode_job(job) for job in jobs]
        self.began = self.reactor.seconds()
        self.began_monotonic = time.monotonic()
        for action in actions:
            self.reactor.callLater(
                action.at, self.reactor.callInThread, action.call
            )
        pending = [
            ensureDeferred(self.submit(number, job, body))
            for number, (job, body) in enumerate(zip(jobs, bodies, strict=True))
        ]
        await DeferredList(pending)
        return self.answers

    async def submit(self, number: int, job: Job, body: bytes) -> None:
        """Submit one job at its time and record the answer.

        :param number: number of the job, which selects the entry.
        :param job: the job.
        :param body: JSON document of the job.
        """
        planned_at = self.began + job.submit_at
        wait = planned_at + self.latency - self.reactor.seconds()
        await deferLater(self.reactor, max(wait, 0), lambda: None)
        address = self.addresses[number % len(self.addresses)]
        submitted = self.reactor.seconds()
        reply = await self.post(address, body)
        response = self.reactor.seconds() - submitted + 2 * self.latency
        self.answers.append(
            JobAnswer(job, submitted - self.began, response, *reply)
        )

    async def post(self, address: str, body: bytes) -> Reply:
        """Post a job and return the answer, or `NO_ANSWER` with the error.

        :param address: address of the entry.
        :param body: JSON document of the job.
        """
        try:
            response = await treq.post(
                f'http://{address}/v1/jobs',
                data=body,
                agent=self.agent,
                timeout=ANSWER_TIMEOUT,
            )
            content = await treq.content(response)
        except Exception as error:
            return Reply(NO_ANSWER, type(error).__name__, '')
        ticket = response.headers.getRawHeaders('X-Ticket', [''])[0]
        if response.code == 200:
            return Reply(response.code, '', ticket)
        reason = content.decode(errors='replace')[:200]
        return Reply(response.code, reason, ticket)

    async def close(self) -> None:
        """Close the persistent connections."""
        await self.pool.closeCachedConnections()


def encode_job(job: Job) -> bytes:
    """Return the JSON document that submits a job.

    :param job: the job.
    """
    tasks = [
        {
            'kind': task.kind,
            'cores': max(task.declared_cores, 0.01),
            'memory': task.declared_memory,
            'run_time': task.declared_run_time,
            'payload': msgspec.json.encode(
                {
                    'seconds': task.seconds,
                    'cores': task.cores,
                    'memory': task.memory,
                    'answer': 'done',
                }
            ).decode(),
        }
        for task in job.tasks
    ]
    return msgspec.json.encode({'team': job.team, 'tasks': tasks})
