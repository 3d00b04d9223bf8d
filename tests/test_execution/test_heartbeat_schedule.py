"""Tests of the schedule of heartbeats."""

from __future__ import annotations

from collections import defaultdict

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.execution.heartbeat_schedule import (
    COALESCING_POINTS,
    MAX_STAGGER_SLOTS,
    HeartbeatSchedule,
    coalescing_phase,
)

INTERVAL = 3.0
COALESCING_TIME = INTERVAL / COALESCING_POINTS
#: Longest delay of a timer and of a heartbeat, in seconds.
MAX_DELAY = 0.002


class ScheduleSimulation:
    """The heartbeats of one side, whose timers fire late."""

    def __init__(
        self,
        entries: dict[str, float],
        delays: list[float],
        interval: float = INTERVAL,
    ) -> None:
        #: Time at which each entry is linked.
        self.entries = entries
        self.delays = delays
        self.schedule = HeartbeatSchedule(interval)
        self.wakeups = 0
        self.now = float(0)
        #: Times at which each entry got its heartbeats.
        self.sent_at: defaultdict[str, list[float]] = defaultdict(list)

    def join_linked(self) -> None:
        """Send the first heartbeat to entries that have just been linked."""
        for entry, at in self.entries.items():
            if at <= self.now and entry not in self.sent_at:
                self.schedule.add_entry(entry, self.now)
                self.sent_at[entry].append(self.now)

    def run(self, seconds: float, clocks: dict[str, float]) -> None:
        """Send heartbeats; entries with a clock reply with their phase."""
        steps = 0
        while self.now < seconds:
            self.join_linked()
            due = self.schedule.collect_due(tuple(self.sent_at), self.now)
            self.schedule.record_sent(due, steps)
            wait = self.schedule.wait(self.now)
            for entry in due:
                self.sent_at[entry].append(self.now)
            for entry in clocks.keys() & set(due):
                phase = coalescing_phase(INTERVAL, self.now + clocks[entry])
                self.schedule.align(entry, steps, phase)
            self.now += wait + self.delays[steps % len(self.delays)]
            steps += 1
            self.wakeups += 1


delays = st.lists(st.floats(0, MAX_DELAY), min_size=1, max_size=9)
link_times = st.lists(st.floats(0, 20), min_size=1, max_size=8)


class TestStaggering:
    @given(link_times, delays)
    def test_each_entry_gets_a_heartbeat_per_interval(
        self, linked_at: list[float], timer_delays: list[float]
    ) -> None:
        entries = {f'entry-{number}': at for number, at in enumerate(linked_at)}
        simulation = ScheduleSimulation(entries, timer_delays)
        simulation.run(60, {})
        for times in simulation.sent_at.values():
            gaps = _gaps(times)
            assert max(gaps) <= INTERVAL + 2 * MAX_DELAY
            assert min(gaps[1:]) >= INTERVAL / 2

    def test_entries_get_different_slots(self) -> None:
        schedule = HeartbeatSchedule(INTERVAL)
        for number in range(MAX_STAGGER_SLOTS):
            schedule.add_entry(f'entry-{number}', 0)
        due = [
            schedule.collect_due(
                tuple(schedule.due),
                slot * INTERVAL / MAX_STAGGER_SLOTS + MAX_DELAY,
            )
            for slot in range(1, 2 * MAX_STAGGER_SLOTS + 1)
        ]
        assert {len(entries) for entries in due} == {1}


class TestShortIntervals:
    interval = 0.25
    link_times = st.lists(st.floats(0, 5), min_size=1, max_size=8)

    @given(link_times, delays)
    def test_each_entry_gets_a_heartbeat_per_interval(
        self, linked_at: list[float], timer_delays: list[float]
    ) -> None:
        entries = {f'entry-{number}': at for number, at in enumerate(linked_at)}
        simulation = ScheduleSimulation(entries, timer_delays, self.interval)
        simulation.run(20, {})
        for times in simulation.sent_at.values():
            gaps = _gaps(times)
            assert max(gaps) <= self.interval + 2 * MAX_DELAY
            assert min(gaps[1:]) >= self.interval / 2

    @given(link_times, delays)
    def test_short_interval_shares_wakeups_among_entries(
        self, linked_at: list[float], timer_delays: list[float]
    ) -> None:
        entries = {f'entry-{number}': at for number, at in enumerate(linked_at)}
        simulation = ScheduleSimulation(entries, timer_delays, self.interval)
        seconds = 20
        simulation.run(seconds, dict.fromkeys(entries, 0.003))
        slot_count = seconds / self.interval * simulation.schedule.slots
        assert simulation.wakeups <= slot_count + len(entries) + 1
        assert simulation.schedule.slots == 2


class TestCoalescing:
    @given(st.lists(st.floats(0, 9), min_size=5, max_size=5), delays)
    def test_heartbeats_align_to_coalescing_instants(
        self, clocks: list[float], timer_delays: list[float]
    ) -> None:
        entries = {
            f'entry-{number}': float(0) for number in range(MAX_STAGGER_SLOTS)
        }
        offsets = dict(zip(entries, clocks, strict=True))
        simulation = ScheduleSimulation(entries, timer_delays)
        simulation.run(30, offsets)
        for entry, times in simulation.sent_at.items():
            for at in times[3:]:
                phase = coalescing_phase(INTERVAL, at + offsets[entry])
                assert min(phase, COALESCING_TIME - phase) <= 2 * MAX_DELAY

    @given(st.lists(st.floats(0, 9), min_size=5, max_size=5), delays)
    def test_entries_stay_staggered(
        self, clocks: list[float], timer_delays: list[float]
    ) -> None:
        entries = {
            f'entry-{number}': float(0) for number in range(MAX_STAGGER_SLOTS)
        }
        simulation = ScheduleSimulation(entries, timer_delays)
        simulation.run(40, dict(zip(entries, clocks, strict=True)))
        times = sorted(
            at for each in simulation.sent_at.values() for at in each
        )
        allowed = INTERVAL / MAX_STAGGER_SLOTS + COALESCING_TIME + 4 * MAX_DELAY
        assert max(_gaps(times)) <= allowed

    def test_only_the_last_scheduled_heartbeat_aligns(self) -> None:
        schedule = HeartbeatSchedule(INTERVAL)
        schedule.add_entry('entry', 0)
        schedule.collect_due(('entry',), 1)
        schedule.record_sent(('entry',), 7)
        due = schedule.due['entry']
        schedule.align('entry', 6, COALESCING_TIME / 4)
        schedule.align('entry', 7, -1)
        schedule.align('entry', 7, COALESCING_TIME)
        schedule.align('entry', 7, float('nan'))
        assert schedule.due['entry'] == due
        schedule.align('entry', 7, COALESCING_TIME / 4)
        schedule.align('entry', 7, COALESCING_TIME / 4)
        assert schedule.due['entry'] == due - COALESCING_TIME / 4


def _gaps(times: list[float]) -> list[float]:
    """Return the time between neighbouring heartbeats."""
    return [
        after - before
        for before, after in zip(times[:-1], times[1:], strict=True)
    ]
