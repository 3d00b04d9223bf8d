"""Tests for several membership components over in-memory links."""

from __future__ import annotations

from functools import partial
from typing import Any

import pytest

from jackdawridge.application import Application
from jackdawridge.config import Settings
from jackdawridge.execution import messages as execution
from jackdawridge.membership.component import Membership
from jackdawridge.membership.messages import (
    MESSAGES,
    SCHEMA,
    Introduction,
    State,
)
from jackdawridge.wire.handshake import Credentials
from jackdawridge.wire.peers import Connector, Listener, Peers
from tests.test_membership.memory_network import MemoryNetwork, MemoryReactor

IDENTITY = Credentials('test', 'x' * 16)
SEED = '127.0.0.1:1001'
HEARTBEAT = execution.Heartbeat(1, 0, execution.Room(1, 1, 0, 0), False, 0)


class Process:
    """A simulated entry or side."""

    def __init__(
        self, network: MemoryNetwork, role: str, number: int, run: str = 'a'
    ) -> None:
        self.network = network
        self.role = role
        self.node = f'{role}-{number}'
        self.address = f'127.0.0.1:{number}'
        reactor: Any = MemoryReactor(network, self.address)
        document = {
            'heartbeat': 1.0,
            'entries': [SEED],
            'entries_per_side': 2,
            'lead_links': 0,
            'seed_discovery': 1.5,
        }
        self.application = Application(
            Settings(role, document), reactor, f'{self.node}-{run}'
        )
        self.application.codec.register(SCHEMA, MESSAGES)
        self.application.codec.register(execution.SCHEMA, execution.MESSAGES)
        self.application.on_message(execution.Heartbeat, self.answer_heartbeat)
        self.application.on_message(execution.HeartbeatReply, _ignore)
        introduction = Introduction(
            role=role,
            node=self.node,
            incarnation=self.application.incarnation,
            failure_domain=f'domain-{number % 3}',
            address=self.address if role == 'entry' else '',
            service='',
            cores=1,
            memory=1,
            accelerators=0,
            slots=1,
        )
        self.peers = Peers(self.application, IDENTITY, introduction)
        self.connector = Connector(reactor, self.peers, self.node)
        self.listener = Listener(reactor, self.peers, self.address)
        self.membership = Membership.from_application(
            self.application, self.peers, self.connector
        )
        self.joins = 0
        self.is_running = True
        self.ended_runs: list[str] = []
        events = self.application.events
        events.connect('peer_joined', self.count_join)
        events.connect('incarnation_gone', self.record_ended_run)
        if role == 'entry':
            self.listener.start()
        self.membership.start()
        self.send_heartbeats()

    def answer_heartbeat(
        self, peer: Any, heartbeat: execution.Heartbeat
    ) -> None:
        peer.send(execution.HeartbeatReply(heartbeat.window, 0, 0, 0))

    def send_heartbeats(self) -> None:
        if self.is_running:
            self.network.callLater(1, self.send_heartbeats)
        if self.is_running and self.role == 'side':
            for peer in self.peers.of_role('entry'):
                peer.send(HEARTBEAT)

    def count_join(self, _: object) -> None:
        self.joins += 1

    def record_ended_run(self, _: str, incarnation: str) -> None:
        self.ended_runs.append(incarnation)

    def leave(self) -> None:
        self.application.events.emit('draining')

    def kill(self) -> None:
        self.is_running = False
        if self.membership.timer is not None:
            self.membership.timer.cancel()
        self.connector.stop()
        self.network.kill(self.address)

    def state_of(self, node: str) -> State:
        return State(self.membership.table.members[node].state)

    def linked(self, role: str) -> set[str]:
        return {peer.name for peer in self.peers.of_role(role)}


def _ignore(*_: object) -> None:
    """Ignore a message."""


