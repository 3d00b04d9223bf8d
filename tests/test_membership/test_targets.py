"""Tests of whom a process dials."""

from __future__ import annotations

from jackdawridge.membership.state import Table, Timing
from jackdawridge.membership.subset import EntryChoice
from jackdawridge.membership.targets import Landing, Links, SideTargets
from tests.test_membership.records import make_member

SEED = '127.0.0.1:1'


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
