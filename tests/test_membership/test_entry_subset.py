"""Tests for the selection of the entries that a side links to."""

from __future__ import annotations

from collections import Counter, defaultdict

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.membership.entry_subset import (
    HOLD_TIME,
    MAX_RELEASE_TIME,
    MIGRATION_TIME,
    RELEASE_TIME,
    SETTLING_TIME,
    EntrySubset,
    choose_entries,
)
from jackdawridge.membership.messages import State
from tests.test_membership.members import make_entries, make_member

SIDES = 4000
ENTRIES = 60
DOMAINS = 7
ENTRIES_PER_SIDE = 5


class TestChooseEntries:
    @given(st.integers(0, 80), st.integers(1, 8), st.text(max_size=8))
    def test_side_gets_distinct_entries(
        self, count: int, wanted: int, side: str
    ) -> None:
        chosen = choose_entries(side, make_entries(count), wanted)
        assert len({entry.node for entry in chosen}) == min(count, wanted)

    def test_load_and_failure_domains_are_balanced(self) -> None:
        entries = make_entries(ENTRIES, DOMAINS)
        load: Counter[str] = Counter()
        domains: defaultdict[str, set[int]] = defaultdict(set)
        for number in range(SIDES):
            chosen = choose_entries(f'side-{number}', entries, ENTRIES_PER_SIDE)
            assert len({entry.failure_domain for entry in chosen}) > 1
            for entry in chosen:
                load[entry.node] += 1
                domains[entry.node].add(number % DOMAINS)
        mean = SIDES * ENTRIES_PER_SIDE / ENTRIES
        assert max(load.values()) < mean * 1.25
        assert min(load.values()) > mean * 0.75
        assert all(len(known) == DOMAINS for known in domains.values())

    def test_only_sides_of_a_removed_entry_move(self) -> None:
        entries = make_entries(ENTRIES, DOMAINS)
        moved = 0
        for number in range(1000):
            before = choose_entries(f'side-{number}', entries, ENTRIES_PER_SIDE)
            after = choose_entries(
                f'side-{number}', entries[1:], ENTRIES_PER_SIDE
            )
            gained = {entry.node for entry in after} - {
                entry.node for entry in before
            }
            moved += len(gained)
        assert moved < 1000 * ENTRIES_PER_SIDE / ENTRIES * 1.5


class FakeUsage:
    """Usage of links that tests set, and the entries that were released."""

    def __init__(self) -> None:
        self.busy: set[str] = set()
        self.released: set[str] = set()

    def is_idle(self, node: str) -> bool:
        return node not in self.busy

    def announce_release(self, node: str, *, is_released: bool) -> None:
        if is_released:
            self.released.add(node)
        else:
            self.released.remove(node)


