"""Tests of whom a process dials."""

from __future__ import annotations

from jackdawridge.membership.state import Table, Timing
from jackdawridge.membership.subset import EntryChoice
from jackdawridge.membership.targets import (
    SEED_TIME,
    EntryTargets,
    Landing,
    Links,
    SideTargets,
)
from tests.test_membership.records import make_member

SEED = '127.0.0.1:1'
OTHER_SEED = '127.0.0.1:2'


class TestSideTargets:
    def test_leaving_entry_keeps_its_link(self) -> None:
        """Also if it leaves before the side has chosen its entries."""
        targets = SideTargets((SEED,), EntryChoice('s1', 2))
        targets.landings.note(SEED, Landing('e1', SEED))
        timing = Timing(suspicion=5)
        table = Table(make_member('s1', role='side'), timing, 0)
        table.entries['e1'] = make_member('e1', address=SEED, leaving=True)
        linked = Links(frozenset(('e1',)), {SEED: 'e1'})
        assert targets.addresses(table, linked, 0) == {SEED}
        unlinked = Links(frozenset(), {})
        assert not targets.addresses(table, unlinked, 0)


class TestEntryTargets:
    def test_all_seeds_are_reached_before_others(self) -> None:
        """The seed may be the only way to an entry that others tell of."""
        targets = EntryTargets((SEED, OTHER_SEED), 0)
        targets.landings.note(SEED, Landing('e1', 'behind the seed'))
        table = Table(make_member('e0'), Timing(suspicion=5), 0)
        table.entries['e2'] = make_member('e2', address='behind another')
        linked = Links(frozenset(('e1',)), {SEED: 'e1'})
        assert targets.addresses(table, linked, 10) == {SEED, OTHER_SEED}
        later = 10 + SEED_TIME
        assert targets.addresses(table, linked, later) == {
            SEED,
            'behind another',
        }
        targets.landings.note(OTHER_SEED, Landing('e2', 'behind another'))
        found = targets.addresses(table, linked, later)
        assert found == {SEED, OTHER_SEED}
