"""Submits jobs to the entries at given times, whatever comes back."""

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

#: Connections to each entry that are kept open.
CONNECTIONS = 400

#: Time for the answer to a job, in seconds.
ANSWER_TIMEOUT = 60

#: Status of an answer that never came.
NO_ANSWER = 0


class Answered(NamedTuple):
    """What became of a job."""

    job: Job
    #: When it was submitted, from the beginning of the run.
    submitted: float
    #: Time to the answer, in seconds.
    response: float
    #: Of HTTP, 0 if there was no answer.
    status: int
    reason: str
    #: Empty if the entry gave none.
    ticket: str


class Reply(NamedTuple):
    """The answer of an entry."""

    status: int
    reason: str
    ticket: str


class Action(NamedTuple):
    """Something that is done in the middle of a run."""

    #: Time from the beginning, in seconds.
    at: float
    call: Callable[[], object]


class Load:
    """An open-loop generator.

    :param reactor: Twisted's reactor.
    :param addresses: of the entries, used in turn.
    :param latency: one way to the entries, in seconds.
    """

    def __init__(
        self, reactor: Any, addresses: Sequence[str], latency: float
    ) -> None:
        """Prepare without connections."""
        self.reactor = reactor
        self.addresses = list(addresses)
        self.latency = latency
        self.pool: Any = HTTPConnectionPool(reactor)
        self.pool.maxPersistentPerHost = CONNECTIONS
        self.pool.retryAutomatically = False
        # Twisted's client has no types.
        make_agent: Any = Agent
        self.agent: Any = make_agent(reactor, pool=self.pool)
        self.answers: list[Answered] = []
        #: Beginning of the run, on the reactor's and on the monotonic clock.
        self.began: float = 0
        self.began_monotonic: float = 0

    async def run(
        self, jobs: Sequence[Job], actions: Sequence[Action] = ()
    ) -> list[Answered]:
        """Submit jobs and wait for all answers.

        :param jobs: in the order of their times.
        :param actions: done by the way.
        """
        bodies = [write_body(job) for job in jobs]
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
        """Submit one job at its time.

        :param number: chooses the entry.
        :param job: the job.
        :param body: its JSON.
        """
        due = self.began + job.at
        wait = due + self.latency - self.reactor.seconds()
        await deferLater(self.reactor, max(wait, 0), lambda: None)
        address = self.addresses[number % len(self.addresses)]
        submitted = self.reactor.seconds()
        reply = await self.post(address, body)
        response = self.reactor.seconds() - submitted + 2 * self.latency
        self.answers.append(
            Answered(job, submitted - self.began, response, *reply)
        )

    async def post(self, address: str, body: bytes) -> Reply:
        """Return the answer to a job.

        :param address: of the entry.
        :param body: of the job.
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
        """Close the connections."""
        await self.pool.closeCachedConnections()


def write_body(job: Job) -> bytes:
    """Return the JSON of a job.

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
