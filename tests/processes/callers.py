"""Callers that submit jobs, and checks of the answers they receive."""

from __future__ import annotations

import http.client
import json
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, NamedTuple

from tests.processes.http import Reply, get_ticket, request

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.processes.deployment import Deployment

OUTCOME_HEADER = 'x-jackdawridge-outcome'
#: Highest number of concurrent callers.
MAX_CALLERS = 64
NO_ANSWER = Reply(0, '', {})


class SubmittedJob(NamedTuple):
    """SubmittedJob job and its answer; status 0 stands for no answer."""

    ticket: str
    body: dict[str, Any]
    reply: Reply

    @property
    def is_complete(self) -> bool:
        """Whether the job was answered completely."""
        return self.reply.status == 200

    @property
    def outcome(self) -> str:
        """Value of the outcome header of a failure, or an empty string."""
        return self.reply.headers.get(OUTCOME_HEADER, '')


def make_job(
    tasks: int,
    seconds: float = 0.05,
    *,
    name: str = '',
    cores: float = 1,
    team: str = 'Tembisa Coaches',
) -> dict[str, Any]:
    """Return the body of a job whose answers identify the job and the task.

    Tasks with the same number of cores share a kind, so that the size that
    entries learn for a kind applies to no other tasks.
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


def submit_and_wait(
    address: str, ticket: str, body: Any, wait: float = 30
) -> SubmittedJob:
    """Submit or join a job and wait for its answer.

    If the connection is cut or the request times out, the status is 0.
    """
    path = f'/v1/jobs/{ticket}?wait={wait}'
    try:
        reply = request(address, 'PUT', path, body, timeout=wait + 10)
    except (OSError, http.client.HTTPException):
        reply = NO_ANSWER
    return SubmittedJob(ticket, body, reply)


def cancel(address: str, ticket: str) -> Reply:
    """Cancel a job; the status is 0 if there is no answer."""
    try:
        return request(address, 'DELETE', f'/v1/jobs/{ticket}')
    except (OSError, http.client.HTTPException):
        return NO_ANSWER


class Callers:
    """Concurrent callers, each in a thread.

    :param deployment: deployment that the callers submit jobs to.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Create the thread pool."""
        self.deployment = deployment
        self.pool = ThreadPoolExecutor(MAX_CALLERS)
        self.open: list[Future[SubmittedJob]] = []

    def submit(
        self,
        address: str,
        count: int,
        tasks: int = 5,
        seconds: float = 0.2,
        cores: float = 1,
    ) -> list[str]:
        """Submit jobs to an entry, one per caller, and return their tickets."""
        tickets = [get_ticket(address) for _ in range(count)]
        for ticket in tickets:
            body = make_job(tasks, seconds, name=ticket, cores=cores)
            self.open.append(
                self.pool.submit(submit_and_wait, address, ticket, body)
            )
        return tickets

    def join(self, address: str, ticket: str, body: Any) -> None:
        """Submit a job under a ticket, which may already be in use."""
        self.open.append(
            self.pool.submit(submit_and_wait, address, ticket, body)
        )

    def wait_answers(self) -> list[SubmittedJob]:
        """Wait for all callers, end the threads and return the answers."""
        submitted = [future.result() for future in self.open]
        self.pool.shutdown()
        return submitted


def check_answers(
    deployment: Deployment, submitted: Sequence[SubmittedJob]
) -> None:
    """Check that each answer is complete and correct, or a true failure.

    A job that is reported as not run must not have started a task, and no
    task may have started twice.

    :param deployment: deployment whose workers recorded the starts.
    :param submitted: jobs with their answers.
    """
    deployment.check()
    for job in submitted:
        if job.is_complete:
            check_complete(job)
        elif job.outcome == 'not-run':
            assert not deployment.started_tasks(job.ticket), job.reply
        else:
            assert job.reply.status != 202, f'no answer in time: {job}'
            assert 'answers' not in job.reply.body, job.reply


def check_complete(job: SubmittedJob) -> None:
    """Check that an answer is complete and belongs to its job."""
    assert job.reply.body['state'] == 'complete'
    assert job.reply.body['ticket'] == job.ticket
    expected = [
        json.loads(task['payload'])['answer'] for task in job.body['tasks']
    ]
    assert job.reply.body['answers'] == expected
