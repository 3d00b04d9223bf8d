"""Tests of the choice of entries."""

from __future__ import annotations

from collections import Counter, defaultdict

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.membership.entry_subset import (
    HOLD_TIME,
    MIGRATION_TIME,
    EntrySubset,
    choose_entries,
)
from jackdawridge.membership.messages import State
from tests.test_membership.members import make_entries, make_member

SIDES = 4000
ENTRIES = 60
DOMAINS = 7
SHARE = 5


class TestChooseEntries:
    @given(st.integers(0, 80), st.integers(1, 8), st.text(max_size=8))
    def test_side_is_covered(self, count: int, wanted: int, side: str) -> None:
        chosen = choose_entries(side, make_entries(count), wanted)
        assert len({entry.node for entry in chosen}) == min(count, wanted)

    def test_load_and_failure_domains_at_full_size(self) -> None:
        entries = make_entries(ENTRIES, DOMAINS)
        load: Counter[str] = Counter()
        domains: defaultdict[str, set[int]] = defaultdict(set)
        for number in range(SIDES):
            chosen = choose_entries(f'side-{number}', entries, SHARE)
            assert len({entry.failure_domain for entry in chosen}) > 1
            for entry in chosen:
                load[entry.node] += 1
                domains[entry.node].add(number % DOMAINS)
        mean = SIDES * SHARE / ENTRIES
        assert max(load.values()) < mean * 1.25
        assert min(load.values()) > mean * 0.75
        assert all(len(known) == DOMAINS for known in domains.values())

    def test_only_sides_of_a_lost_entry_move(self) -> None:
        entries = make_entries(ENTRIES, DOMAINS)
        moved = 0
        for number in range(1000):
            before = choose_entries(f'side-{number}', entries, SHARE)
            after = choose_entries(f'side-{number}', entries[1:], SHARE)
            gained = {entry.node for entry in after} - {
                entry.node for entry in before
            }
            moved += len(gained)
        assert moved < 1000 * SHARE / ENTRIES * 1.5


class TestEntryChoice:
    def make_choice(self) -> tuple[EntrySubset, set[str]]:
        choice = EntrySubset('side-1', SHARE)
        choice.update(make_entries(ENTRIES), set(), 0)
        linked = set(choice.chosen)
        assert len(linked) == SHARE
        return choice, linked

    def test_restart_of_an_entry_moves_nobody(self) -> None:
        choice, linked = self.make_choice()
        lost = min(linked)
        entries = make_entries(ENTRIES)
        ended = [
            entry._replace(state=int(State.dead))
            if entry.node == lost
            else entry
            for entry in entries
        ]
        choice.update(ended, linked - {lost}, 1)
        choice.update(ended, linked - {lost}, HOLD_TIME - 1)
        assert set(choice.chosen) == linked
        choice.update(entries, linked, HOLD_TIME)
        assert set(choice.chosen) == linked

    def test_lost_entry_is_replaced(self) -> None:
        choice, linked = self.make_choice()
        lost = min(linked)
        entries = [
            entry for entry in make_entries(ENTRIES) if entry.node != lost
        ]
        choice.update(entries, linked - {lost}, 1)
        choice.update(entries, linked - {lost}, 2)
        assert lost not in choice.chosen
        assert len(choice.chosen) == SHARE

    def test_leaving_entry_keeps_its_link(self) -> None:
        choice, linked = self.make_choice()
        lost = min(linked)
        entries = [
            entry._replace(leaving=entry.node == lost)
            for entry in make_entries(ENTRIES)
        ]
        choice.update(entries, linked, 1)
        assert lost in choice.chosen
        assert len(choice.chosen) == SHARE + 1
        choice.update(entries, set(choice.chosen) - {lost}, 2)
        assert lost not in choice.chosen

    def test_unreachable_entry_is_stood_in_for(self) -> None:
        choice, linked = self.make_choice()
        lost = min(linked)
        entries = make_entries(ENTRIES)
        choice.update(entries, linked - {lost}, 1)
        choice.update(entries, linked - {lost}, HOLD_TIME + 1)
        assert len(choice.chosen) == SHARE + 1
        assert lost in choice.chosen

    @given(st.text(max_size=6), st.integers(0, 5))
    def test_new_entries_are_taken_in_time(self, side: str, new: int) -> None:
        choice = EntrySubset(side, SHARE)
        choice.update(make_entries(6), set(), 0)
        linked = set(choice.chosen)
        entries = make_entries(6 + new)
        now: float = 0
        while now < MIGRATION_TIME + 2:
            now += 1
            choice.update(entries, linked, now)
            linked = set(choice.chosen)
            assert len(linked) >= SHARE
        expected = {
            entry.node for entry in choose_entries(side, entries, SHARE)
        }
        assert set(choice.chosen) == expected

    @given(st.lists(st.integers(0, 3), max_size=40), st.data())
    def test_all_reachable_entries_are_used(
        self, kinds: list[int], data: st.DataObject
    ) -> None:
        choice = EntrySubset('side-1', SHARE)
        now: float = 0
        entries = make_entries(8)
        linked: set[str] = set()
        for kind in kinds:
            now += data.draw(st.floats(0, 20))
            position = data.draw(st.integers(0, 7))
            state = int(State(kind))
            entries[position] = make_member(f'e{position}', state=state)
            choice.update(entries, linked, now)
            linked = set(choice.chosen) - {f'e{position}'}
        alive = {entry.node for entry in entries if entry.is_present()}
        for _ in range(4):
            now += MIGRATION_TIME
            choice.update(entries, alive & set(choice.chosen), now)
        assert len(set(choice.chosen) & alive) == min(SHARE, len(alive))
