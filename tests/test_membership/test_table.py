"""Tests for the member table, ended runs and the gossip queue."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from jackdawridge.membership.gossip_queue import MAX_QUEUED, GossipQueue
from jackdawridge.membership.messages import Member, State
from jackdawridge.membership.table import MemberTable, Timing
from tests.test_membership.members import make_member

NODES = ('e1', 'e2', 'e3', 'e4')
TIMING = Timing(suspicion_timeout=5, join_grace=30)
STEPS = st.sampled_from(('gossip', 'suspect', 'expire', 'restart', 'leave'))
#: A time after the join grace, in seconds.
AFTER_GRACE = 1000.0


class Network:
    """Member tables that gossip over a network that drops and reorders."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = self.random.random()
        self.restarts = dict.fromkeys(NODES, 0)
        self.tables: dict[str, MemberTable] = {}
        self.in_flight: list[tuple[str, Member]] = []
        for node in NODES:
            self.restart(node)

    def restart(self, node: str) -> None:
        """Start a new run with an empty table and a random generation."""
        self.restarts[node] += 1
        generation = self.random.randrange(1, 4)
        incarnation = f'{self.random.randrange(9)}-{self.restarts[node]}'
        own = make_member(node, incarnation, generation=generation)
        self.tables[node] = MemberTable(own, TIMING, self.now)
        self.join(node)

    def join(self, node: str) -> None:
        """Exchange tables with a random running process."""
        others = [name for name in self.tables if name != node]
        if others:
            self.exchange_tables(node, self.random.choice(others))

    def exchange_tables(self, first: str, second: str) -> None:
        for source, target in ((first, second), (second, first)):
            for member in tuple(self.tables[source].members.values()):
                self.tables[target].merge(member, self.now)

    def step(self, kind: str) -> None:
        self.now += self.random.random()
        node = self.random.choice(NODES)
        other = self.random.choice(NODES)
        table = self.tables[node]
        if kind == 'restart':
            self.restart(node)
        elif kind == 'leave':
            table.leave(self.now)
        elif kind == 'expire':
            self.now += 3
            table.expire(self.now)
        elif kind == 'suspect':
            table.suspect(other, self.now)
        else:
            self.gossip(table, other)

    def gossip(self, table: MemberTable, target: str) -> None:
        for member in table.queue.next_batch(len(NODES)):
            copies = self.random.randrange(3)
            self.in_flight.extend((target, member) for _ in range(copies))
        self.random.shuffle(self.in_flight)
        for _ in range(len(self.in_flight) // 2):
            receiver, member = self.in_flight.pop()
            self.tables[receiver].merge(member, self.now)

    def synchronise_all(self) -> None:
        """Exchange all tables until they no longer change."""
        self.exchange_all()
        self.restart_superseded()
        for _ in range(4):
            self.exchange_all()

    def exchange_all(self) -> None:
        for first in NODES:
            for second in NODES:
                self.exchange_tables(first, second)

    def restart_superseded(self) -> None:
        """Restart processes that have left as their supervisors would.

        A process may only take itself for superseded if it has first heard of
        its earlier run after `join_grace`: it can't tell that run from a later
        one then, and must not outlive a later one.
        """
        for node in NODES:
            if self.tables[node].superseded:
                assert self.now - self.tables[node].started > TIMING.join_grace
                self.restart(node)


class TestConvergence:
    @settings(max_examples=150)
    @given(st.lists(STEPS, max_size=60), st.integers(0, 10**6))
    def test_tables_converge_to_the_running_processes(
        self, steps: list[str], seed: int
    ) -> None:
        network = Network(seed)
        for kind in steps:
            network.step(kind)
            network.restart_superseded()
        network.synchronise_all()
        running = {table.own for table in network.tables.values()}
        for table in network.tables.values():
            assert not table.superseded
            assert set(table.members.values()) == running
            assert table.digest == network.tables['e1'].digest

    @given(st.lists(st.sampled_from(State), max_size=6), st.randoms())
    def test_merge_is_independent_of_order(
        self, states: list[State], shuffler: random.Random
    ) -> None:
        members = [
            make_member('e2', run, version=version, state=int(state))
            for run in ('a', 'b')
            for version, state in enumerate(states)
        ]
        tables = []
        for _ in range(2):
            shuffler.shuffle(members)
            table = MemberTable(make_member('e1'), TIMING, 0)
            for member in members + members:
                table.merge(member, 0)
            tables.append(table)
        assert tables[0].members == tables[1].members
        assert tables[0].digest == tables[1].digest


class TestTable:
    def test_record_of_an_older_run_is_ignored(self) -> None:
        table = MemberTable(make_member('e1'), TIMING, 0)
        newer = make_member('e2', 'new', generation=2)
        table.merge(newer, 0)
        older = make_member('e2', 'old', version=99)
        assert table.merge(older, 1) is None
        left = newer._replace(state=int(State.left), leaving=True)
        assert table.merge(left, 2) is left
        assert table.merge(older, 3) is None
        assert table.merge(newer._replace(version=50), 3) is None

    def test_paused_older_run_is_superseded(self) -> None:
        table = MemberTable(make_member('e1', 'old'), TIMING, 0)
        assert (
            table.merge(make_member('e1', 'new', generation=2), AFTER_GRACE)
            is None
        )
        assert table.superseded

    def test_newer_run_raises_its_generation(self) -> None:
        table = MemberTable(make_member('e1', 'new'), TIMING, 0)
        earlier = make_member('e1', 'old', generation=7, state=int(State.dead))
        own = table.merge(earlier, 1)
        assert own is not None
        assert own.precedence() > earlier.precedence()
        assert own.incarnation == 'new'

    def test_suspect_is_declared_dead_unless_it_refutes(self) -> None:
        table = MemberTable(make_member('e1'), TIMING, 0)
        table.merge(make_member('e2'), 0)
        table.merge(make_member('e3'), 0)
        table.suspect('e2', 1)
        table.suspect('e3', 1)
        table.merge(make_member('e3', version=1), 2)
        assert [member.node for member in table.expire(6)] == ['e2']
        table.merge(make_member('e2', version=1), 7)
        assert table.members['e2'].state == State.alive

    def test_own_suspicion_is_refuted(self) -> None:
        table = MemberTable(make_member('e1'), TIMING, 0)
        claim = make_member('e1', version=4, state=int(State.dead))
        own = table.merge(claim, 0)
        assert own == make_member('e1', version=5)

    def test_tombstones_are_dropped_after_retention(self) -> None:
        table = MemberTable(make_member('e1'), TIMING, 0)
        table.merge(make_member('e2', state=int(State.left)), 0)
        table.expire(TIMING.retention + 1)
        assert 'e2' not in table.members

    def test_malformed_record_is_dropped(self) -> None:
        table = MemberTable(make_member('e1'), TIMING, 0)
        assert table.merge(make_member('e2', role='judge'), 0) is None
        assert table.merge(make_member('e2', state=9), 0) is None
        assert table.merge(make_member('e2', service='x' * 999), 0) is None


class TestEndedRuns:
    def make_table(self) -> MemberTable:
        table = MemberTable(make_member('e1'), TIMING, 0)
        table.merge(make_member('e2', 'old'), 0)
        return table

    def test_unreachable_run_is_not_gone(self) -> None:
        table = self.make_table()
        table.suspect('e2', 1)
        assert not table.is_gone('127.0.0.1:2', 'old', 5)
        table.expire(10)
        assert not table.is_gone('127.0.0.1:2', 'old', 11)

    def test_run_that_stays_dead_is_gone(self) -> None:
        table = self.make_table()
        table.suspect('e2', 1)
        table.expire(10)
        table.expire(100)
        assert table.is_gone('127.0.0.1:2', 'old', 100)
        assert [run.incarnation for run in table.runs.unreported] == ['old']

    def test_replaced_run_is_gone(self) -> None:
        table = self.make_table()
        table.merge(make_member('e2', 'new', generation=2), 1)
        assert table.is_gone('127.0.0.1:2', 'old', 1)
        assert not table.is_gone('127.0.0.1:2', 'new', 1)

    def test_run_that_left_is_gone(self) -> None:
        table = self.make_table()
        table.merge(make_member('e2', 'old', state=int(State.left)), 1)
        assert table.is_gone('127.0.0.1:2', 'old', 1)

    def test_unknown_run_is_gone_after_a_timeout(self) -> None:
        table = self.make_table()
        assert not table.is_gone('127.0.0.1:2', 'new', 500)
        assert not table.is_gone('127.0.0.1:9', 'new', 500)
        assert table.is_gone('127.0.0.1:2', 'new', 511)
        assert not table.is_gone('127.0.0.1:9', 'new', 511)
        assert table.is_gone('127.0.0.1:9', 'new', 561)


class TestGossipQueue:
    @given(st.integers(1, 5000))
    def test_update_is_sent_a_logarithmic_number_of_times(
        self, population: int
    ) -> None:
        queue = GossipQueue()
        queue.put(make_member('e2'))
        times = 0
        while queue.next_batch(population):
            times += 1
        assert times <= 3 * (population.bit_length() + 2)

    def test_queue_is_bounded(self) -> None:
        queue = GossipQueue()
        for number in range(MAX_QUEUED + 100):
            queue.put(make_member(f'e{number}'))
        assert len(queue.members) == len(queue.send_counts) == MAX_QUEUED
