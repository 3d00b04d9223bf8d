"""Tests of freshness and holds."""

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
OUTAGE = LogReport(5, math.inf, failing=True, ready=True)


def asked(
    answers: dict[str, LogReport], *, failing: bool = True, position: int = 5
) -> EntryFreshness:
    """Return an entry that asked at 10 and got some answers."""
    freshness = EntryFreshness()
    freshness.failing = failing
    freshness.is_ready = True
    number = freshness.start_round(10).number
    for name, answer in answers.items():
        freshness.add_report(number, name, answer)
    freshness.evaluate_round(position, OTHERS)
    return freshness


class TestEntryFreshness:
    def test_age_counts_from_sending(self) -> None:
        freshness = EntryFreshness()
        assert math.isinf(freshness.age(1))
        freshness.read_complete(3)
        freshness.read_complete(2)
        assert freshness.age(4) == 1

    def test_entry_cut_off_alone_is_not_fresh(self) -> None:
        assert math.isinf(asked({}).age(10))

    def test_entry_cut_off_from_the_log_alone_relays(self) -> None:
        answers = {'b': LogReport(5, 2, failing=False, ready=True)}
        assert asked(answers).age(10) == 2

    def test_relayed_word_of_newer_state_waits_for_it(self) -> None:
        answers = {'b': LogReport(6, 2, failing=False, ready=True)}
        assert math.isinf(asked(answers).age(10))
        assert asked(answers, position=6).age(10) == 2

    def test_majority_without_log_goes_on(self) -> None:
        assert asked({'b': OUTAGE}).age(10) == 0

    def test_one_entry_with_the_log_ends_the_agreement(self) -> None:
        answers = {'b': OUTAGE, 'c': LogReport(5, 9, failing=False, ready=True)}
        assert asked(answers).age(10) == 9

    def test_newer_state_anywhere_ends_the_agreement(self) -> None:
        answers = {'b': OUTAGE, 'c': OUTAGE._replace(position=6)}
        assert math.isinf(asked(answers).age(10))

    def test_entry_whose_log_answers_never_agrees(self) -> None:
        assert math.isinf(asked({'b': OUTAGE}, failing=False).age(10))

    def test_late_answers_are_dropped(self) -> None:
        freshness = EntryFreshness()
        freshness.failing = True
        late = freshness.start_round(1).number
        freshness.start_round(10)
        freshness.add_report(late, 'b', OUTAGE)
        freshness.evaluate_round(5, OTHERS)
        assert math.isinf(freshness.age(10))

    def test_single_entry_goes_on_alone(self) -> None:
        freshness = EntryFreshness()
        freshness.failing = True
        freshness.start_round(10)
        freshness.evaluate_round(5, frozenset())
        assert math.isinf(freshness.age(11))
        freshness.is_ready = True
        freshness.evaluate_round(5, frozenset())
        assert freshness.age(11) == 1

    def test_newcomer_waits_for_the_state_of_a_ready_entry(self) -> None:
        freshness = EntryFreshness()
        freshness.failing = True
        number = freshness.start_round(10).number
        freshness.add_report(number, 'b', OUTAGE._replace(ready=False))
        freshness.evaluate_round(5, frozenset(('b',)))
        assert not freshness.is_ready
        freshness.add_report(number, 'b', OUTAGE)
        freshness.evaluate_round(4, frozenset(('b',)))
        assert not freshness.is_ready
        freshness.evaluate_round(5, frozenset(('b',)))
        assert freshness.age(10) == 0


class TestSideFreshness:
    def test_age_counts_from_the_heartbeat(self) -> None:
        freshness = SideFreshness(2.5)
        freshness.heartbeat_sent(1, 4, 10)
        freshness.heartbeat_answered(1, 5, 1, 5)
        assert freshness.age(11) == 2
        assert freshness.is_fresh(11.5)
        assert not freshness.is_fresh(11.6)

    def test_lagging_entry_has_no_word(self) -> None:
        freshness = SideFreshness(2.5)
        freshness.heartbeat_sent(1, 4, 10)
        freshness.heartbeat_answered(1, 3, 0, 4)
        assert not freshness.is_fresh(10)

    def test_word_of_newer_state_waits_for_it(self) -> None:
        freshness = SideFreshness(2.5)
        freshness.heartbeat_sent(1, 4, 10)
        freshness.heartbeat_answered(1, 5, 0, 4)
        assert not freshness.is_fresh(10)

    def test_unknown_windows_and_odd_ages_prove_nothing(self) -> None:
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
    def test_nothing_starts_after_the_bound(
        self, steps: list[tuple[float, float, float]], taken: float
    ) -> None:
        """The log takes a removal; answers are delayed at will."""
        max_age = 2.5
        side = SideFreshness(max_age)
        entry = EntryFreshness()
        now = float(0)
        for window, (read, wait, reply) in enumerate(steps):
            sent_read = now
            side.heartbeat_sent(window, 0, now)
            now += read
            if sent_read + read < taken:
                entry.read_complete(sent_read)
            now += wait
            side.heartbeat_answered(window, 0, entry.age(now), 0)
            now += reply
            assert not (side.is_fresh(now) and now > taken + max_age)


class TestHolds:
    def test_hold_ends_when_its_change_is_judged_or_absent(self) -> None:
        holds = Holds()
        hold = Hold('a', 'Soweto')
        assert holds.add((hold,), 1) == (hold,)
        assert holds.add((hold,), 2) == ()
        assert holds.is_held('Soweto')
        assert not holds.is_held('Tembisa')
        assert holds.release_absent(2 + RELEASE_DELAY - 0.1) == ()
        assert holds.release_absent(2 + RELEASE_DELAY) == ('a',)
        assert not holds.is_held('Soweto')

    def test_released_hold_is_not_taken_again(self) -> None:
        holds = Holds()
        holds.release(('a',))
        assert holds.add((Hold('a', 'Soweto'),), 1) == ()
