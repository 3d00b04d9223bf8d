"""Tests of the turns of heartbeats."""

from __future__ import annotations

from collections import defaultdict

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.execution.turns import (
    COALESCING_POINTS,
    MAX_STAGGER_SLOTS,
    Turns,
    moment_phase,
)

INTERVAL = 3.0
SPACING = INTERVAL / COALESCING_POINTS
#: Latest that a timer fires and a heartbeat arrives, in seconds.
LATENESS = 0.002


class Beats:
    """The heartbeats of one side, whose timers are late."""

    def __init__(
        self,
        entries: dict[str, float],
        lateness: list[float],
        interval: float = INTERVAL,
    ) -> None:
        #: When each entry is linked.
        self.entries = entries
        self.lateness = lateness
        self.turns = Turns(interval)
        self.wakes = 0
        self.now = float(0)
        #: When each entry got its heartbeats.
        self.times: defaultdict[str, list[float]] = defaultdict(list)

    def join(self) -> None:
        """Greet the entries that have just been linked."""
        for entry, at in self.entries.items():
            if at <= self.now and entry not in self.times:
                self.turns.join(entry, self.now)
                self.times[entry].append(self.now)

    def run(self, seconds: float, clocks: dict[str, float]) -> None:
        """Send heartbeats; entries with a clock answer with their phase."""
        steps = 0
        while self.now < seconds:
            self.join()
            due = self.turns.take(tuple(self.times), self.now)
            self.turns.sent(due, steps)
            wait = self.turns.wait(self.now)
            for entry in due:
                self.times[entry].append(self.now)
            for entry in clocks.keys() & set(due):
                phase = moment_phase(INTERVAL, self.now + clocks[entry])
                self.turns.answered(entry, steps, phase)
            self.now += wait + self.lateness[steps % len(self.lateness)]
            steps += 1
            self.wakes += 1


lateness = st.lists(st.floats(0, LATENESS), min_size=1, max_size=9)
joins = st.lists(st.floats(0, 20), min_size=1, max_size=8)


class TestTurns:
    @given(joins, lateness)
    def test_each_entry_is_sent_to_in_each_interval(
        self, joined: list[float], late: list[float]
    ) -> None:
        entries = {f'entry-{number}': at for number, at in enumerate(joined)}
        beats = Beats(entries, late)
        beats.run(60, {})
        for times in beats.times.values():
            gaps = _gaps(times)
            assert max(gaps) <= INTERVAL + 2 * LATENESS
            assert min(gaps[1:]) >= INTERVAL / 2

    def test_entries_take_turns(self) -> None:
        turns = Turns(INTERVAL)
        for number in range(MAX_STAGGER_SLOTS):
            turns.join(f'entry-{number}', 0)
        due = [
            turns.take(
                tuple(turns.due), turn * INTERVAL / MAX_STAGGER_SLOTS + LATENESS
            )
            for turn in range(1, 2 * MAX_STAGGER_SLOTS + 1)
        ]
        assert {len(entries) for entries in due} == {1}


class TestShortIntervals:
    interval = 0.25
    joins = st.lists(st.floats(0, 5), min_size=1, max_size=8)

    @given(joins, lateness)
    def test_each_entry_is_sent_to_in_each_interval(
        self, joined: list[float], late: list[float]
    ) -> None:
        entries = {f'entry-{number}': at for number, at in enumerate(joined)}
        beats = Beats(entries, late, self.interval)
        beats.run(20, {})
        for times in beats.times.values():
            gaps = _gaps(times)
            assert max(gaps) <= self.interval + 2 * LATENESS
            assert min(gaps[1:]) >= self.interval / 2

    @given(joins, lateness)
    def test_side_wakes_up_for_several_entries_at_once(
        self, joined: list[float], late: list[float]
    ) -> None:
        entries = {f'entry-{number}': at for number, at in enumerate(joined)}
        beats = Beats(entries, late, self.interval)
        seconds = 20
        beats.run(seconds, dict.fromkeys(entries, 0.003))
        turns = seconds / self.interval * beats.turns.slots
        assert beats.wakes <= turns + len(entries) + 1
        assert beats.turns.slots == 2


class TestMoments:
    @given(st.lists(st.floats(0, 9), min_size=5, max_size=5), lateness)
    def test_heartbeats_keep_to_them(
        self, clocks: list[float], late: list[float]
    ) -> None:
        entries = {
            f'entry-{number}': float(0) for number in range(MAX_STAGGER_SLOTS)
        }
        offsets = dict(zip(entries, clocks, strict=True))
        beats = Beats(entries, late)
        beats.run(30, offsets)
        for entry, times in beats.times.items():
            for at in times[3:]:
                phase = moment_phase(INTERVAL, at + offsets[entry])
                assert min(phase, SPACING - phase) <= 2 * LATENESS

    @given(st.lists(st.floats(0, 9), min_size=5, max_size=5), lateness)
    def test_some_entry_is_heard_all_the_time(
        self, clocks: list[float], late: list[float]
    ) -> None:
        entries = {
            f'entry-{number}': float(0) for number in range(MAX_STAGGER_SLOTS)
        }
        beats = Beats(entries, late)
        beats.run(40, dict(zip(entries, clocks, strict=True)))
        times = sorted(at for each in beats.times.values() for at in each)
        allowed = INTERVAL / MAX_STAGGER_SLOTS + SPACING + 4 * LATENESS
        assert max(_gaps(times)) <= allowed

    def test_only_the_last_heartbeat_in_turn_counts(self) -> None:
        turns = Turns(INTERVAL)
        turns.join('entry', 0)
        turns.take(('entry',), 1)
        turns.sent(('entry',), 7)
        due = turns.due['entry']
        turns.answered('entry', 6, SPACING / 4)
        turns.answered('entry', 7, -1)
        turns.answered('entry', 7, SPACING)
        turns.answered('entry', 7, float('nan'))
        assert turns.due['entry'] == due
        turns.answered('entry', 7, SPACING / 4)
        turns.answered('entry', 7, SPACING / 4)
        assert turns.due['entry'] == due - SPACING / 4


def _gaps(times: list[float]) -> list[float]:
    """Return the time between neighbours."""
    return [
        after - before
        for before, after in zip(times[:-1], times[1:], strict=True)
    ]
