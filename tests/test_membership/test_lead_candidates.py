"""Tests for the selection of the entries that can decide for a fleet."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any
from unittest.mock import Mock

import pytest

from jackdawridge.coordination.candidates import CandidateFinder
from jackdawridge.membership.entry_subset import (
    HOLD_TIME,
    LEAD_MIGRATION_TIME,
    MIGRATION_TIME,
    SETTLING_TIME,
    EntrySubset,
    rendezvous_weight,
)
from jackdawridge.membership.lead_candidates import (
    MAX_ENTRIES_PER_LEAD,
    PresentCandidates,
    choose_lead_candidates,
)
from jackdawridge.membership.messages import Member, State
from jackdawridge.membership.side_monitor import SideMonitor
from jackdawridge.membership.table import MemberTable, Timing
from tests.test_membership.members import make_entries, make_member

COUNT = 2
ENTRIES_PER_SIDE = 5


def make_fleet() -> list[Member]:
    """Return ten entries in three failure domains, four of them small."""
    return [
        entry._replace(capacity=0.5 if number >= 6 else 2.15)
        for number, entry in enumerate(make_entries(10, 3))
    ]


def nodes_of(entries: list[Member]) -> set[str]:
    """Return the nodes of entries."""
    return {entry.node for entry in entries}


class TestChooseLeadCandidates:
    def test_large_entries_of_several_failure_domains_are_chosen(self) -> None:
        chosen = choose_lead_candidates(make_fleet(), COUNT)
        assert {entry.capacity for entry in chosen} == {2.15}
        assert len({entry.failure_domain for entry in chosen}) == COUNT

    def test_only_large_entry_has_no_small_substitute(self) -> None:
        entries = make_fleet()[5:]
        assert choose_lead_candidates(entries, COUNT) == entries[:1]

    def test_entries_of_unknown_capacity_are_chosen(self) -> None:
        """Entries of an earlier version don't tell it."""
        assert len(choose_lead_candidates(make_entries(10), COUNT)) == COUNT

    def test_large_fleet_has_none(self) -> None:
        entries = make_entries(MAX_ENTRIES_PER_LEAD + 1)
        assert not choose_lead_candidates(entries, COUNT)

    def test_none_are_wanted(self) -> None:
        assert not choose_lead_candidates(make_fleet(), 0)


class TestPresentCandidates:
    def test_absent_entry_has_no_substitute_at_first(self) -> None:
        """Sides link to the substitute after they have given it up."""
        candidates = PresentCandidates(COUNT, HOLD_TIME)
        before = candidates.update(make_fleet(), 0)
        rest = [entry for entry in make_fleet() if entry.node != min(before)]
        assert candidates.update(rest, HOLD_TIME) == before
        after = candidates.update(rest, HOLD_TIME + 1)
        assert after == nodes_of(choose_lead_candidates(rest, COUNT))


class TestSidesOfLead:
    """All sides link to the same candidates."""

    def make_subset(self, side: str, lead_links: int = COUNT) -> EntrySubset:
        subset = EntrySubset(side, ENTRIES_PER_SIDE, lead_links)
        subset.update(make_fleet(), set(), 0)
        return subset

    def test_all_sides_link_to_the_candidates(self) -> None:
        wanted = nodes_of(choose_lead_candidates(make_fleet(), COUNT))
        linked: set[str] = set()
        for number in range(40):
            chosen = self.make_subset(f's{number}').chosen
            assert wanted <= chosen
            assert len(chosen) == ENTRIES_PER_SIDE
            linked |= chosen
        assert linked == nodes_of(make_fleet())

    def test_some_links_are_to_other_entries(self) -> None:
        """An entry without sides could place nothing."""
        subset = self.make_subset('s1', ENTRIES_PER_SIDE)
        assert len(subset.lead_candidates) < ENTRIES_PER_SIDE

    def test_sides_soon_link_to_a_new_candidate(self) -> None:
        larger = make_member('e99', capacity=8)
        for number in range(20):
            subset = self.make_subset(f's{number}')
            now = SETTLING_TIME + 1
            subset.update([*make_fleet(), larger], subset.chosen, now)
            now += LEAD_MIGRATION_TIME
            assert LEAD_MIGRATION_TIME < MIGRATION_TIME / 2
            subset.update([*make_fleet(), larger], subset.chosen, now)
            assert larger.node in subset.chosen


