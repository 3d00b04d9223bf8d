"""Tests of one ticket at several entries, and of mass cancellation."""

from __future__ import annotations

import time

import pytest

from tests.processes.callers import (
    Callers,
    cancel,
    check_answers,
    make_job,
    submit_and_wait,
)
from tests.processes.deployment import Deployment, wait_until
from tests.processes.http import get_ticket
from tests.test_processes.conftest import Deploy

pytestmark = pytest.mark.processes


class TestConcurrentTicket:
    def test_all_callers_get_the_same_answer(self, shared: Deployment) -> None:
        deployment = shared
        callers = Callers(deployment)
        for number in range(8):
            issuer = deployment.entries[number % 2]
            ticket = get_ticket(issuer.caller_address)
            body = make_job(5, 0.3, name=ticket)
            for _ in range(2):
                for entry in deployment.entries:
                    callers.join(entry.caller_address, ticket, body)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)

    def test_issuer_killed(self, deploy: Deploy) -> None:
        deployment = deploy()
        issuer, other = deployment.entries
        callers = Callers(deployment)
        tickets = [get_ticket(issuer.caller_address) for _ in range(6)]
        for ticket in tickets:
            body = make_job(5, 1, name=ticket)
            callers.join(issuer.caller_address, ticket, body)
            callers.join(other.caller_address, ticket, body)
        time.sleep(deployment.random.uniform(0, 0.3))
        issuer.running.kill()
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert not any(job.is_complete for job in answers)
        for ticket in tickets:
            body = make_job(5, 1, name=ticket)
            again = submit_and_wait(other.caller_address, ticket, body, wait=1)
            assert again.reply.status in {410, 503}
            assert again.outcome == 'unknown'
        check_answers(deployment, answers)

    def test_issuer_paused(self, shared: Deployment) -> None:
        deployment = shared
        issuer, other = deployment.entries
        tickets = [get_ticket(issuer.caller_address) for _ in range(4)]
        issuer.running.pause()
        callers = Callers(deployment)
        for ticket in tickets:
            callers.join(
                issuer.caller_address, ticket, make_job(5, name=ticket)
            )
            callers.join(other.caller_address, ticket, make_job(5, name=ticket))
        time.sleep(3)
        issuer.running.resume()
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        again = [
            submit_and_wait(
                other.caller_address, ticket, make_job(5, name=ticket)
            )
            for ticket in tickets
        ]
        check_answers(deployment, again)
        assert all(job.is_complete for job in again)

    def test_two_jobs_under_one_ticket(self, shared: Deployment) -> None:
        deployment = shared
        callers = Callers(deployment)
        ticket = get_ticket(deployment.entries[0].caller_address)
        for number, entry in enumerate(deployment.entries):
            body = make_job(5, 0.3, name=f'{ticket}/{number}')
            callers.join(entry.caller_address, ticket, body)
        answers = callers.wait_answers()
        deployment.check()
        statuses = sorted(job.reply.status for job in answers)
        assert statuses == [200, 409], [job.reply for job in answers]

    def test_link_between_entries_is_cut(self, shared: Deployment) -> None:
        deployment = shared
        issuer, other = deployment.entries
        callers = Callers(deployment)
        ticket = get_ticket(issuer.caller_address)
        body = make_job(5, 1, name=ticket)
        callers.join(other.caller_address, ticket, body)
        wait_until(lambda: deployment.count_starts() > 0, 'tasks run')
        for name, proxy in deployment.proxies.items():
            if name.startswith('entry') and name.count('entry') == 2:
                proxy.cut()
        first = callers.wait_answers()
        check_answers(deployment, first)
        again = submit_and_wait(issuer.caller_address, ticket, body)
        check_answers(deployment, [again])
        assert again.is_complete


class TestCancellation:
    def test_all_jobs_at_once(self, deploy: Deploy) -> None:
        deployment = deploy(settings={'cores': 8})
        callers = Callers(deployment)
        tickets = [
            (entry, ticket)
            for entry in deployment.entries
            for ticket in callers.submit(
                entry.caller_address, 25, tasks=5, seconds=5
            )
        ]
        wait_until(lambda: deployment.count_starts() >= 16, 'tasks run')
        for entry, ticket in tickets:
            cancel(entry.caller_address, ticket)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert not any(job.is_complete for job in answers)
        wait_until(lambda: deployment.count_running() == 0, 'all stopped', 10)
        started = deployment.count_starts()
        again = Callers(deployment)
        again.submit(deployment.entries[0].caller_address, 4)
        after = again.wait_answers()
        check_answers(deployment, after)
        assert all(job.is_complete for job in after)
        assert deployment.count_starts() == started + 20

    def test_at_random_times(self, shared: Deployment) -> None:
        deployment = shared
        callers = Callers(deployment)
        entry, other = deployment.entries
        tickets = callers.submit(entry.caller_address, 20, tasks=5, seconds=0.2)
        for ticket in tickets:
            time.sleep(deployment.random.uniform(0, 0.05))
            cancel(
                deployment.random.choice((entry, other)).caller_address, ticket
            )
        check_answers(deployment, callers.wait_answers())
        wait_until(lambda: deployment.count_running() == 0, 'all stopped', 10)
