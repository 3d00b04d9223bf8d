"""Tests of the wait before dialling again."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.wire.backoff import REDIAL_CEILING, REDIAL_FLOOR, Backoff

LASTING = REDIAL_CEILING
SHORT = REDIAL_CEILING / 2


def end_link(backoff: Backoff, lasted: float) -> float:
    """Open a link, end it, and return the wait."""
    backoff.link_opened(10)
    return backoff.next_wait(10 + lasted)


class TestBackoff:
    @given(st.integers(0, 20))
    def test_failures_before_a_link_do_not_count_after_it(
        self, failures: int
    ) -> None:
        backoff = Backoff()
        for _ in range(failures):
            backoff.next_wait(0)
        assert end_link(backoff, SHORT) == REDIAL_FLOOR

    def test_links_that_end_soon_are_dialled_ever_later(self) -> None:
        backoff = Backoff()
        waits = [end_link(backoff, 0) for _ in range(9)]
        assert waits == sorted(waits)
        assert waits[-1] == REDIAL_CEILING

    @given(st.lists(st.sampled_from(('fail', 'short')), max_size=20))
    def test_lasting_link_starts_anew(self, steps: list[str]) -> None:
        backoff = Backoff()
        for step in steps:
            if step == 'fail':
                wait = backoff.next_wait(0)
            else:
                wait = end_link(backoff, SHORT)
            assert REDIAL_FLOOR <= wait <= REDIAL_CEILING
        assert end_link(backoff, LASTING) == REDIAL_FLOOR
        assert end_link(backoff, SHORT) == 2 * REDIAL_FLOOR
