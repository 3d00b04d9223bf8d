"""Tests of quotas and accelerators with load at several entries."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import pytest

from tests.processes.callers import Callers, check_answers, make_job
from tests.processes.deployment import Deployment
from tests.processes.http import get_ticket
from tests.processes.operators import CHANGES_PATH

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from jackdawridge.standins.messages import Record

pytestmark = pytest.mark.processes

#: Quota of the team, in cores.
QUOTA = 8
#: Number of accelerators of each worker.
ACCELERATORS = 2
TEAM = 'payroll'


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory, proxies: str
) -> Iterator[Deployment]:
    """Return a deployment that the tests share."""
    with Deployment(
        tmp_path_factory.mktemp('limits'),
        control=proxies,
        settings={'accelerators': ACCELERATORS},
        worker=('--accelerators', str(ACCELERATORS)),
    ) as deployment:
        yield deployment


def max_concurrency(records: Sequence[Record], tickets: set[str]) -> int:
    """Return the highest number of concurrent tasks of some jobs.

    :param records: starts and ends recorded by workers.
    :param tickets: tickets of the jobs.
    """
    starts = [(event, 1) for record in records for event in record['starts']]
    ends = [(event, -1) for record in records for event in record['ends']]
    changes = [
        (event['time'], change)
        for event, change in (*starts, *ends)
        if event['id'].split('|')[0] in tickets
    ]
    running = 0
    highest = 0
    for _, change in sorted(changes):
        running += change
        highest = max(highest, running)
    return highest


def submit_jobs(
    callers: Callers, entry: Any, jobs: int, **task: object
) -> set[str]:
    """Submit jobs of the team to an entry and return their tickets.

    :param callers: callers that submit the jobs.
    :param entry: entry that receives the jobs.
    :param jobs: number of jobs.
    :param task: additional fields of each task.
    """
    tickets = {get_ticket(entry.caller_address) for _ in range(jobs)}
    for ticket in tickets:
        body = make_job(5, 0.2, name=ticket, team=TEAM)
        for each in body['tasks']:
            each.update(task)
        callers.join(entry.caller_address, ticket, body)
    return tickets


class TestQuota:
    def test_quota_holds_while_load_moves_between_entries(
        self, deployment: Deployment
    ) -> None:
        first, second = deployment.entries
        body = {'kind': 'team', 'name': TEAM, 'value': {'quota': QUOTA}}
        assert first.ask('POST', CHANGES_PATH, body).status == 200
        time.sleep(1)
        callers = Callers(deployment)
        tickets = submit_jobs(callers, first, 10)
        time.sleep(1)
        tickets |= submit_jobs(callers, second, 16)
        time.sleep(1)
        tickets |= submit_jobs(callers, first, 6)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)
        highest = max_concurrency(deployment.records(), tickets)
        assert QUOTA / 2 <= highest <= QUOTA


class TestAccelerators:
    def test_no_worker_exceeds_its_accelerators(
        self, deployment: Deployment
    ) -> None:
        body = {'kind': 'team', 'name': TEAM, 'value': {'quota': None}}
        reply = deployment.entries[0].ask('POST', CHANGES_PATH, body)
        assert reply.status == 200
        callers = Callers(deployment)
        tickets = {
            ticket
            for entry in deployment.entries
            for ticket in submit_jobs(callers, entry, 8, accelerators=1)
        }
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)
        for record in deployment.records():
            assert 0 < max_concurrency([record], tickets) <= ACCELERATORS
