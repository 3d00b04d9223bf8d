"""Operators who change the configuration of a deployment under test."""

from __future__ import annotations

import contextlib
import threading
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from tests.processes.background import Background
from tests.processes.callers import Callers, check_answers
from tests.processes.http import Reply, request

if TYPE_CHECKING:
    from tests.processes.callers import Submitted
    from tests.processes.deployment import Deployment
    from tests.processes.nodes import Node

CHANGES = '/v1/configuration/changes'
#: Longest time for which tasks may start in a removed failure domain.
BOUND = 3.0
#: Wait of a load before it submits again, in seconds.
PAUSE = 0.125
#: Length of each of its tasks, in seconds.
TASK_TIME = 0.03
#: Part of a worker that each of its tasks needs. A worker has room for one
#: task, so that each job uses as many sides as it has tasks.
TASK_SHARE = 0.6
#: Cores of a worker, as the settings of a side have them by default.
WORKER_CORES = 16


class Taken(NamedTuple):
    """A record that the log has taken."""

    offset: int
    #: On the monotonic clock that all processes share.
    at: float


def set_domain(
    node: Node, name: str, *, in_service: bool, wait: float = 5
) -> Reply:
    """Take a failure domain out of service or back in."""
    order = {
        'kind': 'failure_domain',
        'name': name,
        'value': {'in_service': in_service},
        'wait': wait,
    }
    return node.ask('POST', CHANGES, order)


def last_taken(deployment: Deployment) -> Taken | None:
    """Return the newest record in the log."""
    times = deployment.log.record()['times'].get('configuration', [])
    return Taken(len(times) - 1, times[-1]) if times else None


def await_taken(deployment: Deployment, after: int) -> Taken:
    """Return the first record that the log takes after an offset."""
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline:
        taken = last_taken(deployment)
        if taken is not None and taken.offset > after:
            return taken
    raise AssertionError('the log has not taken the record')


def latest_start(deployment: Deployment, name: str, taken: Taken) -> float:
    """Return how long after a removal the last task started there.

    :param name: of the failure domain, which has stayed out since.
    """
    late = [
        start['time'] - taken.at
        for record in deployment.records()
        if record['failure_domain'] == name
        for start in record['starts']
    ]
    return max(late, default=0)


def check_removal(deployment: Deployment, name: str, taken: Taken) -> float:
    """Check that a removal was in time, and return the latest start."""
    late = latest_start(deployment, name, taken)
    assert late <= BOUND, f'seed {deployment.seed}: start {late:.2f} s late'
    return late


def knowledge(node: Node) -> Any:
    """Return what a process knows, None if it does not answer."""
    try:
        return request(
            node.operator, 'GET', '/v1/configuration', timeout=1
        ).body
    except (OSError, ValueError):
        return None


def position_of(node: Node) -> int:
    """Return the position of a process, -1 if it does not answer."""
    known = knowledge(node)
    return int(known['position']) if isinstance(known, dict) else -1


class Load(Background):
    """Callers that use all workers until told to stop.

    Each job has a task for each worker.

    :param deployment: that they call.
    :param entries: that take the jobs.
    :param pause: before each submits again, in seconds.
    """

    def __init__(
        self,
        deployment: Deployment,
        entries: list[Node],
        pause: float = PAUSE,
    ) -> None:
        """Begin to submit."""
        super().__init__()
        self.deployment = deployment
        self.entries = entries
        self.pause = pause
        self.callers = Callers(deployment)
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        """Submit a job at each entry in turn."""
        tasks = len(self.deployment.sides)
        cores = WORKER_CORES * TASK_SHARE
        while not self.stopped.wait(self.pause):
            for entry in self.entries:
                with contextlib.suppress(OSError, AssertionError):
                    self.callers.submit(
                        entry.caller, 1, tasks, TASK_TIME, cores
                    )

    def end(self) -> list[Submitted]:
        """Stop, and return the answers of all jobs after a check."""
        self.stop()
        self.thread.join()
        answers = self.callers.answers()
        check_answers(self.deployment, answers)
        return answers


def count_since(deployment: Deployment, name: str, since: float) -> int:
    """Return the starts in a failure domain after a moment."""
    return sum(
        start['time'] > since
        for record in deployment.records()
        if record['failure_domain'] == name
        for start in record['starts']
    )
