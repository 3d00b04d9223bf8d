"""Tests of simultaneous failures at times drawn from the seed."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest

from tests.processes.callers import Callers, check_answers
from tests.processes.deployment import (
    DOMAINS,
    SHORT_LEASES,
    Deployment,
    wait_until,
)
from tests.processes.operators import (
    REMOVAL_TIMEOUT,
    Load,
    check_removal,
    count_starts_since,
    fetch_position,
    last_appended,
    set_domain,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

pytestmark = pytest.mark.processes

REMOVED = DOMAINS[0]


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
    proxies: str,
    request: pytest.FixtureRequest,
) -> Iterator[Deployment]:
    """Return a deployment that the tests share.

    The last test leaves it with killed entries.
    """
    with Deployment(
        tmp_path_factory.mktemp('together'),
        seed=request.config.getoption('--seed'),
        control=proxies,
        entries=3,
        sides=4,
        settings=SHORT_LEASES,
    ) as deployment:
        yield deployment


def check_work(deployment: Deployment, entries: int) -> None:
    """Check that jobs complete at the last entries of the deployment.

    :param deployment: deployment that executes the jobs.
    :param entries: number of entries to submit to.
    """
    callers = Callers(deployment)
    for entry in deployment.entries[-entries:]:
        callers.submit(entry.caller_address, 4)
    answers = callers.wait_answers()
    check_answers(deployment, answers)
    assert all(job.is_complete for job in answers)


class TestRemoval:
    def test_side_killed_and_log_down(self, deployment: Deployment) -> None:
        """A side that starts during the log outage learns of the hold too."""
        rng = deployment.random
        load = Load(deployment, deployment.entries, 0.5)
        time.sleep(1)
        entry = rng.choice(deployment.entries)
        side = rng.choice((deployment.sides[0], deployment.sides[1]))
        assert count_starts_since(deployment, REMOVED, 0)
        requested_at = time.monotonic()
        with ThreadPoolExecutor(1) as pool:
            pool.submit(set_domain, entry, REMOVED, in_service=False, wait=1)
            time.sleep(rng.uniform(0, 0.2))
            deployment.log.set_faults(outage=True)
            side.running.kill()
            time.sleep(rng.uniform(0, 1))
            side.start()
        time.sleep(REMOVAL_TIMEOUT + 1)
        assert not count_starts_since(
            deployment, REMOVED, requested_at + REMOVAL_TIMEOUT
        )
        assert count_starts_since(
            deployment, DOMAINS[2], requested_at + REMOVAL_TIMEOUT
        )
        deployment.log.set_faults(outage=False)
        wait_until(
            lambda: (
                {fetch_position(node) for node in deployment.entries} == {1}
            ),
            'the order is settled',
        )
        removal = last_appended(deployment)
        assert removal is not None
        deployment.wait_linked()
        load.finish()
        check_removal(deployment, REMOVED, removal)
        assert not count_starts_since(
            deployment, REMOVED, requested_at + REMOVAL_TIMEOUT
        )
        assert set_domain(entry, REMOVED, in_service=True).status == 200
        check_work(deployment, 3)


class TestEntryPaused:
    def test_worker_is_killed_during_the_pause(
        self, deployment: Deployment
    ) -> None:
        """The entry resumes with tasks whose leases and worker are gone."""
        rng = deployment.random
        paused = rng.choice(deployment.entries)
        worker = rng.choice(deployment.workers)
        callers = Callers(deployment)
        for entry in deployment.entries:
            callers.submit(entry.caller_address, 8, tasks=5, seconds=1)
        wait_until(lambda: deployment.count_running() > 0, 'tasks run')
        paused.running.pause()
        time.sleep(rng.uniform(0, 1))
        worker.set_faults(kill=True)
        time.sleep(rng.uniform(0.1, 0.5))
        worker.set_faults(kill=False)
        time.sleep(2)
        paused.running.resume()
        check_answers(deployment, callers.wait_answers())
        deployment.wait_linked()
        check_work(deployment, 3)


class TestEntriesKilled:
    def test_callers_of_two_entries_resubmit(
        self, deployment: Deployment
    ) -> None:
        """Resubmitted tickets start no task; new tickets complete."""
        *killed, left = deployment.entries
        callers = Callers(deployment)
        tickets = [
            ticket
            for entry in killed
            for ticket in callers.submit(entry.caller_address, 12, seconds=1)
        ]
        time.sleep(deployment.random.uniform(0.2, 0.6))
        for entry in killed:
            entry.running.kill()
        broken = callers.wait_answers()
        check_answers(deployment, broken)
        started = {
            ticket: deployment.started_tasks(ticket) for ticket in tickets
        }
        resubmission = Callers(deployment)
        for job in broken:
            resubmission.join(left.caller_address, job.ticket, job.body)
        resubmission.submit(left.caller_address, len(tickets), seconds=0.1)
        answers = resubmission.wait_answers()
        check_answers(deployment, answers)
        resubmitted = answers[: len(tickets)]
        assert {job.reply.status for job in resubmitted} <= {410, 503}
        assert {job.outcome for job in resubmitted} == {'unknown'}
        assert all(job.is_complete for job in answers[len(tickets) :])
        assert started == {
            ticket: deployment.started_tasks(ticket) for ticket in tickets
        }