class TestMonitoredSides:
    """An entry suspects sides that should be linked to it but aren't."""

    def expected_sides(self, entry: Member, lead_links: int) -> set[str]:
        table = MemberTable(entry, Timing(1), 0)
        sides = [make_member(f's{number}', role='side') for number in range(30)]
        for member in (*make_fleet(), *sides):
            table.merge(member, 0)
        monitor = SideMonitor(entry.node, ENTRIES_PER_SIDE, 1, lead_links)
        return {
            side.node for side in sides if monitor.is_expected(table, side.node)
        }

    def test_sides_of_earlier_and_present_versions_are_expected(self) -> None:
        """A side links to other entries in an earlier version."""
        for entry in make_fleet():
            earlier = self.expected_sides(entry, 0)
            expected = self.expected_sides(entry, COUNT)
            assert expected <= earlier
            for side in expected:
                subset = EntrySubset(side, ENTRIES_PER_SIDE, COUNT)
                assert entry.node in subset.update(make_fleet(), (), 0)

    def test_each_side_is_expected_by_several_entries(self) -> None:
        expected = Counter(
            side
            for entry in make_fleet()
            for side in self.expected_sides(entry, COUNT)
        )
        assert len(expected) == 30
        assert min(expected.values()) > 1


class TestCapacity:
    def test_capacity_is_learned_from_a_later_copy(self) -> None:
        """A process of an earlier version passes records on without it."""
        table = MemberTable(make_member('e0'), Timing(1), 0)
        complete = make_member('e1', capacity=2)
        table.merge(complete._replace(capacity=0), 0)
        digest = table.digest
        assert table.merge(complete, 0) is None
        assert table.entries['e1'].capacity == 2
        assert table.members['e1'].state == State.alive
        assert table.digest == digest
        assert table.queue.members['e1'].capacity == 2
        table.merge(complete._replace(capacity=0), 0)
        assert table.entries['e1'].capacity == 2

    def test_newer_record_without_it_keeps_it(self) -> None:
        """A process of an earlier version suspects the entry."""
        table = MemberTable(make_member('e0'), Timing(1), 0)
        complete = make_member('e1', capacity=2)
        table.merge(complete, 0)
        suspected = complete._replace(capacity=0, state=int(State.suspect))
        merged = table.merge_without_gossip(suspected, 0)
        assert merged == suspected._replace(capacity=2)
        assert table.entries['e1'] is merged
        assert table.members['e1'] is merged
        assert 'e1' not in table.queue.members

    @pytest.mark.parametrize('capacity', [-1, math.inf, math.nan])
    def test_record_with_meaningless_one_is_malformed(
        self, capacity: float
    ) -> None:
        """It would leave the fleet without lead candidates."""
        table = MemberTable(make_member('e0'), Timing(1), 0)
        assert table.merge(make_member('e1', capacity=capacity), 0) is None
        assert 'e1' not in table.entries

    def test_next_run_may_have_none(self) -> None:
        """It can be of an earlier version, on another machine."""
        table = MemberTable(make_member('e0'), Timing(1), 0)
        table.merge(make_member('e1', capacity=2), 0)
        table.merge(make_member('e1', 'b', generation=2), 0)
        assert not table.entries['e1'].capacity

    def test_known_record_without_it_is_left_alone(self) -> None:
        """Each entry gets the record of each side many times."""
        table = MemberTable(make_member('e0'), Timing(1), 0)
        table.merge(make_member('s1', role='side'), 0)
        known = table.members['s1']
        table.merge(make_member('s1', role='side'), 0)
        assert table.members['s1'] is known


class TestNoLeadLinks:
    """Without lead candidates, no work is done for them."""

    def test_entries_are_not_ranked(self) -> None:
        entries = iter(make_fleet())
        assert not choose_lead_candidates(entries, 0)
        assert len(list(entries)) == len(make_fleet())

    def test_entries_are_weighed_once_for_a_side(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        weighed: list[str] = []

        def weigh(side: str, entry: str) -> int:
            weighed.append(entry)
            return rendezvous_weight(side, entry)

        monkeypatch.setattr(
            'jackdawridge.membership.entry_subset.rendezvous_weight', weigh
        )
        fleet = make_fleet()
        table = MemberTable(fleet[0], Timing(1), 0)
        for member in (*fleet, make_member('s1', role='side')):
            table.merge(member, 0)
        SideMonitor(fleet[0].node, ENTRIES_PER_SIDE, 1).is_expected(table, 's1')
        assert len(weighed) == len(fleet)

    def test_links_are_not_searched_for_a_lead(self) -> None:
        links: Any = Mock()
        links.directory.entries.return_value = make_fleet()
        finder = CandidateFinder(ENTRIES_PER_SIDE, 0, links)
        assert not finder.find(0)
        assert not links.incarnations.called
        assert not finder.present.known
