"""Tests of the freshness bounds and of holds."""

from __future__ import annotations

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from jackdawridge.configuration.freshness import (
    EntryFreshness,
    LogReport,
    SideFreshness,
)
from jackdawridge.configuration.holds import RELEASE_DELAY, Hold, Holds

OTHERS = frozenset(('b', 'c'))
OUTAGE_REPORT = LogReport(5, math.inf, failing=True, ready=True)


def freshness_after_round(
    reports: dict[str, LogReport], *, failing: bool = True, position: int = 5
) -> EntryFreshness:
    """Return an entry after a polling round at 10 s with the given reports."""
    freshness = EntryFreshness()
    freshness.failing = failing
    freshness.is_ready = True
    number = freshness.start_round(10).number
    for name, report in reports.items():
        freshness.add_report(number, name, report)
    freshness.evaluate_round(position, OTHERS)
    return freshness


class TestEntryFreshness:
    def test_age_is_measured_from_sending_the_read(self) -> None:
        freshness = EntryFreshness()
        assert math.isinf(freshness.age(1))
        freshness.read_complete(3)
        freshness.read_complete(2)
        assert freshness.age(4) == 1

    def test_entry_without_log_and_peers_is_not_fresh(self) -> None:
        assert math.isinf(freshness_after_round({}).age(10))

    def test_entry_without_log_uses_age_reported_by_peer(self) -> None:
        reports = {'b': LogReport(5, 2, failing=False, ready=True)}
        assert freshness_after_round(reports).age(10) == 2

    def test_report_of_newer_state_counts_once_state_is_known(self) -> None:
        reports = {'b': LogReport(6, 2, failing=False, ready=True)}
        assert math.isinf(freshness_after_round(reports).age(10))
        assert freshness_after_round(reports, position=6).age(10) == 2

    def test_majority_without_log_stays_fresh(self) -> None:
        assert freshness_after_round({'b': OUTAGE_REPORT}).age(10) == 0

    def test_entry_that_reads_the_log_rules_out_outage(self) -> None:
        reports = {
            'b': OUTAGE_REPORT,
            'c': LogReport(5, 9, failing=False, ready=True),
        }
        assert freshness_after_round(reports).age(10) == 9

    def test_newer_state_at_any_entry_rules_out_outage(self) -> None:
        reports = {'b': OUTAGE_REPORT, 'c': OUTAGE_REPORT._replace(position=6)}
        assert math.isinf(freshness_after_round(reports).age(10))

    def test_entry_that_reads_the_log_ignores_reported_outage(self) -> None:
        assert math.isinf(
            freshness_after_round({'b': OUTAGE_REPORT}, failing=False).age(10)
        )

    def test_reports_of_older_round_are_dropped(self) -> None:
        freshness = EntryFreshness()
        freshness.failing = True
        stale_round = freshness.start_round(1).number
        freshness.start_round(10)
        freshness.add_report(stale_round, 'b', OUTAGE_REPORT)
        freshness.evaluate_round(5, OTHERS)
        assert math.isinf(freshness.age(10))

    def test_single_ready_entry_stays_fresh_in_outage(self) -> None:
        freshness = EntryFreshness()
        freshness.failing = True
        freshness.start_round(10)
        freshness.evaluate_round(5, frozenset())
        assert math.isinf(freshness.age(11))
        freshness.is_ready = True
        freshness.evaluate_round(5, frozenset())
        assert freshness.age(11) == 1

    def test_new_entry_needs_state_of_a_ready_entry(self) -> None:
        freshness = EntryFreshness()
        freshness.failing = True
        number = freshness.start_round(10).number
        freshness.add_report(number, 'b', OUTAGE_REPORT._replace(ready=False))
        freshness.evaluate_round(5, frozenset(('b',)))
        assert not freshness.is_ready
        freshness.add_report(number, 'b', OUTAGE_REPORT)
        freshness.evaluate_round(4, frozenset(('b',)))
        assert not freshness.is_ready
        freshness.evaluate_round(5, frozenset(('b',)))
        assert freshness.age(10) == 0


class TestSideFreshness:
    def test_age_is_measured_from_sending_the_heartbeat(self) -> None:
        freshness = SideFreshness(2.5)
        freshness.heartbeat_sent(1, 4, 10)
        freshness.heartbeat_answered(1, 5, 1, 5)
        assert freshness.age(11) == 2
        assert freshness.is_fresh(11.5)
        assert not freshness.is_fresh(11.6)

    def test_reply_of_lagging_entry_is_ignored(self) -> None:
        freshness = SideFreshness(2.5)
        freshness.heartbeat_sent(1, 4, 10)
        freshness.heartbeat_answered(1, 3, 0, 4)
        assert not freshness.is_fresh(10)

    def test_reply_of_entry_ahead_is_ignored(self) -> None:
        freshness = SideFreshness(2.5)
        freshness.heartbeat_sent(1, 4, 10)
        freshness.heartbeat_answered(1, 5, 0, 4)
        assert not freshness.is_fresh(10)

    def test_unknown_windows_and_invalid_ages_are_ignored(self) -> None:
        freshness = SideFreshness(2.5)
        freshness.heartbeat_sent(1, 4, 10)
        freshness.heartbeat_answered(2, 4, 0, 4)
        freshness.heartbeat_answered(1, 4, math.nan, 4)
        assert not freshness.is_fresh(10)
        freshness.heartbeat_answered(1, 4, -5, 4)
        assert freshness.age(10) == 0

    @settings(max_examples=300)
    @given(
        st.lists(
            st.tuples(st.floats(0, 3), st.floats(0, 3), st.floats(0, 3)),
            max_size=12,
        ),
        st.floats(0, 12),
    )
    def test_no_start_later_than_max_age_after_removal(
        self, steps: list[tuple[float, float, float]], committed_at: float
    ) -> None:
        """The log accepts a removal; reads and replies are delayed."""
        max_age = 2.5
        side = SideFreshness(max_age)
        entry = EntryFreshness()
        now = float(0)
        for window, (read_delay, heartbeat_delay, reply_delay) in enumerate(
            steps
        ):
            read_sent_at = now
            side.heartbeat_sent(window, 0, now)
            now += read_delay
            if read_sent_at + read_delay < committed_at:
                entry.read_complete(read_sent_at)
            now += heartbeat_delay
            side.heartbeat_answered(window, 0, entry.age(now), 0)
            now += reply_delay
            assert not (side.is_fresh(now) and now > committed_at + max_age)


class TestHolds:
    def test_hold_is_released_if_its_change_is_absent(self) -> None:
        holds = Holds()
        hold = Hold('a', 'Soweto')
        assert holds.add((hold,), 1) == (hold,)
        assert holds.add((hold,), 2) == ()
        assert holds.is_held('Soweto')
        assert not holds.is_held('Tembisa')
        assert holds.release_absent(2 + RELEASE_DELAY - 0.1) == ()
        assert holds.release_absent(2 + RELEASE_DELAY) == ('a',)
        assert not holds.is_held('Soweto')

    def test_released_hold_is_not_added_again(self) -> None:
        holds = Holds()
        holds.release(('a',))
        assert holds.add((Hold('a', 'Soweto'),), 1) == ()
