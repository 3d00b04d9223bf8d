"""Tests with real processes whose minions carry out stops late."""

from __future__ import annotations

import threading
import time
from contextlib import closing
from typing import TYPE_CHECKING

import pytest

from tests.processes.runs import find_overlaps
from tests.soak.clients import COMPLETED, RESEND_TIME, Client, Kind
from tests.soak.deployment import Builds, Deployment, Size

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

pytestmark = pytest.mark.processes

KIND = Kind(tasks=4, run_time=4.0, weight=1)
JOB_ID = '5c0e7a21d94b0001'
#: Time for which clients wait for an answer, in seconds.
PATIENCE = 12.0


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Return two entries and three sides with minions."""
    parts = Deployment(tmp_path, 1, Size(2, 3), Builds(1, None))
    with closing(parts) as running:
        running.start()
        yield running


class TestLateStops:
    @pytest.fixture(autouse=True)
    def start_job(self, deployment: Deployment) -> None:
        """Have one client wait for a job, whose stops have no effect."""
        self.deployment = deployment
        self.first = Client(deployment, 'first')
        self.second = Client(deployment, 'second')
        host = deployment.entries[0].host
        self.waiting = threading.Thread(
            target=self.first.ask, args=(host, JOB_ID, KIND, PATIENCE)
        )
        self.waiting.start()
        time.sleep(1)
        for side in deployment.sides:
            deployment.order_minion(side, '/faults', {'late_stops': 1})

    def test_job_of_a_killed_entry_runs_once_at_a_time(self) -> None:
        """Tasks ran at another entry's sides while the first runs went on."""
        self.deployment.entries[0].kill()
        self.waiting.join()
        self.send_again()

    def test_job_that_its_client_left_runs_once_at_a_time(self) -> None:
        """The entry stops a job that its client has left, to no effect."""
        host = self.deployment.entries[0].host
        socket = self.first.connections[host].sock
        assert socket is not None
        socket.shutdown(2)
        self.waiting.join()
        self.send_again()

    def send_again(self) -> None:
        """Send the job to the other entry as soon as a client may."""
        time.sleep(RESEND_TIME)
        host = self.deployment.entries[1].host
        answer = self.second.ask(host, JOB_ID, KIND, PATIENCE)
        runs = self.deployment.runs()
        assert answer == COMPLETED
        assert len(runs) >= 2 * KIND.tasks
        assert not find_overlaps(runs)
