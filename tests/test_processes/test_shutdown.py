"""Tests of processes that are terminated while jobs run."""

from __future__ import annotations

import time

import pytest

from tests.processes.callers import (
    Callers,
    check_answers,
    make_job,
    submit_and_wait,
)
from tests.processes.deployment import wait_until
from tests.processes.http import get_ticket
from tests.test_processes.conftest import Deploy

pytestmark = pytest.mark.processes

#: Time limit for a process without work to exit, in seconds.
EXIT_TIMEOUT = 15


class TestEntryTerminated:
    def test_admitted_jobs_complete(self, deploy: Deploy) -> None:
        deployment = deploy()
        leaving, other = deployment.entries
        callers = Callers(deployment)
        callers.submit(leaving.caller_address, 20, tasks=5, seconds=0.5)
        callers.submit(other.caller_address, 10)
        wait_until(lambda: deployment.count_open(leaving) == 20, 'all admitted')
        leaving.running.terminate()
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)
        assert leaving.running.wait(EXIT_TIMEOUT) == 0

    def test_new_jobs_are_refused_as_not_run(self, deploy: Deploy) -> None:
        deployment = deploy()
        leaving = deployment.entries[0]
        callers = Callers(deployment)
        callers.submit(leaving.caller_address, 1, tasks=2, seconds=2)
        tickets = [get_ticket(leaving.caller_address) for _ in range(5)]
        wait_until(lambda: deployment.count_open(leaving) == 1, 'admitted')
        leaving.running.terminate()
        time.sleep(0.3)
        for ticket in tickets:
            body = make_job(2, name=ticket)
            late = submit_and_wait(leaving.caller_address, ticket, body, wait=5)
            assert late.reply.status in {0, 503}
            assert not deployment.started_tasks(ticket)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert answers[0].is_complete


class TestSideTerminated:
    def test_running_tasks_are_finished(self, deploy: Deploy) -> None:
        deployment = deploy()
        leaving = deployment.sides[0]
        callers = Callers(deployment)
        for entry in deployment.entries:
            callers.submit(entry.caller_address, 10, tasks=5, seconds=0.5)
        wait_until(lambda: deployment.count_starts() > 0, 'tasks run')
        leaving.running.terminate()
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)
        assert leaving.running.wait(EXIT_TIMEOUT) == 0

    def test_no_start_after_its_exit(self, deploy: Deploy) -> None:
        deployment = deploy()
        leaving = deployment.sides[0]
        leaving.running.terminate()
        assert leaving.running.wait(EXIT_TIMEOUT) == 0
        callers = Callers(deployment)
        callers.submit(deployment.entries[0].caller_address, 10)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)
        assert not deployment.workers[0].record()['starts']

    def test_all_sides_one_after_another(self, deploy: Deploy) -> None:
        deployment = deploy()
        callers = Callers(deployment)
        for entry in deployment.entries:
            callers.submit(entry.caller_address, 20, tasks=5, seconds=0.4)
        for side in deployment.sides:
            side.running.terminate()
            assert side.running.wait(EXIT_TIMEOUT) == 0
            side.start()
            deployment.wait_linked()
        callers.submit(deployment.entries[0].caller_address, 5)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)
