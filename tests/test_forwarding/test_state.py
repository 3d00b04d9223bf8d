"""Tests of budgets, queues, load balancing, policies and the gate."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.forwarding import side_effects
from jackdawridge.forwarding.budget import (
    MIN_HEDGE_DELAY,
    MIN_LATENCIES,
    LatencyWindow,
    RepeatBudget,
)
from jackdawridge.forwarding.gate import RETENTION_TIME, Gate
from jackdawridge.forwarding.identity import EntryId, RequestKey, SideId
from jackdawridge.forwarding.messages import Load, Request
from jackdawridge.forwarding.minions import EJECTION_FAILURES, Minion, MinionSet
from jackdawridge.forwarding.policy import (
    DEFAULT_TIMEOUT,
    ServicePolicy,
    parse_deadline,
)
from jackdawridge.forwarding.queues import TeamQueues

ENTRY = EntryId('entry', 'first')


class TestRepeatBudget:
    @given(st.lists(st.booleans(), max_size=400))
    def test_repeats_stay_a_fraction_of_first_tries(
        self, tries: list[bool]
    ) -> None:
        budget = RepeatBudget(fraction=0.1, initial=3, maximum=5)
        first, repeats = 0, 0
        for is_first in tries:
            if is_first:
                budget.deposit()
                first += 1
            else:
                repeats += budget.spend()
            assert repeats <= 3 + 0.1 * first + 1e-9


class TestLatencyWindow:
    def test_no_hedge_delay_below_the_minimum_of_latencies(self) -> None:
        window = LatencyWindow()
        for _ in range(MIN_LATENCIES - 1):
            window.add(0.1)
        assert window.hedge_delay is None

    @given(st.lists(st.floats(0, 10), min_size=96, max_size=300))
    def test_few_answers_are_slower_than_the_hedge_delay(
        self, latencies: list[float]
    ) -> None:
        window = LatencyWindow()
        for latency in latencies:
            window.add(latency)
        window.refresh()
        assert window.hedge_delay is not None
        assert window.hedge_delay >= MIN_HEDGE_DELAY
        slower = [each for each in latencies if each > window.hedge_delay]
        assert len(slower) <= len(latencies) / 20


class TestTeamQueues:
    @given(
        st.lists(
            st.one_of(st.none(), st.sampled_from(['a', 'b', 'c'])),
            max_size=100,
        )
    )
    def test_each_team_is_served_in_its_order(
        self, actions: list[str | None]
    ) -> None:
        queues: TeamQueues[tuple[str, int]] = TeamQueues(limit=8)
        served: dict[str, int] = {}
        for number, team in enumerate(actions):
            if team is None:
                waiting = queues.pop()
                if waiting is not None:
                    assert served.get(waiting[0], -1) < waiting[1]
                    served[waiting[0]] = waiting[1]
            else:
                queues.push(team, (team, number))
            queued = sum(
                len(team_queue.waiting)
                for team_queue in queues.by_team.values()
            )
            assert queues.size == queued
            assert queued <= 8

    def test_longest_queue_is_evicted_for_a_small_team(self) -> None:
        queues: TeamQueues[int] = TeamQueues(limit=10)
        for number in range(10):
            queues.push('flood', number)
        assert not queues.push('flood', 10).accepted
        assert queues.push('small', 11).evicted == 9
        assert 11 in {queues.pop(), queues.pop()}

    def test_teams_are_served_by_weight(self) -> None:
        queues: TeamQueues[str] = TeamQueues(limit=100)
        for _ in range(40):
            queues.push('heavy', 'heavy')
            queues.push('light', 'light')
        served = [
            queues.pop({'heavy': 3.0, 'light': 1.0}.__getitem__)
            for _ in range(20)
        ]
        assert served.count('heavy') in {14, 15, 16}


class TestMinionSet:
    def make(self, count: int) -> MinionSet:
        minions = MinionSet('near', random.Random(0), set())
        for number in range(count):
            side = SideId(f'side-{number}', 'first')
            domain = 'near' if number % 2 else 'far'
            minions.by_side[side] = Minion(side, domain, 8)
        return minions

    def test_least_loaded_is_chosen_then_the_nearest(self) -> None:
        minions = self.make(4)
        busy = list(minions.by_side.values())
        busy[1].in_flight.update(range(6))
        chosen = minions.choose(0)
        assert chosen is busy[3]

    def test_out_of_service_and_draining_minions_are_not_usable(self) -> None:
        minions = self.make(4)
        minions.out_of_service.add('near')
        first = list(minions.by_side.values())[0]
        first.update_load(Load(0, 0, False), 0)
        assert minions.usable(0) == [list(minions.by_side.values())[2]]

    def test_reported_load_decays(self) -> None:
        minions = self.make(1)
        first = list(minions.by_side.values())[0]
        first.update_load(Load(8, 4, True), 0)
        assert minions.choose(0) is None
        assert minions.choose(1) is first
        assert minions.choose(1e9) is first

    @given(
        st.integers(1, 12),
        st.lists(st.tuples(st.integers(0, 11), st.booleans()), max_size=200),
    )
    def test_most_minions_are_never_ejected(
        self, count: int, events: list[tuple[int, bool]]
    ) -> None:
        minions = self.make(count)
        views = list(minions.by_side.values())
        for step, (number, failed) in enumerate(events):
            minion = views[number % count]
            if failed:
                minions.record_failure(minion, step / 100)
            else:
                minion.record_latency(0.1)
            assert len(minions.usable(step / 100)) >= count * 0.66

    def test_failing_minion_is_ejected_and_returns(self) -> None:
        minions = self.make(4)
        first = list(minions.by_side.values())[0]
        for _ in range(EJECTION_FAILURES):
            minions.record_failure(first, 0)
        assert first not in minions.usable(0.5)
        assert first in minions.usable(1.5)


class TestServicePolicy:
    def test_method_decides_without_a_record(self) -> None:
        policy = ServicePolicy.from_record(None)
        assert policy.is_repeatable('GET', has_key=False)
        assert not policy.is_repeatable('POST', has_key=True)

    def test_record_overrides_the_method(self) -> None:
        record = {
            'idempotent_methods': ['post'],
            'non_idempotent_methods': ['GET'],
            'timeout': -1,
        }
        policy = ServicePolicy.from_record(record)
        assert policy.is_repeatable('POST', has_key=False)
        assert not policy.is_repeatable('GET', has_key=True)
        assert policy.is_repeatable('PUT', has_key=False)
        assert policy.timeout == DEFAULT_TIMEOUT

    def test_key_counts_where_minions_honour_it(self) -> None:
        policy = ServicePolicy.from_record({'idempotency_key': True})
        assert policy.is_repeatable('POST', has_key=True)
        assert not policy.is_repeatable('POST', has_key=False)

    @pytest.mark.parametrize(
        ('text', 'expected'),
        [
            (None, 7),
            ('250', 0.25),
            ('0', None),
            ('-5', None),
            ('1e3', None),
            ('٣', None),
            ('999999999999', None),
        ],
    )
    def test_deadline(self, text: str | None, expected: float | None) -> None:
        assert parse_deadline(text, 7) == expected


class TestGate:
    def request(self, number: int, remaining: float = 5) -> Request:
        return Request(number, 'GET', '/', (), b'', 0, remaining, True)

    def test_slots_then_queue_then_refusal(self) -> None:
        gate = Gate(slots=2, queue_limit=1)
        for number in range(1, 5):
            gate.receive(ENTRY, self.request(number), 0)
        first, second, refusal = gate.outbox
        assert isinstance(first, side_effects.Run)
        assert isinstance(second, side_effects.Run)
        assert isinstance(refusal, side_effects.Refuse)
        assert gate.load() == Load(2, 1, True)

    def test_waiting_request_is_refused_past_its_deadline(self) -> None:
        gate = Gate(slots=1, queue_limit=1)
        gate.receive(ENTRY, self.request(1), 0)
        gate.receive(ENTRY, self.request(2, remaining=1), 0)
        gate.tick(1.1)
        assert isinstance(gate.outbox[-1], side_effects.Refuse)
        assert gate.outbox[-1].key == RequestKey(ENTRY, 2)

    def test_unavailability_refuses_waiting_and_keeps_running(self) -> None:
        gate = Gate(slots=1, queue_limit=1)
        gate.receive(ENTRY, self.request(1), 0)
        gate.receive(ENTRY, self.request(2), 0)
        gate.update_availability('draining', 0)
        gate.receive(ENTRY, self.request(3), 0)
        refused = [
            effect.key.number
            for effect in gate.outbox
            if isinstance(effect, side_effects.Refuse)
        ]
        assert refused == [2, 3]
        assert gate.load() == Load(1, 0, False)

    def test_expired_number_is_lost_and_never_run_again(self) -> None:
        gate = Gate(slots=1, queue_limit=1)
        gate.receive(ENTRY, self.request(1), 0)
        gate.request_finished(RequestKey(ENTRY, 1), None, 0)
        gate.tick(RETENTION_TIME)
        gate.receive(ENTRY, self.request(1), RETENTION_TIME)
        gate.resolve(ENTRY, (1,), RETENTION_TIME)
        lost, resolved = gate.outbox[-2:]
        assert isinstance(lost, side_effects.ReportLost)
        assert resolved == side_effects.Resolved(ENTRY, (), (), (1,))

    def test_resolved_number_is_fenced(self) -> None:
        gate = Gate(slots=1, queue_limit=1)
        gate.resolve(ENTRY, (1, 2), 0)
        assert gate.outbox[-1] == side_effects.Resolved(ENTRY, (), (1, 2), ())
        gate.receive(ENTRY, self.request(2), 0)
        assert not isinstance(gate.outbox[-1], side_effects.Run)
        assert not gate.running

    def test_refused_number_is_refused_again(self) -> None:
        gate = Gate(slots=1, queue_limit=0)
        gate.receive(ENTRY, self.request(1), 0)
        gate.receive(ENTRY, self.request(2), 0)
        gate.request_finished(RequestKey(ENTRY, 1), None, 0)
        gate.receive(ENTRY, self.request(2), 0)
        assert isinstance(gate.outbox[-1], side_effects.Refuse)
        assert not gate.running