class TestEntrySubset:
    def make_subset(self) -> tuple[EntrySubset, set[str]]:
        subset = EntrySubset('side-1', ENTRIES_PER_SIDE)
        subset.update(make_entries(ENTRIES), set(), 0)
        linked = set(subset.chosen)
        assert len(linked) == ENTRIES_PER_SIDE
        return subset, linked

    def test_restart_of_an_entry_moves_no_sides(self) -> None:
        subset, linked = self.make_subset()
        restarted = min(linked)
        entries = make_entries(ENTRIES)
        ended = [
            entry._replace(state=int(State.dead))
            if entry.node == restarted
            else entry
            for entry in entries
        ]
        subset.update(ended, linked - {restarted}, 1)
        subset.update(ended, linked - {restarted}, HOLD_TIME - 1)
        assert set(subset.chosen) == linked
        subset.update(entries, linked, HOLD_TIME)
        assert set(subset.chosen) == linked

    def test_removed_entry_is_replaced(self) -> None:
        subset, linked = self.make_subset()
        removed = min(linked)
        entries = [
            entry for entry in make_entries(ENTRIES) if entry.node != removed
        ]
        subset.update(entries, linked - {removed}, 1)
        subset.update(entries, linked - {removed}, 2)
        assert removed not in subset.chosen
        assert len(subset.chosen) == ENTRIES_PER_SIDE

    def test_leaving_entry_keeps_its_link(self) -> None:
        subset, linked = self.make_subset()
        departing = min(linked)
        entries = [
            entry._replace(leaving=entry.node == departing)
            for entry in make_entries(ENTRIES)
        ]
        subset.update(entries, linked, 1)
        assert departing in subset.chosen
        assert len(subset.chosen) == ENTRIES_PER_SIDE + 1
        subset.update(entries, set(subset.chosen) - {departing}, 2)
        assert departing not in subset.chosen

    def test_unreachable_entry_gets_a_substitute(self) -> None:
        subset, linked = self.make_subset()
        unreachable = min(linked)
        entries = make_entries(ENTRIES)
        subset.update(entries, linked - {unreachable}, 1)
        subset.update(entries, linked - {unreachable}, HOLD_TIME + 1)
        assert len(subset.chosen) == ENTRIES_PER_SIDE + 1
        assert unreachable in subset.chosen

    def test_entries_that_start_with_the_side_are_selected_at_once(
        self,
    ) -> None:
        """A late entry would be without sides for up to `MIGRATION_TIME`."""
        entries = make_entries(ENTRIES)
        subset = EntrySubset('side-1', ENTRIES_PER_SIDE)
        subset.update(entries[:ENTRIES_PER_SIDE], set(), 0)
        subset.update(entries, set(subset.chosen), SETTLING_TIME / 2)
        subset.update(entries, set(subset.chosen), SETTLING_TIME / 2)
        assert len(subset.chosen) > ENTRIES_PER_SIDE
        later = SETTLING_TIME / 2 + RELEASE_TIME
        subset.update(entries, set(subset.chosen), later)
        expected = {
            entry.node
            for entry in choose_entries('side-1', entries, ENTRIES_PER_SIDE)
        }
        assert set(subset.chosen) == expected

    def make_moved_subset(self, usage: FakeUsage) -> tuple[EntrySubset, str]:
        """Return a subset whose side has moved off an entry, and the entry."""
        entries = make_entries(ENTRIES)
        subset = EntrySubset('side-1', ENTRIES_PER_SIDE)
        subset.usage = usage
        subset.update(entries[:ENTRIES_PER_SIDE], set(), 0)
        first = set(subset.chosen)
        subset.update(entries, first, 1)
        subset.update(entries, set(subset.chosen), 1)
        wanted = choose_entries('side-1', entries, ENTRIES_PER_SIDE)
        dropped = first - {entry.node for entry in wanted}
        assert usage.released == dropped
        return subset, min(dropped)

    def test_entry_keeps_its_link_while_its_tasks_run(self) -> None:
        """The entry would lose the outcomes of the tasks that run here."""
        usage = FakeUsage()
        subset, dropped = self.make_moved_subset(usage)
        entries = make_entries(ENTRIES)
        usage.busy.add(dropped)
        later = 1 + 2 * RELEASE_TIME
        subset.update(entries, set(subset.chosen), later)
        assert dropped in subset.chosen
        usage.busy.clear()
        subset.update(entries, set(subset.chosen), later)
        assert dropped not in subset.chosen
        assert len(subset.chosen) == ENTRIES_PER_SIDE

    def test_link_ends_some_time_after_the_release(self) -> None:
        """Starts may still be on their way when the entry is released."""
        subset, dropped = self.make_moved_subset(FakeUsage())
        entries = make_entries(ENTRIES)
        subset.update(entries, set(subset.chosen), 1 + RELEASE_TIME / 2)
        assert dropped in subset.chosen

    def test_busy_entry_is_dropped_in_the_end(self) -> None:
        usage = FakeUsage()
        subset, dropped = self.make_moved_subset(usage)
        usage.busy.add(dropped)
        entries = make_entries(ENTRIES)
        subset.update(entries, set(subset.chosen), 1 + MAX_RELEASE_TIME)
        assert dropped not in subset.chosen

    def test_dropped_entry_stays_released(self) -> None:
        """Its link may not have ended, and it would place tasks again."""
        usage = FakeUsage()
        subset, dropped = self.make_moved_subset(usage)
        entries = make_entries(ENTRIES)
        for now in (1 + RELEASE_TIME, 1 + RELEASE_TIME):
            subset.update(entries, set(subset.chosen), now)
        assert dropped not in subset.chosen
        assert dropped in usage.released

    def test_released_entry_that_is_wanted_again_takes_work(self) -> None:
        usage = FakeUsage()
        subset, dropped = self.make_moved_subset(usage)
        entries = [
            entry
            for entry in make_entries(ENTRIES)
            if entry.node in subset.released_since
        ]
        subset.update(entries, set(subset.chosen), 1.1)
        assert dropped in subset.chosen
        assert dropped not in usage.released

    @given(st.text(max_size=6), st.integers(0, 5))
    def test_new_entries_are_selected_within_migration_time(
        self, side: str, new: int
    ) -> None:
        subset = EntrySubset(side, ENTRIES_PER_SIDE)
        subset.update(make_entries(6), set(), 0)
        linked = set(subset.chosen)
        entries = make_entries(6 + new)
        now: float = 0
        while now < MIGRATION_TIME + 2:
            now += 1
            subset.update(entries, linked, now)
            linked = set(subset.chosen)
            assert len(linked) >= ENTRIES_PER_SIDE
        expected = {
            entry.node
            for entry in choose_entries(side, entries, ENTRIES_PER_SIDE)
        }
        assert set(subset.chosen) == expected

    @given(st.lists(st.integers(0, 3), max_size=40), st.data())
    def test_all_reachable_entries_are_used(
        self, kinds: list[int], data: st.DataObject
    ) -> None:
        subset = EntrySubset('side-1', ENTRIES_PER_SIDE)
        now: float = 0
        entries = make_entries(8)
        linked: set[str] = set()
        for kind in kinds:
            now += data.draw(st.floats(0, 20))
            position = data.draw(st.integers(0, 7))
            state = int(State(kind))
            entries[position] = make_member(f'e{position}', state=state)
            subset.update(entries, linked, now)
            linked = set(subset.chosen) - {f'e{position}'}
        alive = {entry.node for entry in entries if entry.is_present()}
        for _ in range(4):
            now += MIGRATION_TIME
            subset.update(entries, alive & set(subset.chosen), now)
        assert len(set(subset.chosen) & alive) == min(
            ENTRIES_PER_SIDE, len(alive)
        )
