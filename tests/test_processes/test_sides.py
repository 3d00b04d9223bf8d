"""Tests of failures of sides and their workers."""

from __future__ import annotations

import time

import pytest

from tests.processes.callers import Callers, check_answers
from tests.processes.deployment import SHORT_LEASES, Deployment, wait_until
from tests.test_processes.conftest import Deploy

pytestmark = pytest.mark.processes


class TestSideReplaced:
    def test_replacement_adopts_running_tasks(self, deploy: Deploy) -> None:
        deployment = deploy(settings={'task_lease': 6.0})
        callers = Callers(deployment)
        callers.submit(
            deployment.entries[0].caller_address, 4, tasks=5, seconds=3
        )
        wait_until(lambda: deployment.count_starts() == 20, 'all tasks run')
        time.sleep(0.5)
        side = deployment.sides[0]
        side.running.kill()
        side.start()
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)

    def test_outcomes_are_reported_by_the_replacement(
        self, deploy: Deploy
    ) -> None:
        deployment = deploy(settings={'task_lease': 10.0})
        callers = Callers(deployment)
        callers.submit(
            deployment.entries[0].caller_address, 4, tasks=5, seconds=1
        )
        wait_until(lambda: deployment.count_starts() == 20, 'all tasks run')
        time.sleep(0.3)
        side = deployment.sides[0]
        side.running.kill()
        wait_until(
            lambda: deployment.count_running() == 0, 'all tasks have ended'
        )
        side.start()
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)

    def test_killed_at_a_random_time(self, deploy: Deploy) -> None:
        deployment = deploy()
        callers = Callers(deployment)
        for entry in deployment.entries:
            callers.submit(entry.caller_address, 15, tasks=6, seconds=0.2)
        time.sleep(deployment.random.uniform(0.05, 0.6))
        side = deployment.sides[0]
        side.running.kill()
        time.sleep(deployment.random.uniform(0, 2))
        side.start()
        deployment.wait_linked()
        callers.submit(deployment.entries[0].caller_address, 5)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers[-5:])


class TestSidePaused:
    def test_answers_are_complete_or_failed(self, deploy: Deploy) -> None:
        deployment = deploy(settings=SHORT_LEASES)
        callers = Callers(deployment)
        callers.submit(deployment.entries[0].caller_address, 15, tasks=6)
        time.sleep(deployment.random.uniform(0.05, 0.4))
        side = deployment.sides[0]
        side.running.pause()
        time.sleep(2)
        side.running.resume()
        deployment.wait_linked()
        callers.submit(deployment.entries[0].caller_address, 5)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers[-5:])


class TestWorkerAnswerFaults:
    def test_lost_after_the_start(self, shared: Deployment) -> None:
        deployment = shared
        for worker in deployment.workers:
            worker.set_faults(lose_answers=1)
        callers = Callers(deployment)
        callers.submit(deployment.entries[0].caller_address, 10, seconds=1)
        wait_until(lambda: deployment.count_starts() > 0, 'tasks run')
        for worker in deployment.workers:
            worker.set_faults(lose_answers=0)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)

    def test_lost_at_random(self, shared: Deployment) -> None:
        deployment = shared
        for worker in deployment.workers:
            worker.set_faults(lose_answers=0.3)
        callers = Callers(deployment)
        for entry in deployment.entries:
            callers.submit(entry.caller_address, 15)
        check_answers(deployment, callers.wait_answers())

    def test_start_that_takes_effect_late(self, deploy: Deploy) -> None:
        """The worker starts the task after the call of the side timed out."""
        deployment = deploy(sides=1)
        deployment.workers[0].set_faults(delay_request=8)
        callers = Callers(deployment)
        entry = deployment.entries[0]
        tickets = callers.submit(entry.caller_address, 1, tasks=1, seconds=9)
        time.sleep(4)
        deployment.workers[0].set_faults(delay_request=0)
        answers = callers.wait_answers()
        assert [job.outcome for job in answers] == ['unknown']
        wait_until(
            lambda: deployment.started_tasks(tickets[0]) != set(),
            'tasks start late',
        )
        check_answers(deployment, answers)


class TestWorkerKilled:
    def test_its_jobs_fail_and_it_is_used_again(self, deploy: Deploy) -> None:
        deployment = deploy()
        callers = Callers(deployment)
        callers.submit(
            deployment.entries[0].caller_address, 4, tasks=5, seconds=1
        )
        wait_until(lambda: deployment.count_starts() == 20, 'all tasks run')
        deployment.workers[0].set_faults(kill=True)
        time.sleep(0.5)
        deployment.workers[0].set_faults(kill=False)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert not all(job.is_complete for job in answers)
        before = len(deployment.workers[0].record()['starts'])

        def is_used_again() -> bool:
            again = Callers(deployment)
            again.submit(deployment.entries[0].caller_address, 4, seconds=0.05)
            check_answers(deployment, again.wait_answers())
            after = len(deployment.workers[0].record()['starts'])
            return after > before

        wait_until(is_used_again, 'worker gets tasks again')
