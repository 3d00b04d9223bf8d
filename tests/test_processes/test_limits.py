"""Quotas and accelerators while several entries are under load."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import pytest

from tests.processes.callers import Callers, check_answers, make_job
from tests.processes.deployment import Deployment
from tests.processes.http import get_ticket
from tests.processes.operators import CHANGES

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from jackdawridge.standins.messages import Record

pytestmark = pytest.mark.processes

#: Cores that the team may use at once.
QUOTA = 8
#: Accelerators of each worker.
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


def most_at_once(records: Sequence[Record], tickets: set[str]) -> int:
    """Return how many tasks of some jobs ran at once at most."""
    starts = [(event, 1) for record in records for event in record['starts']]
    ends = [(event, -1) for record in records for event in record['ends']]
    steps = [
        (event['time'], step)
        for event, step in (*starts, *ends)
        if event['id'].split('|')[0] in tickets
    ]
    running = 0
    most = 0
    for _, step in sorted(steps):
        running += step
        most = max(most, running)
    return most


def join(callers: Callers, entry: Any, jobs: int, **task: object) -> set[str]:
    """Submit jobs of the team at an entry; return their tickets."""
    tickets = {get_ticket(entry.caller) for _ in range(jobs)}
    for ticket in tickets:
        body = make_job(5, 0.2, name=ticket, team=TEAM)
        for each in body['tasks']:
            each.update(task)
        callers.join(entry.caller, ticket, body)
    return tickets


class TestQuota:
    def test_load_moves_from_one_entry_to_the_other(
        self, deployment: Deployment
    ) -> None:
        first, second = deployment.entries
        order = {'kind': 'team', 'name': TEAM, 'value': {'quota': QUOTA}}
        assert first.ask('POST', CHANGES, order).status == 200
        time.sleep(1)
        callers = Callers(deployment)
        tickets = join(callers, first, 10)
        time.sleep(1)
        tickets |= join(callers, second, 16)
        time.sleep(1)
        tickets |= join(callers, first, 6)
        answers = callers.answers()
        check_answers(deployment, answers)
        assert all(one.is_complete for one in answers)
        most = most_at_once(deployment.records(), tickets)
        assert QUOTA / 2 <= most <= QUOTA


class TestAccelerators:
    def test_no_worker_gets_more_than_it_has(
        self, deployment: Deployment
    ) -> None:
        order = {'kind': 'team', 'name': TEAM, 'value': {'quota': None}}
        reply = deployment.entries[0].ask('POST', CHANGES, order)
        assert reply.status == 200
        callers = Callers(deployment)
        tickets = {
            ticket
            for entry in deployment.entries
            for ticket in join(callers, entry, 8, accelerators=1)
        }
        answers = callers.answers()
        check_answers(deployment, answers)
        assert all(one.is_complete for one in answers)
        for record in deployment.records():
            assert 0 < most_at_once([record], tickets) <= ACCELERATORS
