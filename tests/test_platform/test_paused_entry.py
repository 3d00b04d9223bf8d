"""Tests of an entry process that is paused while requests arrive."""

from __future__ import annotations

import json
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from tests.processes.http import Reply, request
from tests.test_platform.test_processes import ENTRIES, START_TIME, Site

pytestmark = pytest.mark.processes

#: Time for which the entry is paused, in seconds. Its links last that long.
PAUSE_TIME = 0.5
JOB = {
    'spec': '0.1',
    'bestEffort': True,
    'steps': [{'count': 2, 'cpu': 500, 'memMb': 10, 'estDurationMs': 100}],
}
JOB_ID = 'a' * 16
JOB_IDS = {f'{number:016x}' for number in range(20)}


def wait_for_lead(site: Site) -> str:
    """Return the entry for which the other one decides.

    An entry selects a lead when it gets a job.
    """
    until = time.monotonic() + START_TIME
    number = 0
    while time.monotonic() < until:
        for host in ENTRIES:
            number += 1
            site.submit(host, f'f{number:015x}')
            if site.status(host)['coordination']['lead']:
                return host
    raise AssertionError('no entry has a lead')


class PausedEntry:
    """One of two entries, paused in a `with` block.

    :param decides: whether it is the one that decides for both.
    """

    def __init__(self, site: Site, *, decides: bool = True) -> None:
        led = wait_for_lead(site)
        self.host = ENTRIES[1 - ENTRIES.index(led)] if decides else led
        self.other = ENTRIES[1 - ENTRIES.index(self.host)]
        self.process = site.nodes[self.host]
        self.address = f'{self.host}:{site.ports["front"]}'

    def __enter__(self) -> PausedEntry:
        self.process.pause()
        self.resumed_at = time.monotonic() + PAUSE_TIME
        return self

    def __exit__(self, *_: object) -> None:
        time.sleep(max(self.resumed_at - time.monotonic(), 0))
        self.process.resume()

    def send(self, job_id: str) -> socket.socket:
        """Send a job and return the open connection."""
        body = json.dumps(JOB)
        head = (
            f'POST /fills/{job_id} HTTP/1.1\r\nHost: a.example\r\n'
            f'Deadline-Ms: 8000\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        _, _, port = self.address.rpartition(':')
        connection = socket.create_connection((self.host, int(port)))
        connection.sendall((head + body).encode())
        return connection

    def submit(self, job_id: str, patience: float) -> Reply:
        """Send a job and wait for the answer."""
        headers = {
            'Host': 'a.example',
            'Deadline-Ms': str(int(patience * 1000)),
        }
        path = f'/fills/{job_id}'
        return request(self.address, 'POST', path, JOB, headers)


def started_jobs(site: Site) -> set[Any]:
    """Return the ids of the jobs of which a task was started."""
    return {run[0].partition('.')[0] for run in site.history()}


class TestPausedEntry:
    def test_job_whose_caller_left_during_the_pause_is_not_started(
        self, site: Site
    ) -> None:
        """The entry read requests before it read that callers had left."""
        with PausedEntry(site) as entry:
            for job_id in JOB_IDS:
                entry.send(job_id).close()
        time.sleep(1)
        assert not started_jobs(site) & JOB_IDS

    def test_queued_job_whose_caller_left_is_not_started(
        self, site: Site
    ) -> None:
        """Decisions of the lead were read before the ends of connections."""
        entry = PausedEntry(site, decides=False)
        with ThreadPoolExecutor(1) as callers:
            filling = callers.submit(
                site.submit, entry.other, 'f' * 16, tasks=8, seconds=0.5
            )
            time.sleep(0.2)
            connections = [entry.send(job_id) for job_id in JOB_IDS]
            time.sleep(0.2)
            with entry:
                assert filling.result().status == 200
                for connection in connections:
                    connection.close()
        time.sleep(1)
        assert not started_jobs(site) & JOB_IDS

    def test_job_that_may_have_been_given_up_is_refused(
        self, site: Site
    ) -> None:
        """A caller that is cut off can't be seen to have left."""
        with ThreadPoolExecutor(1) as callers:
            with PausedEntry(site) as entry:
                reply = callers.submit(entry.submit, JOB_ID, 0.4)
        answer = reply.result()
        assert answer.status == 429
        assert 'retry-after' in answer.headers
        assert JOB_ID not in started_jobs(site)

    def test_job_that_is_still_waited_for_is_served(self, site: Site) -> None:
        with ThreadPoolExecutor(1) as callers:
            with PausedEntry(site) as entry:
                reply = callers.submit(entry.submit, JOB_ID, 8)
        assert reply.result().status == 200
