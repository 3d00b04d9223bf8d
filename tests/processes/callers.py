"""Callers that submit jobs and check what they are answered."""

from __future__ import annotations

import http.client
import json
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, NamedTuple

from tests.processes.http import Reply, get_ticket, request

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.processes.deployment import Deployment

OUTCOME = 'x-jackdawridge-outcome'
#: Most callers at a time.
CALLERS = 64
NO_ANSWER = Reply(0, '', {})


class Submitted(NamedTuple):
    """A job and what its caller was answered; status 0 for no answer."""

    ticket: str
    body: dict[str, Any]
    reply: Reply

    @property
    def is_complete(self) -> bool:
        """Whether the job was answered as a whole."""
        return self.reply.status == 200

    @property
    def outcome(self) -> str:
        """What the caller was told about a failure."""
        return self.reply.headers.get(OUTCOME, '')


def make_job(
    tasks: int,
    seconds: float = 0.05,
    *,
    name: str = '',
    cores: float = 1,
    team: str = 'Tembisa Coaches',
) -> dict[str, Any]:
    """Return the body of a job whose answers tell the job and the task.

    Tasks of one size are one kind, so that what entries learn of their size
    holds for no others.
    """
    return {
        'team': team,
        'tasks': [
            {
                'kind': f'tank reconciliation on {cores:g}',
                'cores': cores,
                'memory': 10,
                'run_time': seconds,
                'payload': json.dumps(
                    {'seconds': seconds, 'answer': f'{name}/{number}'}
                ),
            }
            for number in range(tasks)
        ],
    }


def put(address: str, ticket: str, body: Any, wait: float = 30) -> Submitted:
    """Submit or join a job and wait for its answer.

    A connection that is cut gives an answer of status 0.
    """
    path = f'/v1/jobs/{ticket}?wait={wait}'
    try:
        reply = request(address, 'PUT', path, body, timeout=wait + 10)
    except (OSError, http.client.HTTPException):
        reply = NO_ANSWER
    return Submitted(ticket, body, reply)


def cancel(address: str, ticket: str) -> Reply:
    """Cancel a job."""
    try:
        return request(address, 'DELETE', f'/v1/jobs/{ticket}')
    except (OSError, http.client.HTTPException):
        return NO_ANSWER


class Callers:
    """Many callers at a time, in threads.

    :param deployment: that they call.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Prepare the threads."""
        self.deployment = deployment
        self.pool = ThreadPoolExecutor(CALLERS)
        self.open: list[Future[Submitted]] = []

    def submit(
        self,
        address: str,
        count: int,
        tasks: int = 5,
        seconds: float = 0.2,
        cores: float = 1,
    ) -> list[str]:
        """Submit jobs at an address, each by a caller; return the tickets."""
        tickets = [get_ticket(address) for _ in range(count)]
        for ticket in tickets:
            body = make_job(tasks, seconds, name=ticket, cores=cores)
            self.open.append(self.pool.submit(put, address, ticket, body))
        return tickets

    def join(self, address: str, ticket: str, body: Any) -> None:
        """Submit under a ticket, which may be in use."""
        self.open.append(self.pool.submit(put, address, ticket, body))

    def answers(self) -> list[Submitted]:
        """Return what all callers were answered, and end the threads."""
        submitted = [future.result() for future in self.open]
        self.pool.shutdown()
        return submitted


def check_answers(
    deployment: Deployment, submitted: Sequence[Submitted]
) -> None:
    """Check that answers are whole, their callers' own, or failed truly.

    :param deployment: has no double start either.
    :param submitted: with the answers.
    """
    deployment.check()
    for one in submitted:
        if one.is_complete:
            check_whole(one)
        elif one.outcome == 'not-run':
            assert not deployment.started_tasks(one.ticket), one.reply
        else:
            assert one.reply.status != 202, f'no answer in time: {one}'
            assert 'answers' not in one.reply.body, one.reply


def check_whole(one: Submitted) -> None:
    """Check that an answer is complete and that of its own job."""
    assert one.reply.body['state'] == 'complete'
    assert one.reply.body['ticket'] == one.ticket
    expected = [
        json.loads(task['payload'])['answer'] for task in one.body['tasks']
    ]
    assert one.reply.body['answers'] == expected
