"""Tests for links that drop all traffic in one direction."""

from __future__ import annotations

import pytest

from jackdawridge.membership.messages import State
from tests.test_membership.test_component import Fleet

ENTRIES = 4
#: Maximum number of open connections from one process to another.
MAX_CONNECTIONS = 3


def check_open_connections(fleet: Fleet) -> None:
    """Check that repeated connection attempts don't accumulate."""
    pairs = [
        transport.ends
        for transport in fleet.network.transports
        if transport.is_open
    ]
    assert max(map(pairs.count, set(pairs))) <= MAX_CONNECTIONS


class TestOneWay:
    @pytest.mark.parametrize('receiver_count', [1, 2])
    def test_entry_reachable_through_others_stays_alive(
        self, receiver_count: int
    ) -> None:
        """Indirect probes and gossip bypass a link that is down one way."""
        fleet = Fleet(ENTRIES, 4)
        sender = fleet.entries[0]
        fleet.network.dropped_directions = {
            (sender.address, entry.address)
            for entry in fleet.entries[1 : 1 + receiver_count]
        }
        for _ in range(12):
            fleet.advance(5)
            check_open_connections(fleet)
        for entry in fleet.entries:
            assert fleet.states(entry.node) == {State.alive}
            assert not entry.ended_runs
        fleet.network.dropped_directions.clear()
        fleet.advance(45)
        for entry in fleet.entries:
            assert len(entry.linked('entry')) == ENTRIES - 1

    def test_entry_that_receives_nothing_recovers(self) -> None:
        """Its suspicions of the others must not get them declared dead."""
        fleet = Fleet(ENTRIES, 4)
        isolated = fleet.entries[-1]
        fleet.network.dropped_directions = {
            (entry.address, isolated.address) for entry in fleet.entries[:-1]
        }
        fleet.advance(30)
        check_open_connections(fleet)
        for entry in fleet.entries[:-1]:
            assert {
                entry.state_of(other.node) for other in fleet.entries[:-1]
            } == {State.alive}
        fleet.network.dropped_directions.clear()
        fleet.advance(45)
        for entry in fleet.entries:
            assert fleet.states(entry.node) == {State.alive}
            assert len(entry.linked('entry')) == ENTRIES - 1
            assert not entry.ended_runs
