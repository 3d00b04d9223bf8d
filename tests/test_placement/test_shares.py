"""Tests of fair shares and quotas of teams."""

from __future__ import annotations

from jackdawridge.execution.messages import Room
from jackdawridge.placement.placer import Placer
from jackdawridge.placement.queues import TeamLimits
from tests.test_placement.placers import (
    finish,
    make_job,
    make_placer,
)


class TestShares:
    """Teams get room by weight and within their quotas."""

    def test_quota(self) -> None:
        """A team runs no more cores than its quota at this entry."""
        placer = make_placer()
        placer.set_limits('payroll', TeamLimits(quota=10))
        placer.entries_changed(2, {})
        placer.enqueue(make_job(20), 10)
        assert len(placer.place(10)) == 5

    def test_quota_of_a_new_team(self) -> None:
        """A team first seen after the split also gets only a fraction."""
        placer = make_placer()
        placer.entries_changed(2, {})
        placer.set_limits('payroll', TeamLimits(quota=10))
        placer.enqueue(make_job(18), 10)
        assert len(placer.place(10)) == 5

    def test_weights(self) -> None:
        """Scarce room is split by weight."""
        placer = make_placer(sides=1, limit=100000)
        placer.set_limits('fleet', TeamLimits(weight=3))
        for number in range(300):
            for team in ('payroll', 'fleet'):
                tasks = make_job(16, f'{team}{number}', team)
                placer.enqueue(tasks, 10)
        teams = self.serve(placer, 250)[1000:]
        quarter = len(teams) / 4
        assert 2.8 * quarter <= teams.count('fleet') <= 3.2 * quarter

    def serve(self, placer: Placer, batches: int) -> list[str]:
        """Return the teams of the tasks in the order in which they ran."""
        teams: list[str] = []
        for number in range(batches):
            now = 10 + number / 10
            placements = placer.place(now)
            placer.sent('s0', number, placements)
            for placement in placements:
                finish(placer, placement, now)
                teams.append(placement.request.team)
            room = Room(16, 1000, 1, 0)
            placer.side_reported('s0', room, number, now)
        return teams

    def test_no_starvation(self) -> None:
        """A team that arrives later is served before the backlog of others."""
        placer = make_placer(sides=1)
        placer.enqueue(make_job(200), 10)
        placer.sent('s0', 1, placer.place(10))
        late = make_job(4, 'u', 'fleet')
        placer.enqueue(late, 10.1)
        placer.side_reported('s0', Room(4, 900, 1, 12), 1, 10.1)
        teams = [found.request.team for found in placer.place(10.1)]
        assert teams.count('fleet') >= 3