class Fleet:
    """Simulated processes whose only seed is the first entry's address."""

    def __init__(self, entries: int, sides: int) -> None:
        self.network = MemoryNetwork()
        self.entries = [
            self.start('entry', 1001 + number) for number in range(entries)
        ]
        self.sides = [
            self.start('side', 2001 + number) for number in range(sides)
        ]
        self.advance(15)

    def start(self, role: str, number: int, run: str = 'a') -> Process:
        return Process(self.network, role, number, run)

    def advance(self, seconds: float) -> None:
        for _ in range(int(seconds * 50)):
            self.network.advance(0.02)

    def states(self, node: str) -> set[State]:
        return {
            entry.state_of(node)
            for entry in self.entries
            if entry.is_running and entry.node != node
        }


class TestJoining:
    def test_all_members_are_known_from_one_seed(self) -> None:
        fleet = Fleet(4, 6)
        nodes = {process.node for process in fleet.entries + fleet.sides}
        for entry in fleet.entries:
            members = entry.membership.table.members
            assert set(members) == nodes
            assert {member.state for member in members.values()} == {0}
            assert len(entry.linked('entry')) == 3
        digests = {entry.membership.table.digest for entry in fleet.entries}
        assert len(digests) == 1

    def test_sides_link_to_the_configured_number_of_entries(self) -> None:
        fleet = Fleet(4, 6)
        assert all(len(side.linked('entry')) == 2 for side in fleet.sides)
        known = fleet.entries[0].membership.sides_in('domain-0')
        assert {side.node for side in known} == {'side-2001', 'side-2004'}

    def test_links_are_stable(self) -> None:
        fleet = Fleet(4, 6)
        fleet.advance(40)
        before = [entry.joins for entry in fleet.entries]
        fleet.advance(90)
        assert [entry.joins for entry in fleet.entries] == before

    def test_entries_open_one_link_per_pair(self) -> None:
        fleet = Fleet(0, 0)
        entries = []
        for number in (1001, 1002, 1003, 1004):
            entries.append(fleet.start('entry', number))
            fleet.advance(0.37)
        fleet.advance(10)
        assert {len(entry.linked('entry')) for entry in entries} == {3}
        assert max(entry.joins for entry in entries) <= 4

    def test_separate_groups_of_entries_merge(self) -> None:
        fleet = Fleet(0, 0)
        numbers = (1002, 1003, 1004, 1005)
        fleet.network.balancers[SEED] = [
            f'127.0.0.1:{number}' for number in numbers
        ]
        entries = [fleet.start('entry', number) for number in numbers]
        fleet.advance(75)
        for entry in entries:
            assert len(entry.linked('entry')) == 3

    def test_processes_with_stale_seeds_join_once_the_seeds_change(
        self,
    ) -> None:
        """Seeds may name only machines that were gone at the start."""
        fleet = Fleet(1, 0)
        fleet.entries[0].kill()
        started = [fleet.start('entry', 1002), fleet.start('entry', 1003)]
        started.append(fleet.start('side', 2001))
        searching: list[str] = []
        for process in started:
            process.application.events.connect(
                'entries_unreachable', partial(searching.append, process.node)
            )
        fleet.advance(5)
        assert set(searching) == {process.node for process in started}
        settings = Settings('side', {'entries': [started[0].address]})
        for process in started:
            process.application.events.emit('settings_changed', settings)
        fleet.advance(5)
        assert started[0].linked('entry') == {started[1].node}
        assert started[2].linked('entry') == {
            started[0].node,
            started[1].node,
        }
        searching.clear()
        fleet.advance(5)
        assert 'side-2001' not in searching

    def test_side_keeps_dialling_the_seed_of_its_entry(self) -> None:
        fleet = Fleet(0, 0)
        fleet.network.balancers[SEED] = ['127.0.0.1:1002']
        fleet.start('entry', 1002)
        side = fleet.start('side', 2001)
        fleet.advance(10)
        assert side.linked('entry') == {'entry-1002'}
        assert set(side.connector.redialers) == {SEED}


