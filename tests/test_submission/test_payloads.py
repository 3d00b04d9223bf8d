"""Tests of the memory limit for the payloads of open jobs."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.submission.jobs import JobSpec, TaskSpec
from jackdawridge.submission.payloads import PayloadMemory

LIMIT = 1000
TEAMS = ('a', 'b', 'c')


def make_spec(team: str, sizes: list[int]) -> JobSpec:
    tasks = tuple(TaskSpec('kind', 1, 1, 0, 1, b'x' * size) for size in sizes)
    return JobSpec(team, '', 0, tasks)


class TestLimit:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(TEAMS),
                st.lists(st.integers(0, 300), min_size=1, max_size=4),
                st.integers(0, 9),
            ),
            max_size=60,
        )
    )
    def test_limit_is_exact(
        self, steps: list[tuple[str, list[int], int]]
    ) -> None:
        memory = PayloadMemory(LIMIT)
        held: dict[str, tuple[str, int]] = {}
        for number, (team, sizes, ended) in enumerate(steps):
            total = sum(size for _, size in held.values())
            own = sum(size for name, size in held.values() if name == team)
            size = sum(sizes)
            fits = total + size <= LIMIT and own + size <= LIMIT // 2
            refusal = memory.reserve(f'{number}', make_spec(team, sizes))
            assert (not refusal) == fits
            if fits:
                held[f'{number}'] = (team, size)
            memory.release(f'{ended}')
            held.pop(f'{ended}', None)
            assert memory.used == sum(kept for _, kept in held.values())
            assert memory.used <= LIMIT
        for ticket in held:
            memory.release(ticket)
        assert memory.used == 0
        assert +memory.by_team == Counter()


class TestTeams:
    def test_one_team_leaves_memory_for_another(self) -> None:
        memory = PayloadMemory(LIMIT)
        assert not memory.reserve('1', make_spec('a', [500]))
        assert "team 'a' uses 500 of 500" in memory.reserve(
            '2', make_spec('a', [1])
        )
        assert not memory.reserve('3', make_spec('b', [400]))
        assert '900 of 1000 are in use' in memory.reserve(
            '4', make_spec('c', [101])
        )
