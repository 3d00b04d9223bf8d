"""Several failures at once, at moments that the seed draws."""

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
    count_since,
    last_taken,
    position_of,
    set_domain,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

pytestmark = pytest.mark.processes

OUT = DOMAINS[0]


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
    proxies: str,
    request: pytest.FixtureRequest,
) -> Iterator[Deployment]:
    """Return a deployment that the tests share; the last one harms it."""
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
    """Check that the last entries complete jobs."""
    callers = Callers(deployment)
    for entry in deployment.entries[-entries:]:
        callers.submit(entry.caller, 4)
    answers = callers.answers()
    check_answers(deployment, answers)
    assert all(one.is_complete for one in answers)


class TestRemoval:
    def test_side_killed_and_log_down(self, deployment: Deployment) -> None:
        """The hold reaches also a side that starts in the outage."""
        draw = deployment.random
        load = Load(deployment, deployment.entries, 0.5)
        time.sleep(1)
        entry = draw.choice(deployment.entries)
        side = draw.choice((deployment.sides[0], deployment.sides[1]))
        assert count_since(deployment, OUT, 0)
        ordered = time.monotonic()
        with ThreadPoolExecutor(1) as pool:
            pool.submit(set_domain, entry, OUT, in_service=False, wait=1)
            time.sleep(draw.uniform(0, 0.2))
            deployment.log.set(outage=True)
            side.running.kill()
            time.sleep(draw.uniform(0, 1))
            side.start()
        time.sleep(REMOVAL_TIMEOUT + 1)
        assert not count_since(deployment, OUT, ordered + REMOVAL_TIMEOUT)
        assert count_since(deployment, DOMAINS[2], ordered + REMOVAL_TIMEOUT)
        deployment.log.set(outage=False)
        wait_until(
            lambda: {position_of(node) for node in deployment.entries} == {1},
            'the order is settled',
        )
        taken = last_taken(deployment)
        assert taken is not None
        deployment.wait_linked()
        load.end()
        check_removal(deployment, OUT, taken)
        assert not count_since(deployment, OUT, ordered + REMOVAL_TIMEOUT)
        assert set_domain(entry, OUT, in_service=True).status == 200
        check_work(deployment, 3)


class TestEntryPaused:
    def test_worker_is_replaced_meanwhile(self, deployment: Deployment) -> None:
        """The entry wakes up with tasks that neither lease nor worker has."""
        draw = deployment.random
        paused = draw.choice(deployment.entries)
        worker = draw.choice(deployment.workers)
        callers = Callers(deployment)
        for entry in deployment.entries:
            callers.submit(entry.caller, 8, tasks=5, seconds=1)
        wait_until(lambda: deployment.count_running() > 0, 'tasks run')
        paused.running.pause()
        time.sleep(draw.uniform(0, 1))
        worker.set(kill=True)
        time.sleep(draw.uniform(0.1, 0.5))
        worker.set(kill=False)
        time.sleep(2)
        paused.running.resume()
        check_answers(deployment, callers.answers())
        deployment.wait_linked()
        check_work(deployment, 3)


class TestEntriesKilled:
    def test_callers_of_two_resubmit_in_a_wave(
        self, deployment: Deployment
    ) -> None:
        """Under their tickets nothing starts again, under others all do."""
        *killed, left = deployment.entries
        callers = Callers(deployment)
        tickets = [
            ticket
            for entry in killed
            for ticket in callers.submit(entry.caller, 12, seconds=1)
        ]
        time.sleep(deployment.random.uniform(0.2, 0.6))
        for entry in killed:
            entry.running.kill()
        broken = callers.answers()
        check_answers(deployment, broken)
        started = {
            ticket: deployment.started_tasks(ticket) for ticket in tickets
        }
        wave = Callers(deployment)
        for one in broken:
            wave.join(left.caller, one.ticket, one.body)
        wave.submit(left.caller, len(tickets), seconds=0.1)
        answers = wave.answers()
        check_answers(deployment, answers)
        resubmitted = answers[: len(tickets)]
        assert {one.reply.status for one in resubmitted} <= {410, 503}
        assert {one.outcome for one in resubmitted} == {'unknown'}
        assert all(one.is_complete for one in answers[len(tickets) :])
        assert started == {
            ticket: deployment.started_tasks(ticket) for ticket in tickets
        }
