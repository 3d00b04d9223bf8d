"""Tests of entries of which some hear others that do not hear them."""

from __future__ import annotations

import pytest

from jackdawridge.membership.messages import State
from tests.test_membership.test_component import Fleet

ENTRIES = 4
#: Most connections that one process holds open to another.
MOST_OPEN = 3


def check_open(fleet: Fleet) -> None:
    """Check that attempts to reach each other do not pile up."""
    pairs = [
        transport.ends
        for transport in fleet.network.transports
        if transport.is_open
    ]
    assert max(map(pairs.count, set(pairs))) <= MOST_OPEN


class TestOneWay:
    @pytest.mark.parametrize('deaf', [1, 2])
    def test_entries_that_others_hear_stay_alive(self, deaf: int) -> None:
        """Others pass on what a link that works one way only loses."""
        fleet = Fleet(ENTRIES, 4)
        speaker = fleet.entries[0]
        fleet.network.one_way = {
            (speaker.address, entry.address)
            for entry in fleet.entries[1 : 1 + deaf]
        }
        for _ in range(12):
            fleet.pass_time(5)
            check_open(fleet)
        for entry in fleet.entries:
            assert fleet.states(entry.node) == {State.alive}
            assert not entry.gone
        fleet.network.one_way.clear()
        fleet.pass_time(45)
        for entry in fleet.entries:
            assert len(entry.linked('entry')) == ENTRIES - 1

    def test_entry_that_hears_nobody_comes_back(self) -> None:
        """What it says of the others harms them no more than a cut does."""
        fleet = Fleet(ENTRIES, 4)
        silent = fleet.entries[-1]
        fleet.network.one_way = {
            (entry.address, silent.address) for entry in fleet.entries[:-1]
        }
        fleet.pass_time(30)
        check_open(fleet)
        for entry in fleet.entries[:-1]:
            assert {
                entry.state_of(other.node) for other in fleet.entries[:-1]
            } == {State.alive}
        fleet.network.one_way.clear()
        fleet.pass_time(45)
        for entry in fleet.entries:
            assert fleet.states(entry.node) == {State.alive}
            assert len(entry.linked('entry')) == ENTRIES - 1
            assert not entry.gone
