"""Tests of entries that fail while jobs run."""

from __future__ import annotations

import time

import pytest

from tests.processes.callers import (
    Callers,
    check_answers,
    make_job,
    submit_and_wait,
)
from tests.processes.deployment import SHORT_LEASES, wait_until
from tests.processes.http import get_ticket
from tests.test_processes.conftest import Deploy

pytestmark = pytest.mark.processes

#: Time limit for orphans to be stopped, in seconds.
ORPHAN_TIMEOUT = 10


class TestEntryKilled:
    def test_jobs_end_and_never_start_again(self, deploy: Deploy) -> None:
        deployment = deploy(settings=SHORT_LEASES)
        killed, other = deployment.entries
        callers = Callers(deployment)
        tickets = callers.submit(killed.caller_address, 10, tasks=5, seconds=5)
        wait_until(lambda: deployment.count_running() > 0, 'tasks run')
        killed.running.kill()
        callers.submit(other.caller_address, 10)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert not any(job.is_complete for job in answers[:10])
        assert all(job.is_complete for job in answers[10:])
        wait_until(
            lambda: deployment.count_running() == 0,
            'orphans were stopped',
            ORPHAN_TIMEOUT,
        )
        started = deployment.count_starts()
        for ticket in tickets:
            body = make_job(5, 5, name=ticket)
            reply = submit_and_wait(
                other.caller_address, ticket, body, wait=1
            ).reply
            assert reply.status in {410, 503}
            assert reply.headers['x-jackdawridge-outcome'] == 'unknown'
        assert deployment.count_starts() == started
        wait_until(
            lambda: not any(worker.tasks() for worker in deployment.workers),
            'workers have forgotten what no entry will ask for',
        )

    def test_replacement_does_not_start_its_jobs(self, deploy: Deploy) -> None:
        deployment = deploy(settings=SHORT_LEASES)
        replaced, other = deployment.entries
        callers = Callers(deployment)
        tickets = callers.submit(replaced.caller_address, 4, tasks=5, seconds=1)
        wait_until(lambda: deployment.count_running() > 0, 'tasks run')
        replaced.running.kill()
        replaced.start()
        deployment.wait_linked()
        started = deployment.count_starts()
        for entry in deployment.entries:
            for ticket in tickets:
                body = make_job(5, 1, name=ticket)
                reply = submit_and_wait(
                    entry.caller_address, ticket, body, wait=1
                ).reply
                assert reply.status in {410, 503}
        assert deployment.count_starts() == started
        callers.submit(replaced.caller_address, 5)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers[4:])


class TestEntryPaused:
    @pytest.mark.parametrize('pause', [0.3, 2.5])
    def test_answers_are_complete_or_failed(
        self, deploy: Deploy, pause: float
    ) -> None:
        """Pause an entry for less and for longer than its leases last."""
        leases = SHORT_LEASES if pause > 1 else {}
        deployment = deploy(settings={**leases, 'cores': 8})
        paused, other = deployment.entries
        callers = Callers(deployment)
        callers.submit(paused.caller_address, 20, tasks=5, seconds=0.4)
        wait_until(lambda: deployment.count_running() > 0, 'tasks run')
        paused.running.pause()
        callers.submit(other.caller_address, 10)
        time.sleep(pause)
        paused.running.resume()
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers[20:])
        if pause < 1:
            assert all(job.is_complete for job in answers)
        ticket = get_ticket(paused.caller_address)
        body = make_job(5, name=ticket)
        assert submit_and_wait(paused.caller_address, ticket, body).is_complete

    def test_orphans_are_stopped_during_the_pause(self, deploy: Deploy) -> None:
        deployment = deploy(settings=SHORT_LEASES)
        paused = deployment.entries[0]
        callers = Callers(deployment)
        callers.submit(paused.caller_address, 2, tasks=4, seconds=30)
        wait_until(lambda: deployment.count_running() == 8, 'all tasks run')
        paused.running.pause()
        wait_until(
            lambda: deployment.count_running() == 0,
            'orphans were stopped',
            ORPHAN_TIMEOUT,
        )
        paused.running.resume()
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert [job.reply.status for job in answers] == [502, 502]
