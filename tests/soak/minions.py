"""Minions that leave orders unanswered, carry them out late, fail and crash.

Run as a module, it serves them and the store of the platform.
"""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet import reactor
from twisted.internet.defer import Deferred

from tests.test_execution.fake_target import FakeTarget, ObservedRun
from tests.test_platform.standin import Minion, serve

if TYPE_CHECKING:
    from jackdawridge.execution.leased_target import (
        HoldOrder,
        Run,
        StartOrder,
        StartVerdict,
        TargetReport,
    )

#: Range of the delays of orders that are carried out late, in seconds.
LATE_DELAYS = (2.0, 6.0)
#: Time that a minion needs to stop a run, in seconds.
STOP_TIME = 0.01
#: Time after which a run of a failing minion fails, in seconds.
FAILURE_TIME = 0.05
CORES = 16

untyped_reactor: Any = reactor


class Faults(NamedTuple):
    """Faults of a minion; each share is a probability for each order."""

    #: Share of the starts and stops that are carried out late, without answer.
    late: float = 0
    #: The same for stops alone, in addition.
    late_stops: float = 0
    #: The same for renewals of the lease.
    late_holds: float = 0
    #: Share of the runs that fail.
    failing: float = 0


class UnreliableTarget(FakeTarget):
    """A target whose faults are drawn from a seed."""

    def __init__(self, seed: str) -> None:
        super().__init__(untyped_reactor)
        self.random = random.Random(seed)  # noqa: S311
        self.rates = Faults()
        #: How each run has ended.
        self.outcomes: dict[Run, str] = {}

    def restart(self) -> None:
        """Simulate a crash, which ends all runs, and an immediate restart."""
        for run in tuple(self.running):
            self.ended_at[run] = self.clock.seconds()
            self.outcomes[run] = 'crashed'
        super().restart()

    def end(self, run: Run, outcome: str, reason: str = '') -> None:
        """End a run if it is running."""
        if run in self.running:
            self.outcomes[run] = reason or outcome
        super().end(run, outcome, reason)

    async def hold(self, order: HoldOrder) -> TargetReport:
        await self.delay(self.rates.late_holds)
        return await super().hold(order)

    async def start(self, order: StartOrder) -> StartVerdict:
        await self.delay(self.rates.late)
        self.check_token(order.fencing_token)
        return self.carry_out(order)

    async def stop(self, run: Run, fencing_token: int) -> None:
        await self.delay(max(self.rates.late, self.rates.late_stops))
        self.check_token(fencing_token)
        self.refuse_up_to(run)
        self.clock.callLater(STOP_TIME, self.end, run, 'stopped', 'stopped')

    async def delay(self, share: float) -> None:
        """Wait for some seconds with a probability, for good while silent."""
        if self.is_silent:
            await Deferred()
        if self.random.random() < share:
            await self.wait_seconds(self.random.uniform(*LATE_DELAYS))

    def carry_out(self, order: StartOrder) -> StartVerdict:
        """Start a run and schedule its end."""
        known = order.run in self.running
        verdict = super().carry_out(order)
        if verdict.started and not known:
            self.schedule_end(order.run, float(order.payload))
        return verdict

    def schedule_end(self, run: Run, run_time: float) -> None:
        """Schedule the success or failure of a run."""
        outcome = 'succeeded'
        if self.random.random() < self.rates.failing:
            outcome, run_time = 'failed', min(FAILURE_TIME, run_time)
        self.clock.callLater(run_time, self.end, run, outcome)

    def observed(self, observed: ObservedRun) -> list[Any]:
        """Return name, start, end and outcome of a run."""
        run = observed.run
        return [
            run.name,
            observed.since,
            self.ended_at.get(run),
            self.outcomes.get(run, 'running'),
        ]


class UnreliableMinion(Minion):
    """A minion whose faults the soak sets by HTTP."""

    app = Minion.app
    cores = CORES
    target: UnreliableTarget

    def __init__(self, host: str, zone: str, plan: dict[str, Any]) -> None:
        self.seed = plan['seed']
        super().__init__(host, plan['ports'], zone)

    def make_target(self, host: str) -> UnreliableTarget:
        return UnreliableTarget(f'{self.seed} {host}')

    def start_run(self, order: StartOrder) -> Any:
        """Return the call that carries out a start; the target ends it."""
        return self.target.start(order)

    @app.route('/faults', methods=['PUT'])
    def set_faults(self, request: Any) -> bytes:
        self.target.rates = Faults(**json.loads(request.content.read()))
        return b'{}'

    @app.route('/crash', methods=['PUT'])
    def crash(self, request: Any) -> bytes:
        self.restart()
        return b'{}'

    @app.route('/silence', methods=['PUT'])
    def silence(self, request: Any) -> bytes:
        """Answer nothing for some seconds, then crash and start again."""
        self.target.is_silent = True
        seconds = float(json.loads(request.content.read()))
        untyped_reactor.callLater(seconds, self.restart)
        return b'{}'

    def restart(self) -> None:
        """Crash and start again, with a heartbeat at once."""
        self.target.is_silent = False
        self.target.restart()
        self.send_heartbeat()

    @app.route('/runs')
    def runs(self, request: Any) -> bytes:
        """Return name, start, end and outcome of each run."""
        history = self.target.history
        return json.dumps(
            [self.target.observed(observed) for observed in history]
        ).encode()


if __name__ == '__main__':
    serve(UnreliableMinion)
