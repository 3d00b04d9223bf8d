"""Tests that no task starts in a removed failure domain despite failures."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from tests.processes.deployment import DOMAINS, Deployment, wait_until
from tests.processes.http import request
from tests.processes.operators import (
    CHANGES_PATH,
    Load,
    check_removal,
    count_starts_since,
    fetch_configuration,
    fetch_position,
    last_appended,
    set_domain,
    wait_appended,
)
from tests.test_processes.conftest import Deploy

pytestmark = pytest.mark.processes

REMOVED = DOMAINS[0]
REMAINING = DOMAINS[1]


def deploy_joined(deploy: Deploy, entries: int = 3) -> Deployment:
    """Start a deployment and wait until its entries know each other."""
    deployment = deploy(entries=entries, sides=4)
    wait_until(
        lambda: all(
            len((fetch_configuration(node) or {}).get('other_entries', ()))
            == entries - 1
            for node in deployment.entries
        ),
        'entries know each other',
    )
    return deployment


def append_removal(deployment: Deployment) -> Any:
    """Append a removal to the log directly, without an entry."""
    record = {
        'type': 'change',
        'kind': 'failure_domain',
        'name': REMOVED,
        'version': 1,
        'expected': 0,
        'change_id': 'by hand',
        'value': {'in_service': False},
    }
    path = '/v1/streams/configuration/records'
    request(deployment.log.address, 'POST', path, record)
    return last_appended(deployment)


def remove(deployment: Deployment, entry: int = 0) -> Any:
    """Take a failure domain out of service and return the log record."""
    reply = set_domain(deployment.entries[entry], REMOVED, in_service=False)
    assert reply.status == 200, reply
    removal = last_appended(deployment)
    assert removal is not None
    return removal


class TestRemoval:
    def test_work_moves_and_returns(self, deploy: Deploy) -> None:
        deployment = deploy_joined(deploy)
        load = Load(deployment, deployment.entries)
        time.sleep(2)
        removal = remove(deployment)
        time.sleep(4)
        check_removal(deployment, REMOVED, removal)
        assert count_starts_since(
            deployment, REMAINING, removal.appended_at + 1
        )
        reply = set_domain(deployment.entries[1], REMOVED, in_service=True)
        assert reply.status == 200, reply
        back = time.monotonic()
        wait_until(
            lambda: count_starts_since(deployment, REMOVED, back) > 0,
            'work comes back',
            5,
        )
        assert all(job.is_complete for job in load.finish())

    def test_log_fails_after_appending(self, deploy: Deploy) -> None:
        """The log service appends the record and then answers no request."""
        deployment = deploy_joined(deploy)
        load = Load(deployment, deployment.entries)
        time.sleep(1.5)
        deployment.log.set_faults(lose_answers=1.0)
        time.sleep(0.5)
        entry = deployment.entries[0]
        publishing = threading.Thread(
            target=lambda: set_domain(entry, REMOVED, in_service=False, wait=1)
        )
        publishing.start()
        removal = wait_appended(deployment, -1)
        deployment.log.set_faults(outage=True)
        publishing.join()
        time.sleep(4)
        assert {fetch_position(node) for node in deployment.entries} == {0}
        check_removal(deployment, REMOVED, removal)
        assert count_starts_since(
            deployment, REMAINING, removal.appended_at + 3
        )
        deployment.log.set_faults(outage=False, lose_answers=0)
        time.sleep(2)
        load.finish()
        check_removal(deployment, REMOVED, removal)

    def test_entry_without_the_log(self, deploy: Deploy) -> None:
        """A side that only this entry reaches still learns of the removal."""
        deployment = deploy_joined(deploy)
        for other in ('entry-0', 'entry-2'):
            deployment.proxies[f'side-0:{other}'].set_faults(mode='freeze')
        deployment.proxies['entry-1:log'].set_faults(mode='freeze')
        load = Load(deployment, deployment.entries[1:2])
        time.sleep(4)
        before = time.monotonic()
        time.sleep(1)
        assert count_starts_since(deployment, REMOVED, before)
        removal = remove(deployment)
        time.sleep(4)
        load.finish()
        check_removal(deployment, REMOVED, removal)

    def test_entry_without_log_and_entries(self, deploy: Deploy) -> None:
        """The entry is partitioned from the log service and all other entries,
        but reaches all sides.
        """
        deployment = deploy_joined(deploy)
        others = (deployment.entries[0], deployment.entries[2])
        load = Load(deployment, deployment.entries[1:2])
        time.sleep(1)
        deployment.proxies['entry-1:log'].set_faults(mode='freeze')
        for entry in others:
            entry.running.pause()
        removal = append_removal(deployment)
        time.sleep(4)
        check_removal(deployment, REMOVED, removal)
        assert count_starts_since(deployment, REMOVED, removal.appended_at)
        assert not count_starts_since(
            deployment, REMAINING, removal.appended_at + 3
        )
        deployment.proxies['entry-1:log'].set_faults()
        for paused in others:
            paused.running.resume()
        load.finish()
        check_removal(deployment, REMOVED, removal)

    def test_paused_entry(self, deploy: Deploy) -> None:
        deployment = deploy_joined(deploy)
        load = Load(deployment, deployment.entries)
        time.sleep(1.5)
        deployment.entries[1].running.pause()
        removal = remove(deployment)
        time.sleep(4)
        deployment.entries[1].running.resume()
        time.sleep(2)
        load.finish()
        check_removal(deployment, REMOVED, removal)


class TestConcurrentChanges:
    def test_conflicting_changes_converge(self, deploy: Deploy) -> None:
        deployment = deploy_joined(deploy)
        load = Load(deployment, deployment.entries)

        def alternate(number: int) -> int:
            entry = deployment.entries[number]
            replies = [
                set_domain(entry, REMOVED, in_service=bool((turn + number) % 2))
                for turn in range(10)
            ]
            assert {reply.status for reply in replies} <= {200, 409}
            return sum(reply.status == 200 for reply in replies)

        with ThreadPoolExecutor() as pool:
            accepted = sum(pool.map(alternate, range(2)))
        removal = remove(deployment, 2)
        nodes = (*deployment.entries, *deployment.sides)
        wait_until(
            lambda: (
                {fetch_position(node) for node in nodes} == {removal.offset + 1}
            ),
            'all at one position',
            5,
        )
        query = f'/v1/configuration/records?name={REMOVED}'
        found = deployment.entries[0].ask('GET', query).body['records'][0]
        assert found['version'] == accepted + 1
        time.sleep(3)
        load.finish()
        check_removal(deployment, REMOVED, removal)


class TestReplacement:
    def test_replaced_processes_keep_the_removal(self, deploy: Deploy) -> None:
        deployment = deploy_joined(deploy)
        deployment.log.set_faults(retention_records=8)
        removal = remove(deployment)
        load = Load(deployment, deployment.entries[:1])
        publish_teams(deployment, 6)
        for node in (*deployment.entries[1:], *deployment.sides):
            replace(deployment, node)
            publish_teams(deployment, 2)
        load.finish()
        replace(deployment, deployment.entries[0])
        for node in deployment.entries:
            records = node.ask('GET', '/v1/configuration/records').body
            kinds = [each['kind'] for each in records['records']]
            assert kinds.count('team') == 18
        check_removal(deployment, REMOVED, removal)


def publish_teams(deployment: Deployment, count: int) -> None:
    """Publish new teams, each as a record."""
    for _ in range(count):
        name = f'team-{time.monotonic_ns()}'
        body = {'kind': 'team', 'name': name, 'value': {'weight': 2}}
        reply = deployment.entries[0].ask('POST', CHANGES_PATH, body)
        assert reply.status == 200, reply


def replace(deployment: Deployment, node: Any) -> None:
    """Replace a process and check that it refuses work until it is current.

    It must not be ready before it has the position of the entries.
    """
    head = max(fetch_position(each) for each in deployment.entries)
    node.running.kill()
    node.start()
    deadline = time.monotonic() + 20
    while fetch_position(node) < head:
        known = fetch_configuration(node) or {}
        assert known.get('refusal', 'unknown') or known['position'] >= head
        assert not known.get('ready') or known['position'] >= head
        assert time.monotonic() < deadline, f'{node.name} stays behind'
        time.sleep(0.02)
    deployment.wait_linked()


class TestLogOutage:
    def test_work_continues_and_change_is_unknown(self, deploy: Deploy) -> None:
        deployment = deploy_joined(deploy)
        load = Load(deployment, deployment.entries)
        time.sleep(1.5)
        deployment.log.set_faults(outage=True)
        started_at = time.monotonic()
        body = {
            'kind': 'team',
            'name': 'payroll',
            'value': {'weight': 2},
            'change_id': 'in the outage',
            'wait': 1,
        }
        reply = deployment.entries[0].ask('POST', CHANGES_PATH, body)
        assert (reply.status, reply.body['status']) == (202, 'unknown')
        time.sleep(7)
        for name in DOMAINS:
            assert count_starts_since(deployment, name, started_at + 6)
        deployment.log.set_faults(outage=False)
        path = f'{CHANGES_PATH}/in%20the%20outage'
        wait_until(
            lambda: deployment.entries[1].ask('GET', path).status == 200,
            'the change is accepted',
            10,
        )
        assert all(job.is_complete for job in load.finish())
