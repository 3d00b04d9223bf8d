"""Tests for probes and silence detection."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.membership.detector import (
    Prober,
    SilenceDetector,
    is_partitioned,
)

ENTRIES = ('e1', 'e2', 'e3')


class TestProber:
    @given(st.integers(1, 60), st.text(max_size=5))
    def test_each_entry_is_probed_once_per_round(
        self, size: int, seed: str
    ) -> None:
        nodes = [f'e{number}' for number in range(size)]
        prober = Prober(seed)
        targets = []
        for _ in nodes:
            plan = prober.advance(nodes)
            targets.append(plan.target)
            prober.record_reply(plan.number)
        assert sorted(targets) == sorted(nodes)

    def test_silent_entry_fails_after_indirect_probes(self) -> None:
        prober = Prober('')
        first = prober.advance(ENTRIES)
        second = prober.advance(ENTRIES)
        assert [node for node, _ in second.indirect] == [first.target]
        third = prober.advance(ENTRIES)
        assert third.failed == (first.target,)

    def test_late_answer_clears_the_failure(self) -> None:
        prober = Prober('')
        first = prober.advance(ENTRIES)
        prober.advance(ENTRIES)
        prober.record_reply(first.number)
        assert not prober.advance(ENTRIES).failed

    def test_answer_through_another_clears_the_failure(self) -> None:
        prober = Prober('')
        prober.advance(ENTRIES)
        second = prober.advance(ENTRIES)
        prober.record_reply(second.indirect[0][1])
        assert not prober.advance(ENTRIES).failed

    def test_probe_over_a_replaced_link_does_not_count(
        self,
    ) -> None:
        prober = Prober('')
        first = prober.advance(ENTRIES)
        prober.discard_probes(first.target)
        assert not prober.advance(ENTRIES).indirect
        prober = Prober('')
        first = prober.advance(ENTRIES)
        prober.advance(ENTRIES)
        prober.discard_probes(first.target)
        assert not prober.advance(ENTRIES).failed

    def test_discarded_probe_is_repeated(self) -> None:
        prober = Prober('')
        first = prober.advance(('e1',))
        prober.discard_probes('e1')
        again = prober.advance(('e1',))
        assert again.target == first.target
        assert again.number != first.number

    def test_relayed_answer_goes_to_its_origin(self) -> None:
        prober = Prober('')
        number = prober.add_relay('e2', 17)
        relay = prober.record_reply(number)
        assert relay is not None
        assert (relay.origin, relay.number) == ('e2', 17)
        assert prober.record_reply(number) is None


class TestSilenceDetector:
    def test_silent_peer_is_reported(self) -> None:
        detector = SilenceDetector(3)
        silent = [
            detector.find_silent({'s1': second, 's2': 5}, second)
            for second in range(5)
        ]
        assert silent == [[], [], [], ['s2'], ['s2']]

    def test_own_pause_does_not_count_as_silence(self) -> None:
        detector = SilenceDetector(3)
        detector.find_silent({'s1': 5}, 0)
        assert not detector.find_silent({'s1': 5}, 100)
        assert not detector.find_silent({'s1': 5}, 101)

    def test_silence_of_most_peers_means_partition(self) -> None:
        assert is_partitioned(silent=10, watched=10)
        assert not is_partitioned(silent=5, watched=10)
        assert not is_partitioned(silent=1, watched=1)
