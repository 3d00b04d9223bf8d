"""Failures of entries while jobs run."""

from __future__ import annotations

import time

import pytest

from tests.processes.callers import (
    Callers,
    check_answers,
    make_job,
    put,
)
from tests.processes.deployment import SHORT_LEASES, wait_until
from tests.processes.http import get_ticket
from tests.test_processes.conftest import Deploy

pytestmark = pytest.mark.processes

#: Time after which orphans must have been stopped, in seconds.
ORPHANS_GONE = 10


class TestEntryKilled:
    def test_jobs_end_and_never_start_again(self, deploy: Deploy) -> None:
        deployment = deploy(settings=SHORT_LEASES)
        killed, other = deployment.entries
        callers = Callers(deployment)
        tickets = callers.submit(killed.caller, 10, tasks=5, seconds=5)
        wait_until(lambda: deployment.count_running() > 0, 'tasks run')
        killed.running.kill()
        callers.submit(other.caller, 10)
        answers = callers.answers()
        check_answers(deployment, answers)
        assert not any(one.is_complete for one in answers[:10])
        assert all(one.is_complete for one in answers[10:])
        wait_until(
            lambda: deployment.count_running() == 0,
            'orphans were stopped',
            ORPHANS_GONE,
        )
        started = deployment.count_starts()
        for ticket in tickets:
            body = make_job(5, 5, name=ticket)
            reply = put(other.caller, ticket, body, wait=1).reply
            assert reply.status in {410, 503}
            assert reply.headers['x-jackdawridge-outcome'] == 'unknown'
        assert deployment.count_starts() == started
        wait_until(
            lambda: not any(one.tasks() for one in deployment.workers),
            'workers have forgotten what no entry will ask for',
        )

    def test_successor_starts_nothing_of_it(self, deploy: Deploy) -> None:
        deployment = deploy(settings=SHORT_LEASES)
        replaced, other = deployment.entries
        callers = Callers(deployment)
        tickets = callers.submit(replaced.caller, 4, tasks=5, seconds=1)
        wait_until(lambda: deployment.count_running() > 0, 'tasks run')
        replaced.running.kill()
        replaced.start()
        deployment.wait_linked()
        started = deployment.count_starts()
        for entry in deployment.entries:
            for ticket in tickets:
                body = make_job(5, 1, name=ticket)
                reply = put(entry.caller, ticket, body, wait=1).reply
                assert reply.status in {410, 503}
        assert deployment.count_starts() == started
        callers.submit(replaced.caller, 5)
        answers = callers.answers()
        check_answers(deployment, answers)
        assert all(one.is_complete for one in answers[4:])


class TestEntryPaused:
    @pytest.mark.parametrize('pause', [0.3, 2.5])
    def test_answers_are_whole_or_failed(
        self, deploy: Deploy, pause: float
    ) -> None:
        """Pause an entry for less, and for more, than its leases last."""
        leases = SHORT_LEASES if pause > 1 else {}
        deployment = deploy(settings={**leases, 'cores': 8})
        paused, other = deployment.entries
        callers = Callers(deployment)
        callers.submit(paused.caller, 20, tasks=5, seconds=0.4)
        wait_until(lambda: deployment.count_running() > 0, 'tasks run')
        paused.running.pause()
        callers.submit(other.caller, 10)
        time.sleep(pause)
        paused.running.resume()
        answers = callers.answers()
        check_answers(deployment, answers)
        assert all(one.is_complete for one in answers[20:])
        if pause < 1:
            assert all(one.is_complete for one in answers)
        ticket = get_ticket(paused.caller)
        body = make_job(5, name=ticket)
        assert put(paused.caller, ticket, body).is_complete

    def test_orphans_are_stopped_meanwhile(self, deploy: Deploy) -> None:
        deployment = deploy(settings=SHORT_LEASES)
        paused = deployment.entries[0]
        callers = Callers(deployment)
        callers.submit(paused.caller, 2, tasks=4, seconds=30)
        wait_until(lambda: deployment.count_running() == 8, 'all tasks run')
        paused.running.pause()
        wait_until(
            lambda: deployment.count_running() == 0,
            'orphans were stopped',
            ORPHANS_GONE,
        )
        paused.running.resume()
        answers = callers.answers()
        check_answers(deployment, answers)
        assert [one.reply.status for one in answers] == [502, 502]
