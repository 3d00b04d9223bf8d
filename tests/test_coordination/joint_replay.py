"""Replays of the `overload` load in which one entry places the tasks of all."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from tests.test_coordination.group_replay import GroupReplay, single_layout
from tests.test_placement.overload import Job, Replay

if TYPE_CHECKING:
    from jackdawridge.placement.placer import Placer

#: Factor that derives the random seed for the entry of each job.
SEED_FACTOR = 7919


def random_entry(number: int, entries: int) -> int:
    """Return the entry that a job is sent to."""
    return random.Random(number * SEED_FACTOR + 13).randrange(entries)


class RandomReplay(Replay):
    """Entries that place independently; each job goes to a random entry."""

    def placer_of(self, number: int) -> Placer:
        """Return the placer of the entry that a job is sent to."""
        return self.placers[random_entry(number, len(self.placers))]


class JointReplay(GroupReplay):
    """The first entry is the lead of all."""

    def __init__(
        self, jobs: list[Job], sides: int, *, entries: int = 1, **options: Any
    ) -> None:
        """Delegate to the first entry."""
        targets = [random_entry(number, entries) for number in range(len(jobs))]
        layout = single_layout(sides, entries)
        super().__init__(jobs, layout, targets, **options)
