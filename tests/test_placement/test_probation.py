"""Tests of sides whose workers fail their tasks."""

from __future__ import annotations

from tests.test_placement.placers import (
    finish,
    make_job,
    make_placer,
    make_request,
    placements_at,
)


class TestProbation:
    """Failing workers get less work until they succeed again."""

    def test_failing_side_is_closed_and_probed(self) -> None:
        """The side gets nothing at first, then one probe at a time."""
        placer = make_placer(sides=4)
        placer.enqueue([make_request()], 10)
        failed = placer.place(10)[0]
        finish(placer, failed, 10, 'failed')
        for number in range(4):
            placer.enqueue(make_job(15, f'u{number}'), 10)
        placements = placer.place(10)
        assert len(placements) == 48
        assert failed.side_id not in {found.side_id for found in placements}
        probes = placements_at(failed.side_id, placer.place(20))
        assert len(probes) == 1
        finish(placer, probes[0], 20.1)
        assert len(placements_at(failed.side_id, placer.place(20.1))) > 1

    def test_most_of_the_fleet_stays_in_use(self) -> None:
        """Failures at all sides limit only a fraction of them."""
        placer = make_placer(sides=10)
        for number in range(100):
            placer.enqueue([make_request(f't{number}', cores=number % 7)], 10)
            placement = placer.place(10)[0]
            finish(placer, placement, 10, 'failed')
        limited = [side for side in placer.open_sides if side.is_limited]
        assert len(limited) <= 3
