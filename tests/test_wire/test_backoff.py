"""Tests of the backoff between attempts to dial."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.wire.backoff import (
    CONNECT_TIMEOUT,
    MAX_REDIAL_DELAY,
    MIN_REDIAL_DELAY,
    QUICK_CONNECT_TIMEOUT,
    QUICK_REDIAL_DELAY,
    QUICK_REDIAL_TIME,
    Backoff,
)

#: Durations of links that reset the backoff and that do not, in seconds.
LONG_LINK_TIME = MAX_REDIAL_DELAY
SHORT_LINK_TIME = MAX_REDIAL_DELAY / 2


def end_link(backoff: Backoff, lasted: float) -> float:
    """Open a link, end it and return the delay before the next attempt."""
    backoff.link_opened(10)
    return backoff.next_delay(10 + lasted)


def fail_for(backoff: Backoff, since: float, duration: float) -> float:
    """Fail all attempts for some time and return the last delay."""
    now = since
    delay: float = 0
    while now < since + duration:
        delay = backoff.next_delay(now)
        now += delay
    return delay


class TestQuickRedial:
    """A peer that is starting is reached soon after it listens."""

    def test_delay_stays_short_after_the_first_failure(self) -> None:
        """All processes start at once after a loss of power."""
        delay = fail_for(Backoff(), 5, QUICK_REDIAL_TIME)
        assert delay == QUICK_REDIAL_DELAY

    def test_delay_stays_short_after_a_link_has_ended(self) -> None:
        """The peer may be started again."""
        backoff = Backoff()
        fail_for(backoff, 5, 10 * MAX_REDIAL_DELAY)
        backoff.link_opened(100)
        backoff.next_delay(200)
        assert fail_for(backoff, 200, QUICK_REDIAL_TIME) == QUICK_REDIAL_DELAY

    def test_connections_are_not_awaited_for_long_at_first(self) -> None:
        """TCP repeats a packet to a VM without power after a second."""
        backoff = Backoff()
        assert backoff.connect_timeout(5) == QUICK_CONNECT_TIMEOUT
        fail_for(backoff, 5, QUICK_REDIAL_TIME / 2)
        now = 5 + QUICK_REDIAL_TIME / 2
        assert backoff.connect_timeout(now) == QUICK_CONNECT_TIMEOUT
        now = 5 + QUICK_REDIAL_TIME
        assert backoff.connect_timeout(now) == CONNECT_TIMEOUT

    def test_delay_grows_if_the_peer_stays_away(self) -> None:
        backoff = Backoff()
        assert fail_for(backoff, 5, 10 * MAX_REDIAL_DELAY) == MAX_REDIAL_DELAY


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
