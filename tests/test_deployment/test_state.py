"""Tests of the queues in force."""

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


def queue(name: str, host: str, prefix: str) -> Queue:
    return Queue(name, host, prefix, 'ledger', 0, 3, 1.6, 0.06)


class TestQueueTable:
    def test_longest_prefix_wins(self) -> None:
        table = QueueTable(
            (
                queue('all', 'a.example', '/'),
                queue('long', 'a.example', '/fills/audit/'),
                queue('short', 'a.example', '/fills/'),
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

    def test_host_decides_whatever_its_case_and_port(self) -> None:
        table = QueueTable((queue('one', 'A.example', '/x/'),))
        assert table.find('a.EXAMPLE:8080', '/x/1') is not None
        assert table.find('b.example', '/x/1') is None
        assert table.find('', '/x/1') is None

    def test_unknown_path_has_no_queue(self) -> None:
        table = QueueTable((queue('one', 'a.example', '/x/'),))
        assert table.find('a.example', '/y/1') is None


class TestDeploymentState:
    def test_versions_only_rise(self) -> None:
        state = DeploymentState()
        newer = Deployment(7, (queue('new', 'a', '/'),), LIMITS)
        older = Deployment(4, (queue('old', 'a', '/'),), LIMITS)
        assert state.adopt(newer)
        assert not state.adopt(older)
        assert not state.adopt(newer)
        assert state.version == 7
        found = state.table.find('a', '/1')
        assert found is not None
        assert found.name == 'new'

    def test_dropped_queue_is_gone(self) -> None:
        state = DeploymentState()
        state.adopt(Deployment(1, (queue('one', 'a', '/x/'),), LIMITS))
        state.adopt(Deployment(2, (), LIMITS))
        assert state.table.find('a', '/x/1') is None

    def test_changed_domains_are_told(self) -> None:
        state = DeploymentState()
        assert state.take_out(frozenset(('soweto',))) == {'soweto'}
        assert state.take_out(frozenset(('tembisa',))) == {'soweto', 'tembisa'}
        assert not state.take_out(frozenset(('tembisa',)))


class TestDeploymentGate:
    def test_nothing_starts_in_a_domain_out_of_service(self) -> None:
        state = DeploymentState()
        gate = DeploymentGate(state, 'soweto')
        state.take_out(frozenset())
        assert not gate.refusal(0)
        state.take_out(frozenset(('soweto',)))
        assert 'soweto' in gate.refusal(0)
        state.take_out(frozenset(('tembisa',)))
        assert not gate.refusal(0)

    def test_nothing_starts_while_nothing_is_known(self) -> None:
        gate = DeploymentGate(DeploymentState(), 'soweto')
        assert 'not known' in gate.refusal(0)


class Entry(NamedTuple):
    """An entry as a side sees it."""

    introduction: Introduction


def entry(incarnation: str) -> Any:
    return Entry(
        Introduction('entry', 'e', incarnation, 'd', '', '', 0, 0, 0, 0)
    )


class TestSideThatHasStartedAnew:
    """The store is away; only the linked entries can tell what is out."""

    def make(self, *told: str) -> DeploymentGate:
        gate = DeploymentGate(DeploymentState(), 'soweto')
        for number, domain in enumerate(told):
            domains = (domain,) if domain else ()
            gate.domains_received(
                entry(str(number)), DomainsOutOfService(domains)
            )
        return gate

    def test_word_of_an_entry_lets_it_work(self) -> None:
        assert not self.make('').refusal(0)
        assert not self.make('tembisa').refusal(0)

    def test_domain_is_out_if_any_entry_has_it_out(self) -> None:
        assert 'out of service' in self.make('', 'soweto', '').refusal(0)

    def test_word_of_an_entry_that_is_gone_does_not_count(self) -> None:
        gate = self.make('', 'soweto')
        gate.peer_left(entry('1'))
        assert not gate.refusal(0)
        gate.peer_left(entry('0'))
        assert 'not known' in gate.refusal(0)

    def test_store_goes_before_the_entries(self) -> None:
        gate = self.make('soweto')
        gate.state.take_out(frozenset())
        assert not gate.refusal(0)
        gate.domains_received(entry('0'), DomainsOutOfService(('soweto',)))
        assert not gate.refusal(0)
