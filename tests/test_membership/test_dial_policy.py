"""Tests for the selection of the addresses to dial."""

from __future__ import annotations

from jackdawridge.membership.dial_policy import (
    EntryDialPolicy,
    Links,
    ReachedEntry,
    SeedMap,
    SideDialPolicy,
)
from jackdawridge.membership.entry_subset import EntrySubset
from jackdawridge.membership.table import MemberTable, Timing
from tests.test_membership.members import make_member

SEED = '127.0.0.1:1'
OTHER_SEED = '127.0.0.1:2'
#: Time in which only the seeds are dialled, in seconds.
DISCOVERY_TIME = 1.5


def make_seed_map() -> SeedMap:
    return SeedMap((SEED, OTHER_SEED), DISCOVERY_TIME)


class TestSideDialPolicy:
    def test_leaving_entry_keeps_its_link(self) -> None:
        """The entry may start to leave before the side has selected entries."""
        policy = SideDialPolicy(SeedMap((SEED,), 0), EntrySubset('s1', 2))
        policy.seed_map.record(SEED, ReachedEntry('e1', SEED))
        timing = Timing(suspicion_timeout=5)
        table = MemberTable(make_member('s1', role='side'), timing, 0)
        table.entries['e1'] = make_member('e1', address=SEED, leaving=True)
        linked = Links(frozenset(('e1',)), {SEED: 'e1'})
        assert policy.addresses(table, linked, 0) == {SEED}
        unlinked = Links(frozenset(), {})
        assert not policy.addresses(table, unlinked, 0)

    def test_known_entries_are_dialled_beside_an_unreached_seed(self) -> None:
        """A seed that is down or slow to start delays no other link."""
        policy = SideDialPolicy(
            SeedMap((SEED, OTHER_SEED), 0), EntrySubset('s1', 2)
        )
        policy.seed_map.record(SEED, ReachedEntry('e1', SEED))
        timing = Timing(suspicion_timeout=5)
        table = MemberTable(make_member('s1', role='side'), timing, 0)
        table.entries['e1'] = make_member('e1', address=SEED)
        table.entries['e2'] = make_member('e2', address='learned')
        linked = Links(frozenset(('e1',)), {SEED: 'e1'})
        assert policy.addresses(table, linked, 0) == {SEED, 'learned'}


class TestEntryDialPolicy:
    def test_seeds_are_dialled_before_other_addresses(self) -> None:
        """The seed may be the only route to an entry known through gossip."""
        policy = EntryDialPolicy(make_seed_map(), 0)
        policy.seed_map.record(SEED, ReachedEntry('e1', 'behind the seed'))
        table = MemberTable(make_member('e0'), Timing(suspicion_timeout=5), 0)
        table.entries['e2'] = make_member('e2', address='behind another')
        linked = Links(frozenset(('e1',)), {SEED: 'e1'})
        assert policy.addresses(table, linked, 10) == {SEED, OTHER_SEED}
        later = 10 + DISCOVERY_TIME
        assert policy.addresses(table, linked, later) == {
            SEED,
            'behind another',
        }
        policy.seed_map.record(OTHER_SEED, ReachedEntry('e2', 'behind another'))
        found = policy.addresses(table, linked, later)
        assert found == {SEED, OTHER_SEED}
