"""Tests of the headroom that large jobs leave."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.placement.headroom import (
    HEADROOM_LEVELS,
    MAX_WAIT_FACTOR,
    headroom_fraction,
)
from jackdawridge.placement.queued_jobs import Standing

TIMES = st.floats(0, 1000)
WORKS = st.floats(0, 100)


class TestHeadroom:
    """Headroom grows with the work of a job and shrinks while it waits."""

    @given(WORKS, WORKS, TIMES)
    def test_grows_with_work(
        self, work: float, more: float, waited: float
    ) -> None:
        smaller = Standing(8, 0, work)
        larger = Standing(8, 0, work + more)
        assert headroom_fraction(smaller, waited) <= headroom_fraction(
            larger, waited
        )

    @given(WORKS, TIMES, TIMES)
    def test_shrinks_as_the_job_waits(
        self, work: float, waited: float, longer: float
    ) -> None:
        standing = Standing(8, 0, work)
        now = headroom_fraction(standing, waited)
        later = headroom_fraction(standing, waited + longer)
        assert 0 <= later <= now
        assert now < 1

    @given(WORKS, st.floats(0.001, 100))
    def test_reaches_zero(self, work: float, target: float) -> None:
        assert (
            headroom_fraction(
                Standing(target, 0, work), MAX_WAIT_FACTOR * target
            )
            == 0
        )

    def test_small_jobs_leave_no_headroom(self) -> None:
        assert headroom_fraction(Standing(8, 0), 0) == 0
        assert (
            headroom_fraction(Standing(8, 0, HEADROOM_LEVELS[-1].min_work), 0)
            > 0
        )
