"""Tests for the deployment state and a side's start gate."""

from __future__ import annotations

from typing import Any, NamedTuple

from jackdawridge.deployment.gate import DeploymentGate
from jackdawridge.deployment.messages import DomainsOutOfService
from jackdawridge.deployment.state import (
    CallerLimits,
    Deployment,
    DeploymentState,
    Queue,
    QueueTable,
)
from jackdawridge.membership.messages import Introduction

LIMITS = CallerLimits(16384, 262144, 3, 15)


def make_queue(name: str, host: str, prefix: str) -> Queue:
    return Queue(name, host, prefix, 'ledger', 0, 3, 1.6, 0.06)


class TestQueueTable:
    def test_longest_prefix_wins(self) -> None:
        table = QueueTable(
            (
                make_queue('all', 'a.example', '/'),
                make_queue('long', 'a.example', '/fills/audit/'),
                make_queue('short', 'a.example', '/fills/'),
            )
        )
        for path, name in (
            ('/fills/audit/1', 'long'),
            ('/fills/1', 'short'),
            ('/other', 'all'),
        ):
            found = table.find('a.example', path)
            assert found is not None
            assert found.name == name

    def test_host_match_ignores_case_and_port(self) -> None:
        table = QueueTable((make_queue('one', 'A.example', '/x/'),))
        assert table.find('a.EXAMPLE:8080', '/x/1') is not None
        assert table.find('b.example', '/x/1') is None
        assert table.find('', '/x/1') is None

    def test_unknown_path_has_no_queue(self) -> None:
        table = QueueTable((make_queue('one', 'a.example', '/x/'),))
        assert table.find('a.example', '/y/1') is None


class TestDeploymentState:
    def test_older_version_is_ignored(self) -> None:
        state = DeploymentState()
        newer = Deployment(7, (make_queue('new', 'a', '/'),), LIMITS)
        older = Deployment(4, (make_queue('old', 'a', '/'),), LIMITS)
        assert state.adopt(newer)
        assert not state.adopt(older)
        assert not state.adopt(newer)
        assert state.version == 7
        found = state.table.find('a', '/1')
        assert found is not None
        assert found.name == 'new'

    def test_removed_queue_is_not_found(self) -> None:
        state = DeploymentState()
        state.adopt(Deployment(1, (make_queue('one', 'a', '/x/'),), LIMITS))
        state.adopt(Deployment(2, (), LIMITS))
        assert state.table.find('a', '/x/1') is None

    def test_changed_domains_are_returned(self) -> None:
        state = DeploymentState()
        assert state.update_out_of_service(frozenset(('soweto',))) == {'soweto'}
        assert state.update_out_of_service(frozenset(('tembisa',))) == {
            'soweto',
            'tembisa',
        }
        assert not state.update_out_of_service(frozenset(('tembisa',)))


class TestDeploymentGate:
    def test_starts_are_refused_in_a_domain_out_of_service(self) -> None:
        state = DeploymentState()
        gate = DeploymentGate(state, 'soweto')
        state.update_out_of_service(frozenset())
        assert not gate.refusal(0)
        state.update_out_of_service(frozenset(('soweto',)))
        assert 'soweto' in gate.refusal(0)
        state.update_out_of_service(frozenset(('tembisa',)))
        assert not gate.refusal(0)

    def test_starts_are_refused_until_domains_are_known(self) -> None:
        gate = DeploymentGate(DeploymentState(), 'soweto')
        assert 'not known' in gate.refusal(0)


class FakePeer(NamedTuple):
    """A linked entry, reduced to its introduction."""

    introduction: Introduction


def make_peer(incarnation: str) -> Any:
    return FakePeer(
        Introduction('entry', 'e', incarnation, 'd', '', '', 0, 0, 0, 0)
    )


class TestRestartedSide:
    """While the store is unreachable, the side relies on the linked entries."""

    def make_gate(self, *reported: str) -> DeploymentGate:
        gate = DeploymentGate(DeploymentState(), 'soweto')
        for number, domain in enumerate(reported):
            domains = (domain,) if domain else ()
            gate.domains_received(
                make_peer(str(number)), DomainsOutOfService(domains)
            )
        return gate

    def test_entry_report_allows_starts(self) -> None:
        assert not self.make_gate('').refusal(0)
        assert not self.make_gate('tembisa').refusal(0)

    def test_domain_is_out_of_service_if_any_entry_reports_it(self) -> None:
        assert 'out of service' in self.make_gate('', 'soweto', '').refusal(0)

    def test_report_of_an_unlinked_entry_is_discarded(self) -> None:
        gate = self.make_gate('', 'soweto')
        gate.peer_left(make_peer('1'))
        assert not gate.refusal(0)
        gate.peer_left(make_peer('0'))
        assert 'not known' in gate.refusal(0)

    def test_store_overrides_entry_reports(self) -> None:
        gate = self.make_gate('soweto')
        gate.state.update_out_of_service(frozenset())
        assert not gate.refusal(0)
        gate.domains_received(make_peer('0'), DomainsOutOfService(('soweto',)))
        assert not gate.refusal(0)
