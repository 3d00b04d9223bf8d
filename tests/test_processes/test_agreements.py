"""Tests of settling an agreement version that has open work."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import pytest

from tests.processes.callers import (
    Callers,
    SubmittedJob,
    check_answers,
    make_job,
    submit_and_wait,
)
from tests.processes.deployment import Deployment, wait_until
from tests.processes.http import get_ticket
from tests.processes.operators import CHANGES_PATH

if TYPE_CHECKING:
    from tests.processes.nodes import Node
    from tests.test_processes.conftest import Deploy

pytestmark = pytest.mark.processes

SETTLEMENTS = '/v1/configuration/settlements'
AGREEMENT = 'fuel'
TASKS = 4
#: Time limit for all entries to refuse jobs under a settled version, in
#: seconds.
SETTLEMENT_TIMEOUT = 5


def publish(entry: Node, north: float) -> None:
    """Publish the next version of the agreement.

    :param entry: entry that receives the change.
    :param north: share of the team north; south gets the rest.
    """
    body = {
        'kind': 'agreement',
        'name': AGREEMENT,
        'value': {'shares': {'north': north, 'south': 1 - north}},
        'wait': 10,
    }
    reply = entry.ask('POST', CHANGES_PATH, body)
    assert reply.status == 200, reply


def make_agreement_job(ticket: str, version: int, seconds: float = 0.1) -> Any:
    """Return the body of a job under a version of the agreement."""
    body = make_job(TASKS, seconds, name=ticket)
    return {**body, 'agreement': AGREEMENT, 'agreement_version': version}


def submit_at_all(callers: Callers, version: int, seconds: float) -> None:
    """Submit four jobs under a version to each entry."""
    for entry in callers.deployment.entries * 4:
        ticket = get_ticket(entry.caller_address)
        body = make_agreement_job(ticket, version, seconds)
        callers.join(entry.caller_address, ticket, body)


def submit(entry: Node, version: int) -> SubmittedJob:
    """Submit one job under a version and wait for its answer."""
    ticket = get_ticket(entry.caller_address)
    return submit_and_wait(
        entry.caller_address, ticket, make_agreement_job(ticket, version)
    )


def fetch_settlement(entry: Node) -> Any:
    """Return the state of version 1 and its open work at an entry."""
    query = f'{SETTLEMENTS}?agreement={AGREEMENT}&version=1'
    return entry.ask('GET', query).body


def is_settled(deployment: Deployment) -> bool:
    """Return whether each entry refuses jobs under version 1 as not run."""
    answers = [submit(entry, 1) for entry in deployment.entries]
    check_answers(deployment, answers)
    verdicts = {(job.reply.status, job.outcome) for job in answers}
    return verdicts == {(400, 'not-run')}


class TestRetirement:
    def test_each_job_runs_once_under_its_version(self, deploy: Deploy) -> None:
        """Settle while the log service loses answers and a side is replaced."""
        deployment = deploy()
        entry, other = deployment.entries
        deployment.log.set_faults(lose_answers=0.2)
        publish(entry, 0.5)
        callers = Callers(deployment)
        submit_at_all(callers, 1, seconds=4)
        wait_until(lambda: deployment.count_starts() == 8 * TASKS, 'all run')
        time.sleep(0.5)
        deployment.sides[0].running.kill()
        deployment.sides[0].start()
        publish(other, 0.4)
        submit_at_all(callers, 2, seconds=0.5)
        body = {'agreement': AGREEMENT, 'version': 1, 'wait': 10}
        assert other.ask('POST', SETTLEMENTS, body).status == 200
        assert fetch_settlement(entry)['open_work'] == 8
        wait_until(
            lambda: is_settled(deployment), 'all refuse', SETTLEMENT_TIMEOUT
        )
        answers = callers.wait_answers()
        assert len(answers) == 16
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)
        wait_until(
            lambda: fetch_settlement(other)['retired'], 'version 1 is retired'
        )
        assert not fetch_settlement(entry)['open_work']
        wait_until(
            lambda: is_settled(deployment), 'all refuse', SETTLEMENT_TIMEOUT
        )
        assert all(submit(node, 2).is_complete for node in (entry, other))
        assert deployment.count_starts() == 18 * TASKS
        deployment.check()
