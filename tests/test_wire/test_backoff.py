"""Tests of the backoff between attempts to dial."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.wire.backoff import (
    MAX_REDIAL_DELAY,
    MIN_REDIAL_DELAY,
    Backoff,
)

#: Durations of links that reset the backoff and that do not, in seconds.
LONG_LINK_TIME = MAX_REDIAL_DELAY
SHORT_LINK_TIME = MAX_REDIAL_DELAY / 2


def end_link(backoff: Backoff, lasted: float) -> float:
    """Open a link, end it and return the delay before the next attempt."""
    backoff.link_opened(10)
    return backoff.next_delay(10 + lasted)


class TestBackoff:
    @given(st.integers(0, 20))
    def test_link_resets_the_delay_of_earlier_failures(
        self, failures: int
    ) -> None:
        backoff = Backoff()
        for _ in range(failures):
            backoff.next_delay(0)
        assert end_link(backoff, SHORT_LINK_TIME) == MIN_REDIAL_DELAY

    def test_delay_grows_with_links_that_end_soon(self) -> None:
        backoff = Backoff()
        delays = [end_link(backoff, 0) for _ in range(9)]
        assert delays == sorted(delays)
        assert delays[-1] == MAX_REDIAL_DELAY

    @given(st.lists(st.sampled_from(('fail', 'short')), max_size=20))
    def test_long_link_resets_the_delay(self, steps: list[str]) -> None:
        backoff = Backoff()
        for step in steps:
            if step == 'fail':
                delay = backoff.next_delay(0)
            else:
                delay = end_link(backoff, SHORT_LINK_TIME)
            assert MIN_REDIAL_DELAY <= delay <= MAX_REDIAL_DELAY
        assert end_link(backoff, LONG_LINK_TIME) == MIN_REDIAL_DELAY
        assert end_link(backoff, SHORT_LINK_TIME) == 2 * MIN_REDIAL_DELAY
