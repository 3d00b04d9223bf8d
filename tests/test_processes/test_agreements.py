"""A version of an agreement that is settled while work is under it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import pytest

from tests.processes.callers import (
    Callers,
    SubmittedJob,
    check_answers,
    make_job,
    put,
)
from tests.processes.deployment import Deployment, wait_until
from tests.processes.http import get_ticket
from tests.processes.operators import CHANGES

if TYPE_CHECKING:
    from tests.processes.nodes import Node
    from tests.test_processes.conftest import Deploy

pytestmark = pytest.mark.processes

SETTLEMENTS = '/v1/configuration/settlements'
AGREEMENT = 'fuel'
TASKS = 4
#: Longest time until all entries refuse what is settled, in seconds.
IN_FORCE = 5


def publish(entry: Node, north: float) -> None:
    """Publish the next version of the agreement."""
    order = {
        'kind': 'agreement',
        'name': AGREEMENT,
        'value': {'shares': {'north': north, 'south': 1 - north}},
        'wait': 10,
    }
    reply = entry.ask('POST', CHANGES, order)
    assert reply.status == 200, reply


def make_event(ticket: str, version: int, seconds: float = 0.1) -> Any:
    """Return the body of a job under a version."""
    body = make_job(TASKS, seconds, name=ticket)
    return {**body, 'agreement': AGREEMENT, 'agreement_version': version}


def join_all(callers: Callers, version: int, seconds: float) -> None:
    """Submit jobs under a version, some at each entry."""
    for entry in callers.deployment.entries * 4:
        ticket = get_ticket(entry.caller)
        body = make_event(ticket, version, seconds)
        callers.join(entry.caller, ticket, body)


def submit(entry: Node, version: int) -> SubmittedJob:
    """Submit one job under a version."""
    ticket = get_ticket(entry.caller)
    return put(entry.caller, ticket, make_event(ticket, version))


def open_work(entry: Node) -> Any:
    """Return what an entry says of the first version."""
    query = f'{SETTLEMENTS}?agreement={AGREEMENT}&version=1'
    return entry.ask('GET', query).body


def are_refused(deployment: Deployment) -> bool:
    """Return whether each entry refuses the first version, truly."""
    answers = [submit(entry, 1) for entry in deployment.entries]
    check_answers(deployment, answers)
    verdicts = {(one.reply.status, one.outcome) for one in answers}
    return verdicts == {(400, 'not-run')}


class TestRetirement:
    def test_each_event_counts_once_under_its_version(
        self, deploy: Deploy
    ) -> None:
        """Also while the log loses answers and a side is replaced."""
        deployment = deploy()
        entry, other = deployment.entries
        deployment.log.set(lose_answers=0.2)
        publish(entry, 0.5)
        callers = Callers(deployment)
        join_all(callers, 1, seconds=4)
        wait_until(lambda: deployment.count_starts() == 8 * TASKS, 'all run')
        time.sleep(0.5)
        deployment.sides[0].running.kill()
        deployment.sides[0].start()
        publish(other, 0.4)
        join_all(callers, 2, seconds=0.5)
        order = {'agreement': AGREEMENT, 'version': 1, 'wait': 10}
        assert other.ask('POST', SETTLEMENTS, order).status == 200
        assert open_work(entry)['open_work'] == 8
        wait_until(lambda: are_refused(deployment), 'all refuse', IN_FORCE)
        answers = callers.answers()
        assert len(answers) == 16
        check_answers(deployment, answers)
        assert all(one.is_complete for one in answers)
        wait_until(lambda: open_work(other)['retired'], 'version 1 is retired')
        assert not open_work(entry)['open_work']
        wait_until(lambda: are_refused(deployment), 'all refuse', IN_FORCE)
        assert all(submit(one, 2).is_complete for one in (entry, other))
        assert deployment.count_starts() == 18 * TASKS
        deployment.check()
