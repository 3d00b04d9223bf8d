"""Tests of links that lose or delay data or break."""

from __future__ import annotations

import time

import pytest

from tests.processes.callers import Callers, check_answers
from tests.processes.deployment import Deployment, wait_until

pytestmark = pytest.mark.processes


def set_links(deployment: Deployment, entry: int, **faults: object) -> None:
    """Set the faults of the links between all sides and one entry."""
    for side in deployment.sides:
        name = f'{side.name}:entry-{entry}'
        deployment.proxies[name].set_faults(**faults)


def check_recovery(deployment: Deployment, callers: Callers) -> None:
    """Check all answers, and that new jobs complete after a failure."""
    deployment.wait_linked()
    callers.submit(deployment.entries[0].caller_address, 5)
    answers = callers.wait_answers()
    check_answers(deployment, answers)
    assert all(job.is_complete for job in answers[-5:])


class TestBrokenLink:
    def test_start_is_lost(self, shared: Deployment) -> None:
        deployment = shared
        callers = Callers(deployment)
        set_links(deployment, 0, drop='down')
        callers.submit(deployment.entries[0].caller_address, 10)
        time.sleep(0.2)
        assert deployment.count_starts() == 0
        set_links(deployment, 0)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)

    def test_answer_is_lost(self, shared: Deployment) -> None:
        deployment = shared
        callers = Callers(deployment)
        set_links(deployment, 0, drop='up')
        callers.submit(deployment.entries[0].caller_address, 4)
        wait_until(lambda: deployment.count_starts() > 0, 'tasks run')
        time.sleep(0.1)
        set_links(deployment, 0)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)

    def test_link_breaks_within_a_batch(self, shared: Deployment) -> None:
        deployment = shared
        callers = Callers(deployment)
        cut_after = deployment.random.randrange(1, 2000)
        set_links(deployment, 0, cut_after_down=cut_after)
        callers.submit(deployment.entries[0].caller_address, 10)
        time.sleep(0.5)
        set_links(deployment, 0)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)

    def test_links_break_repeatedly(self, shared: Deployment) -> None:
        deployment = shared
        callers = Callers(deployment)
        callers.submit(deployment.entries[0].caller_address, 20)
        callers.submit(deployment.entries[1].caller_address, 20)
        names = [name for name in deployment.proxies if 'entry' in name]
        links = [name for name in names if name.startswith('side')]
        for _ in range(20):
            deployment.proxies[deployment.random.choice(links)].cut()
            time.sleep(0.1)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)


class TestSilentLink:
    @pytest.mark.parametrize('direction', ['up', 'down'])
    def test_silent_for_longer_than_the_lease(
        self, shared_short_lease: Deployment, direction: str
    ) -> None:
        """Jobs that may have run fail as unknown; later jobs complete."""
        deployment = shared_short_lease
        callers = Callers(deployment)
        callers.submit(deployment.entries[0].caller_address, 6, seconds=0.5)
        wait_until(lambda: deployment.count_starts() > 0, 'tasks run')
        set_links(deployment, 0, drop=direction)
        callers.submit(deployment.entries[0].caller_address, 3)
        time.sleep(2.5)
        set_links(deployment, 0)
        check_recovery(deployment, callers)

    def test_delivered_after_the_send_window(
        self, shared_short_lease: Deployment
    ) -> None:
        """Messages arrive after a delay longer than the send window."""
        deployment = shared_short_lease
        callers = Callers(deployment)
        set_links(deployment, 0, mode='freeze')
        callers.submit(deployment.entries[0].caller_address, 10)
        time.sleep(2.5)
        set_links(deployment, 0)
        check_recovery(deployment, callers)


class TestSlowLink:
    def test_delay_within_the_lease(self, shared: Deployment) -> None:
        deployment = shared
        set_links(deployment, 0, delay=0.1, jitter=0.1)
        for side in deployment.sides:
            deployment.proxies[f'{side.name}:worker'].set_faults(delay=0.2)
        callers = Callers(deployment)
        callers.submit(deployment.entries[0].caller_address, 10)
        answers = callers.wait_answers()
        check_answers(deployment, answers)
        assert all(job.is_complete for job in answers)

    def test_delay_beyond_the_lease(
        self, shared_short_lease: Deployment
    ) -> None:
        deployment = shared_short_lease
        callers = Callers(deployment)
        callers.submit(deployment.entries[0].caller_address, 5, seconds=0.5)
        wait_until(lambda: deployment.count_starts() > 0, 'tasks run')
        set_links(deployment, 0, delay=1.5)
        callers.submit(deployment.entries[0].caller_address, 5)
        time.sleep(3)
        set_links(deployment, 0)
        check_recovery(deployment, callers)


class TestWorkerLink:
    @pytest.mark.parametrize('direction', ['up', 'down'])
    def test_one_direction_drops_data(
        self, shared: Deployment, direction: str
    ) -> None:
        deployment = shared
        proxy = deployment.proxies['side-0:worker']
        callers = Callers(deployment)
        callers.submit(deployment.entries[0].caller_address, 10)
        proxy.set_faults(drop=direction)
        time.sleep(1)
        proxy.set_faults()
        check_answers(deployment, callers.wait_answers())

    def test_worker_refuses_connections(self, shared: Deployment) -> None:
        deployment = shared
        deployment.proxies['side-0:worker'].set_faults(mode='refuse')
        callers = Callers(deployment)
        callers.submit(deployment.entries[0].caller_address, 10)
        check_answers(deployment, callers.wait_answers())
