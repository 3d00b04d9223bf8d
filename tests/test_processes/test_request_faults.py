"""Tests of requests while domains, minions and entries fail."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest

from tests.processes.deployment import wait_until
from tests.processes.http import get_ticket
from tests.processes.operators import (
    CHANGES_PATH,
    REMOVAL_TIMEOUT,
    last_appended,
    set_domain,
)
from tests.test_processes.services import (
    SERVICE,
    Called,
    Load,
    ServiceDeployment,
    call,
    check,
    summarize,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

pytestmark = pytest.mark.processes

#: Sizes of the answers that are cut off, buffered and streamed, in bytes.
ANSWER_SIZES = (20_000, 300_000)


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory, proxies: str
) -> Iterator[ServiceDeployment]:
    """Return a deployment that the tests share.

    The last test leaves it with a killed entry.
    """
    with ServiceDeployment(
        tmp_path_factory.mktemp('requests'), control=proxies
    ) as deployment:
        deployment.wait_served()
        yield deployment


def count_starts(
    deployment: ServiceDeployment, number: int, since: float
) -> int:
    """Return the number of requests that a minion started after a time."""
    starts = deployment.minions[number].record()['starts']
    return sum(start['time'] > since for start in starts)


class TestFailureDomain:
    def test_is_removed_and_restored_under_load(
        self, deployment: ServiceDeployment
    ) -> None:
        entry = deployment.entries[0]
        name = deployment.failure_domain_of(0)
        load = Load([node.caller_address for node in deployment.entries], 8)
        time.sleep(1)
        assert set_domain(entry, name, in_service=False).status == 200
        removal = last_appended(deployment)
        assert removal is not None
        time.sleep(REMOVAL_TIMEOUT + 1)
        assert not count_starts(
            deployment, 0, removal.appended_at + REMOVAL_TIMEOUT
        )
        assert count_starts(
            deployment, 1, removal.appended_at + REMOVAL_TIMEOUT
        )
        assert set_domain(entry, name, in_service=True).status == 200
        back = time.monotonic()
        wait_until(
            lambda: count_starts(deployment, 0, back) > 0,
            'requests come back',
        )
        answers = load.finish()
        check(deployment, answers)
        assert summarize(answers) == {'200 ': len(answers)}


class TestTruncatedAnswer:
    @pytest.mark.parametrize('size', ANSWER_SIZES)
    def test_truncated_answer_is_no_success(
        self, deployment: ServiceDeployment, size: int
    ) -> None:
        proxies = [
            deployment.proxies[f'side-{number}:minion'] for number in range(2)
        ]
        for proxy in proxies:
            proxy.set_faults(cut_after_down=size // 2)
        entry = deployment.entries[0].caller_address
        answers = [
            call(entry, f'{method}-{size}', method, seconds=0, size=size)
            for method in ('GET', 'POST')
        ]
        for broken in proxies:
            broken.set_faults()
        check(deployment, answers)
        for answer in answers:
            assert answer.status in {0, 502}, answer
            assert answer.outcome in {'', 'unknown'}
        wait_until(lambda: is_complete(deployment, size), 'answers are whole')


def is_complete(deployment: ServiceDeployment, size: int) -> bool:
    """Return whether an answer of a size arrives completely."""
    entry = deployment.entries[0].caller_address
    answer = call(entry, 'whole', seconds=0, size=size)
    return answer.status == 200 and len(answer.body) == size


class TestIdempotencyKey:
    def test_only_requests_with_a_key_are_retried(
        self, deployment: ServiceDeployment
    ) -> None:
        body = {
            'kind': 'service',
            'name': SERVICE,
            'value': {'idempotency_key': True},
        }
        before = self.post(deployment, 'before')
        assert before.outcome == 'unknown'
        assert deployment.count_request_starts()['before'] == 1
        assert (
            deployment.entries[0].ask('POST', CHANGES_PATH, body).status == 200
        )
        for name in ('keyed-1', 'keyed-2'):
            self.post(deployment, name)
            assert deployment.count_request_starts()[name] >= 2
        without = self.post(deployment, 'without', key=False)
        assert without.outcome == 'unknown'
        assert deployment.count_request_starts()['without'] == 1

    def post(
        self, deployment: ServiceDeployment, name: str, *, key: bool = True
    ) -> Called:
        """Send a POST while all minions lose their answers."""
        for losing in deployment.minions:
            losing.set_faults(lose_answers=1)
        headers = {'Idempotency-Key': name} if key else {}
        caller = deployment.entries[0].caller_address
        answer = call(caller, name, 'POST', seconds=0, headers=headers)
        for minion in deployment.minions:
            minion.set_faults(lose_answers=0)
        return answer


class TestIssuerKilled:
    def test_request_never_runs_again(
        self, deployment: ServiceDeployment
    ) -> None:
        """The request has ended, is running, or was never sent."""
        issuer, other = deployment.entries
        names = ('ended', 'runs', 'unused')
        tickets = {
            name: {'X-Ticket': get_ticket(issuer.caller_address)}
            for name in names
        }

        def repeat(name: str, seconds: float = 0) -> Called:
            return call(
                other.caller_address,
                name,
                'POST',
                seconds=seconds,
                headers=tickets[name],
            )

        assert repeat('ended').status == 200
        with ThreadPoolExecutor(1) as pool:
            broken = pool.submit(repeat, 'runs', 1)
            wait_until(
                lambda: deployment.count_request_starts()['runs'] == 1,
                'it runs',
            )
            issuer.running.kill()
        again = [broken.result(), *map(repeat, names)]
        for answer in again:
            assert answer.status in {410, 502, 503}, answer
            assert answer.outcome == 'unknown'
        starts = deployment.count_request_starts()
        assert [starts[name] for name in names] == [1, 1, 0]
        answers = [
            call(other.caller_address, f'after-{number}', 'POST', seconds=0)
            for number in range(8)
        ]
        check(deployment, [*again, *answers])
        assert summarize(answers) == {'200 ': 8}
