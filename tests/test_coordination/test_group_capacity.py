"""Replays of a load near the room of sides that link to half of the entries.

The load is that of the shifted work; its failure domains are busy in turn.
"""

from __future__ import annotations

import random

from tests.test_coordination.group_replay import (
    GroupReplay,
    Layout,
    apart_layout,
    domain_demand,
    earned_fraction,
    linked_lead_layout,
    make_shifted_jobs,
    single_layout,
)
from tests.test_placement.overload import SHIFTED_KINDS

SEED = 1
LOAD_TIME = 8.0
SIDES = 38
#: Fraction of the value by which a lead that other entries share a part of the
#: sides with may fall short of one that all sides are shared with.
MAX_SHORTFALL = 0.02
#: Fraction of the value that entries lose at least without a lead.
MIN_LOSS = 0.02


def earned(layout: Layout) -> float:
    """Return the fraction of the value earned at full load."""
    jobs = make_shifted_jobs(SEED, 1, LOAD_TIME)
    targets = domain_demand(random.Random(SEED), jobs)
    replay = GroupReplay(jobs, layout, targets, kinds=SHIFTED_KINDS)
    return earned_fraction(jobs, replay.run())


class TestGroupCapacity:
    """Jobs come to ten entries, and a side links to five of them."""

    def test_linked_lead_earns_as_much_as_one_that_all_share(self) -> None:
        linked = earned(linked_lead_layout(SIDES, (0, 4)))
        assert linked >= earned(single_layout(SIDES)) - MAX_SHORTFALL

    def test_entries_earn_less_apart(self) -> None:
        linked = earned(linked_lead_layout(SIDES, (0, 4)))
        assert linked >= earned(apart_layout(SIDES)) + MIN_LOSS
