"""Stateful test of the placer under random interleavings of events."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from jackdawridge.execution.messages import Room
from jackdawridge.placement.learning import Usage
from jackdawridge.placement.queues import TeamLimits
from jackdawridge.placement.request import Placement
from tests.test_placement.placers import (
    ROUNDING_TOLERANCE,
    WORKER,
    make_placer,
    make_request,
    placements_at,
)


class PlacerMachine(RuleBasedStateMachine):
    """Drives a placer and modelled sides with events in random order."""

    @initialize(quota=st.sampled_from([4, 20, 1000]))
    def prepare(self, quota: float) -> None:
        """Make a placer with three sides of 16 cores."""
        self.now: float = 10
        self.placer = make_placer()
        self.placer.set_limits('payroll', TeamLimits(quota=quota))
        self.quota = quota
        self.jobs = 0
        self.batch = 0
        self.cancelled: set[str] = set()
        self.running: dict[tuple[str, int], Placement] = {}
        self.started_keys: set[tuple[str, int]] = set()

    @rule(
        tasks=st.integers(1, 19),
        cores=st.sampled_from([0.5, 1, 3, 9]),
        team=st.sampled_from(['payroll', 'fleet']),
    )
    def submit(self, tasks: int, cores: float, team: str) -> None:
        """Queue a job and place the tasks that fit."""
        self.jobs += 1
        ticket = f't{self.jobs}'
        requests = [
            make_request(ticket, number, cores=cores, team=team)
            for number in range(tasks)
        ]
        self.placer.enqueue(requests, self.now)
        self.place()

    @rule(number=st.integers(1, 40))
    def cancel(self, number: int) -> None:
        """Cancel a job."""
        if number <= self.jobs:
            self.cancelled.add(f't{number}')
            self.placer.cancel(f't{number}')

    @rule(data=st.data(), outcome=st.sampled_from(['succeeded', 'failed']))
    def finish(self, data: st.DataObject, outcome: str) -> None:
        """End a task and report the room of its side."""
        if not self.running:
            return
        key = data.draw(st.sampled_from(sorted(self.running)))
        placement = self.running.pop(key)
        usage = Usage(placement.cores, placement.memory, 0.1)
        self.placer.ended(key, placement.side_id, outcome, usage, self.now)
        self.report(placement.side_id)
        self.place()

    @rule(data=st.data(), reason=st.sampled_from(['no room', 'draining']))
    def refuse(self, data: st.DataObject, reason: str) -> None:
        """Refuse a start, whose task is requeued."""
        if not self.running:
            return
        key = data.draw(st.sampled_from(sorted(self.running)))
        placement = self.running.pop(key)
        self.started_keys.discard(key)
        self.placer.refused(key, placement.side_id, reason, self.now)
        if key[0] in self.cancelled:
            self.placer.cancel(key[0])
        self.report(placement.side_id)

    @rule(seconds=st.sampled_from([0.01, 0.3, 5]))
    def wait(self, seconds: float) -> None:
        """Advance the time."""
        self.now += seconds
        self.place()

    @rule(in_service=st.booleans())
    def change_domain(self, *, in_service: bool) -> None:
        """Take the failure domain out of service, or back in."""
        self.placer.domain_changed('soweto', in_service, self.now)
        placements = self.place()
        assert in_service or not placements

    def place(self) -> tuple[Placement, ...]:
        """Run a placement pass, check the placements, and send them."""
        placements = self.placer.place(self.now)
        for placement in placements:
            key = placement.request.key
            assert key not in self.started_keys
            assert key[0] not in self.cancelled
            self.started_keys.add(key)
            self.running[key] = placement
        self.batch += 1
        for side_id in {placement.side_id for placement in placements}:
            here = placements_at(side_id, placements)
            self.placer.sent(side_id, self.batch, here)
        return placements

    def used(self, side_id: str) -> float:
        """Return the cores reserved at a side, without requests for room."""
        return sum(
            placement.cores
            for placement in self.running.values()
            if placement.side_id == side_id
            and placement.reason != 'asks for room'
        )

    def report(self, side_id: str) -> None:
        """Report the actual room of a side."""
        free = 16 - self.used(side_id)
        room = Room(free, 1000, 1, 0)
        self.placer.side_reported(side_id, room, self.batch, self.now)

    @invariant()
    def never_over_capacity(self) -> None:
        """No side gets more tasks than its worker has cores for."""
        for side_id in self.placer.sides:
            assert self.used(side_id) - WORKER.cores <= ROUNDING_TOLERANCE

    @invariant()
    def never_over_quota(self) -> None:
        """A team stays within its quota."""
        tasks = [
            placement
            for placement in self.running.values()
            if placement.request.team == 'payroll'
        ]
        cores = sum(placement.cores for placement in tasks)
        assert cores - self.quota <= ROUNDING_TOLERANCE

    @invariant()
    def work_conserving(self) -> None:
        """No task waits while a side has room and its team has quota."""
        self.place()
        for team in self.placer.queues.teams.values():
            for _, group in team.candidates(
                self.placer.learner, 16, lambda _: True
            ):
                need = self.placer.need(group.sample)
                fits = any(
                    side.fits(need, self.now) for side in self.placer.open_sides
                )
                assert not (fits and team.within_quota(need))

    @invariant()
    def probation_is_bounded(self) -> None:
        """At most one of the three sides is limited at a time."""
        limited = [side for side in self.placer.open_sides if side.is_limited]
        assert not limited[1:]


TestPlacerMachine = PlacerMachine.TestCase
TestPlacerMachine.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
