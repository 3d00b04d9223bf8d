"""Series of faults that overlap, drawn from a seed."""

from __future__ import annotations

import random
import signal
import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.soak.deployment import Deployment, Node


#: Share of the soaks in which sides get heartbeats of other writers.
FOREIGN_HEARTBEAT_SHARE = 0.5


class FaultSeries:
    """Disrupts a deployment; each series runs in a thread of its own.

    :param deployment: the processes.
    :param seed: seed of what is done, and when.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.seed = seed
        self.random = random.Random(f'{seed} faults')  # noqa: S311
        #: Names of the series that are played, for the report.
        self.names: list[str] = []
        #: Errors that ended a series.
        self.errors: list[BaseException] = []

    def choose(self) -> list[Callable[[random.Random], None]]:
        """Return two to four series, and perhaps foreign heartbeats."""
        series = (
            self.kill_entries,
            self.kill_sides,
            self.replace_nodes,
            self.freeze_nodes,
            self.disturb_orders,
            self.disturb_all_calls,
            self.fail_runs,
            self.crash_minions,
            self.silence_minions,
            self.change_configuration,
            self.evacuate_zones,
        )
        chosen: list[Callable[[random.Random], None]] = self.random.sample(
            series, self.random.randint(2, 4)
        )
        # Sides of builds before 2026-12-06 leave their workers for them.
        is_mixed = self.deployment.builds.older is not None
        if not is_mixed and self.random.random() < FOREIGN_HEARTBEAT_SHARE:
            chosen.append(self.send_foreign_heartbeats)
        return chosen

    def start(
        self, names: tuple[str, ...], is_over: Callable[[], bool]
    ) -> list[threading.Thread]:
        """Start the named series, or two to four of them if none is named."""
        chosen = [getattr(self, name) for name in names] or self.choose()
        self.names = [action.__name__ for action in chosen]
        threads = []
        for number, action in enumerate(chosen):
            choice = random.Random(f'{self.seed} {number}')  # noqa: S311
            threads.append(
                threading.Thread(
                    target=self.repeat, args=(action, choice, is_over)
                )
            )
        for thread in threads:
            thread.start()
        return threads

    def repeat(
        self,
        action: Callable[[random.Random], None],
        choice: random.Random,
        is_over: Callable[[], bool],
    ) -> None:
        """Repeat an action with pauses until the soak is over."""
        try:
            while not is_over():
                time.sleep(choice.uniform(0.2, 3))
                action(choice)
        except BaseException as error:
            self.errors.append(error)

    def kill_entries(self, choice: random.Random) -> None:
        self.restart(choice.choice(self.deployment.entries), choice)

    def kill_sides(self, choice: random.Random) -> None:
        for side in choice.sample(self.deployment.sides, 2):
            self.restart(side, choice)

    def restart(self, node: Node, choice: random.Random) -> None:
        """Kill a process and start it again after a moment."""
        node.kill()
        time.sleep(choice.uniform(0.1, 1))
        node.start()

    def replace_nodes(self, choice: random.Random) -> None:
        """Have a process leave, and start it again."""
        node = choice.choice(self.deployment.nodes())
        node.terminate()
        node.start()

    def freeze_nodes(self, choice: random.Random) -> None:
        node = choice.choice(self.deployment.nodes())
        node.signal(signal.SIGSTOP)
        time.sleep(choice.choice((0.2, 0.6, 1, 2, 3)))
        node.signal(signal.SIGCONT)
        node.hang_up()

    def disturb_orders(self, choice: random.Random) -> None:
        """Leave starts and stops unanswered and carry them out late."""
        faults = {'late': choice.choice((0.3, 0.5, 0.8))}
        self.disturb_minions(faults, choice)

    def disturb_all_calls(self, choice: random.Random) -> None:
        faults = {'late': 0.3, 'late_holds': choice.choice((0.2, 0.5))}
        self.disturb_minions(faults, choice)

    def fail_runs(self, choice: random.Random) -> None:
        self.disturb_minions({'failing': choice.choice((0.3, 1))}, choice)

    def disturb_minions(
        self, faults: dict[str, float], choice: random.Random
    ) -> None:
        """Set faults at most minions for some seconds."""
        sides = self.deployment.sides
        chosen = choice.sample(sides, choice.randint(1, len(sides)))
        for side in chosen:
            self.deployment.order_minion(side, '/faults', faults)
        time.sleep(choice.uniform(1, 4))
        for side in chosen:
            self.deployment.order_minion(side, '/faults', {})

    def crash_minions(self, choice: random.Random) -> None:
        for side in choice.sample(self.deployment.sides, 2):
            self.deployment.order_minion(side, '/crash')

    def silence_minions(self, choice: random.Random) -> None:
        """Crash minions that have been silent while they were sent tasks."""
        for side in choice.sample(self.deployment.sides, 2):
            self.deployment.order_minion(
                side, '/silence', choice.uniform(0.2, 1.2)
            )

    def send_foreign_heartbeats(self, choice: random.Random) -> None:
        side = choice.choice(self.deployment.sides)
        self.deployment.order_minion(side, '/foreign-heartbeat')

    def change_configuration(self, choice: random.Random) -> None:
        for _ in range(choice.randint(1, 4)):
            self.deployment.configure()
            time.sleep(choice.uniform(0, 0.3))

    def evacuate_zones(self, choice: random.Random) -> None:
        zone = choice.choice(self.deployment.sides).zone
        self.deployment.evacuate(zone)
        time.sleep(choice.uniform(1, 4))
        self.deployment.restore(zone)
