"""Tests of the turns of heartbeats."""

from __future__ import annotations

from collections import defaultdict

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.execution.turns import TURNS, Turns

INTERVAL = 3.0


class TestTurns:
    @given(st.lists(st.integers(0, 20), min_size=1, max_size=8), st.integers())
    def test_each_entry_is_sent_to_in_each_interval(
        self, joins: list[int], lateness: int
    ) -> None:
        turns = Turns(INTERVAL)
        last: dict[str, float] = {}
        gaps: defaultdict[str, list[float]] = defaultdict(list)
        for turn in range(80):
            now = turn * INTERVAL / TURNS + lateness % 7 / 70
            for number, at in enumerate(joins):
                if at == turn:
                    turns.join(f'entry-{number}', now)
                    last[f'entry-{number}'] = now
            for entry in turns.take(tuple(last), now):
                gaps[entry].append(now - last[entry])
                last[entry] = now
        for found in gaps.values():
            assert max(found) <= INTERVAL + 0.2
            assert min(found[1:]) >= INTERVAL / 2

    def test_entries_take_turns(self) -> None:
        turns = Turns(INTERVAL)
        for number in range(TURNS):
            turns.join(f'entry-{number}', 0)
        due = [
            turns.take(tuple(turns.due), turn * INTERVAL / TURNS)
            for turn in range(1, 2 * TURNS + 1)
        ]
        assert {len(entries) for entries in due} == {1}
