"""Tests of the guarantees under the settings of a large deployment."""

from __future__ import annotations

import time

import pytest

from tests.processes.deployment import DOMAINS
from tests.processes.operators import (
    Load,
    check_removal,
    count_starts_since,
    last_appended,
    set_domain,
)
from tests.test_processes.conftest import Deploy

pytestmark = pytest.mark.processes

#: Settings at which the control cost is measured.
LARGE_SETTINGS = {  # noqa: WPS407
    'heartbeat': 5.0,
    'send_window': 12.0,
    'task_lease': 15.0,
    'log_poll': 0.5,
}
REMOVED = DOMAINS[0]


class TestLargeSettings:
    def test_work_continues_between_rare_heartbeats(
        self, deploy: Deploy
    ) -> None:
        """Sides hear from some entry often enough to keep starting tasks."""
        deployment = deploy(entries=5, sides=4, settings=LARGE_SETTINGS)
        load = Load(deployment, deployment.entries[:1])
        time.sleep(12)
        since = time.monotonic() - 6
        for name in DOMAINS:
            assert count_starts_since(deployment, name, since)
        reply = set_domain(deployment.entries[0], REMOVED, in_service=False)
        assert reply.status == 200, reply
        removal = last_appended(deployment)
        assert removal is not None
        time.sleep(4)
        check_removal(deployment, REMOVED, removal)
        assert count_starts_since(
            deployment, DOMAINS[1], removal.appended_at + 3
        )
        assert all(job.is_complete for job in load.finish())
