"""Configuration changes and checks of failure domains under load."""

from __future__ import annotations

import contextlib
import threading
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from tests.processes.background import Background
from tests.processes.callers import Callers, check_answers
from tests.processes.http import Reply, request

if TYPE_CHECKING:
    from tests.processes.callers import SubmittedJob
    from tests.processes.deployment import Deployment
    from tests.processes.nodes import Node

CHANGES_PATH = '/v1/configuration/changes'
#: Time after the removal of a failure domain until which tasks may still start
#: there, in seconds.
REMOVAL_TIMEOUT = 3.0
#: Interval between the submissions of a load, in seconds.
SUBMIT_INTERVAL = 0.125
#: Run time of each task of a load, in seconds.
TASK_TIME = 0.03
#: Fraction of the cores of a worker that each task of a load requests. A worker
#: has room for only one such task, so each job uses as many sides as it has
#: tasks.
TASK_FRACTION = 0.6
#: Cores of a worker by the default settings of a side.
WORKER_CORES = 16


class AppendedRecord(NamedTuple):
    """Record that the log service has appended."""

    offset: int
    #: Time of the append on the monotonic clock that all processes share.
    appended_at: float


def set_domain(
    node: Node, name: str, *, in_service: bool, wait: float = 5
) -> Reply:
    """Take a failure domain out of service or put it back in service."""
    body = {
        'kind': 'failure_domain',
        'name': name,
        'value': {'in_service': in_service},
        'wait': wait,
    }
    return node.ask('POST', CHANGES_PATH, body)


def last_appended(deployment: Deployment) -> AppendedRecord | None:
    """Return the newest configuration record, or None if there is none."""
    times = deployment.log.record()['times'].get('configuration', [])
    return AppendedRecord(len(times) - 1, times[-1]) if times else None


def wait_appended(deployment: Deployment, after: int) -> AppendedRecord:
    """Wait for a record after an offset to be appended and return it.

    :raises AssertionError: if none is appended within 5 s.
    """
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline:
        appended = last_appended(deployment)
        if appended is not None and appended.offset > after:
            return appended
    raise AssertionError('the log service has appended no record within 5 s')


def last_start_delay(
    deployment: Deployment, name: str, removal: AppendedRecord
) -> float:
    """Return the time from a removal to the last task start, in seconds.

    :param deployment: deployment whose workers recorded the starts.
    :param name: name of the failure domain, out of service ever since.
    :param removal: record of the removal.
    """
    late = [
        start['time'] - removal.appended_at
        for record in deployment.records()
        if record['failure_domain'] == name
        for start in record['starts']
    ]
    return max(late, default=0)


def check_removal(
    deployment: Deployment, name: str, removal: AppendedRecord
) -> float:
    """Check the last start after a removal and return its delay in seconds."""
    late = last_start_delay(deployment, name, removal)
    assert late <= REMOVAL_TIMEOUT, (
        f'seed {deployment.seed}: task started {late:.2f} s after removal'
    )
    return late


def fetch_configuration(node: Node) -> Any:
    """Return the configuration status of a process, None if unreachable."""
    try:
        return request(
            node.operator_address, 'GET', '/v1/configuration', timeout=1
        ).body
    except (OSError, ValueError):
        return None


def fetch_position(node: Node) -> int:
    """Return the configuration position of a process, -1 if unreachable."""
    known = fetch_configuration(node)
    return int(known['position']) if isinstance(known, dict) else -1


class Load(Background):
    """Job load that uses all workers until it is stopped.

    Each job has as many tasks as the deployment has workers.

    :param deployment: deployment that executes the jobs.
    :param entries: entries that the jobs are submitted to.
    :param pause: interval between submissions, in seconds.
    """

    def __init__(
        self,
        deployment: Deployment,
        entries: list[Node],
        pause: float = SUBMIT_INTERVAL,
    ) -> None:
        """Start the submitting thread."""
        super().__init__()
        self.deployment = deployment
        self.entries = entries
        self.pause = pause
        self.callers = Callers(deployment)
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        """Submit a job to each entry in every interval until stopped."""
        tasks = len(self.deployment.sides)
        cores = WORKER_CORES * TASK_FRACTION
        while not self.stopped.wait(self.pause):
            for entry in self.entries:
                with contextlib.suppress(OSError, AssertionError):
                    self.callers.submit(
                        entry.caller_address, 1, tasks, TASK_TIME, cores
                    )

    def finish(self) -> list[SubmittedJob]:
        """Stop, check the answers of all jobs and return them."""
        self.stop()
        self.thread.join()
        answers = self.callers.wait_answers()
        check_answers(self.deployment, answers)
        return answers


def count_starts_since(deployment: Deployment, name: str, since: float) -> int:
    """Return the number of task starts in a failure domain after a time."""
    return sum(
        start['time'] > since
        for record in deployment.records()
        if record['failure_domain'] == name
        for start in record['starts']
    )