class TestFailures:
    def test_killed_side_is_declared_dead(self) -> None:
        fleet = Fleet(3, 3)
        fleet.sides[0].kill()
        fleet.advance(15)
        assert fleet.states('side-2001') == {State.dead}
        assert fleet.states('side-2002') == {State.alive}

    def test_killed_entry_is_declared_dead_and_its_sides_move(self) -> None:
        fleet = Fleet(4, 6)
        fleet.entries[3].kill()
        fleet.advance(30)
        assert fleet.states('entry-1004') == {State.dead}
        assert all(len(side.linked('entry')) == 2 for side in fleet.sides)

    def test_disconnected_side_is_suspected_and_recovers(self) -> None:
        fleet = Fleet(3, 3)
        side = fleet.sides[0]
        fleet.network.disconnected.add(side.address)
        fleet.advance(5)
        assert State.alive not in fleet.states(side.node)
        fleet.advance(10)
        assert fleet.states(side.node) == {State.dead}
        fleet.network.disconnected.clear()
        fleet.advance(10)
        assert fleet.states(side.node) == {State.alive}
        assert len(side.linked('entry')) == 2

    def test_run_of_a_disconnected_entry_is_not_gone(self) -> None:
        fleet = Fleet(3, 3)
        entry, other = fleet.entries[1], fleet.entries[0]
        fleet.network.disconnected.add(entry.address)
        fleet.advance(20)
        assert fleet.states(entry.node) == {State.dead}
        run = entry.application.incarnation
        assert not other.membership.is_gone(entry.address, run)
        fleet.network.disconnected.clear()
        fleet.advance(20)
        assert fleet.states(entry.node) == {State.alive}
        states = {entry.state_of(side.node) for side in fleet.sides}
        assert states == {State.alive}

    @pytest.mark.parametrize('size', [2, 3, 6])
    @pytest.mark.parametrize('outage', [0.3, 1, 3])
    def test_reconnected_entry_keeps_its_links(
        self, size: int, outage: float
    ) -> None:
        fleet = Fleet(size, 2)
        fleet.advance(5)
        entry = fleet.entries[1]
        fleet.network.disconnected.add(entry.address)
        fleet.advance(outage)
        fleet.network.disconnected.clear()
        fleet.advance(5)
        opened: list[str] = []
        entry.application.events.connect(
            'peer_joined', lambda peer: opened.append(peer.name)
        )
        fleet.advance(20)
        assert not opened

    def test_restarted_entry_supersedes_its_earlier_run(self) -> None:
        fleet = Fleet(3, 3)
        entry, other = fleet.entries[1], fleet.entries[0]
        entry.kill()
        fleet.advance(1)
        fleet.entries[1] = fleet.start('entry', 1002, 'b')
        fleet.advance(10)
        run = entry.application.incarnation
        assert other.membership.is_gone(entry.address, run)
        assert other.ended_runs == [run]
        member = other.membership.table.members['entry-1002']
        assert member.incarnation == 'entry-1002-b'
        assert member.state == State.alive


class TestLeaving:
    def test_leaving_side_is_announced_to_all_entries(self) -> None:
        fleet = Fleet(3, 3)
        side = fleet.sides[0]
        side.leave()
        fleet.advance(3)
        members = [
            entry.membership.table.members[side.node] for entry in fleet.entries
        ]
        assert all(member.leaving for member in members)
        side.membership.stop()
        fleet.advance(0.1)
        side.kill()
        fleet.advance(10)
        assert fleet.states(side.node) == {State.left}

    def test_rolling_replacement_of_all_entries(self) -> None:
        fleet = Fleet(3, 3)
        turns = [entry.address for entry in fleet.entries]
        fleet.network.balancers[SEED] = turns
        for number in range(3):
            newer = fleet.start('entry', 1011 + number)
            fleet.advance(5)
            fleet.entries[0].membership.stop()
            fleet.advance(0.5)
            fleet.entries[0].kill()
            turns.remove(fleet.entries[0].address)
            turns.append(newer.address)
            fleet.entries = [*fleet.entries[1:], newer]
            fleet.advance(10)
        fleet.advance(40)
        nodes = {entry.node for entry in fleet.entries}
        for entry in fleet.entries:
            assert entry.linked('entry') == nodes - {entry.node}
            present = {member.node for member in entry.membership.sides()}
            assert present == {side.node for side in fleet.sides}
        assert all(len(side.linked('entry')) == 2 for side in fleet.sides)
