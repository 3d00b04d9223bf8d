"""Tests for membership with real processes."""

from __future__ import annotations

import http.client
import threading
import time
from typing import TYPE_CHECKING

import pytest

from tests.processes.background import Background
from tests.processes.ports import find_free_addresses
from tests.test_membership.cluster import Cluster, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from tests.processes.http import Reply

pytestmark = pytest.mark.processes

ENTRIES = ('entry-0', 'entry-1', 'entry-2')
SIDES = ('side-0', 'side-1', 'side-2')
#: Time after which a leaving side must not start any task, in seconds.
LEAVING_TIMEOUT = 3.0


class Fleet:
    """Three entries and three sides whose only seed is the first entry."""

    def __init__(self, directory: Path) -> None:
        self.cluster = Cluster(directory)
        self.addresses = {name: find_free_addresses(3) for name in ENTRIES}
        self.seeds = [self.addresses['entry-0'][1]]
        for name in ENTRIES:
            self.cluster.start_entry(name, self.addresses[name], self.seeds)
        for name in SIDES:
            self.cluster.start_side(name, self.seeds)

    def wait_joined(self) -> None:
        wait_until(self.have_joined, 'every entry knows all members')

    def have_joined(self) -> bool:
        return all(
            self.cluster.entries(name) == dict.fromkeys(ENTRIES, 'alive')
            and self.cluster.ready_sides(name) == set(SIDES)
            for name in ENTRIES
        )


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Start a fleet and wait until all processes know each other."""
    started = Fleet(tmp_path)
    try:
        started.wait_joined()
        yield started
    finally:
        started.cluster.close()


class Callers(Background):
    """Submits jobs one after another until stopped."""

    def __init__(self, cluster: Cluster, callers: list[str]) -> None:
        super().__init__()
        self.cluster = cluster
        self.callers = callers
        self.states: list[str] = []
        #: Outcome headers of the refusals.
        self.refusals: set[str] = set()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        """Submit to each entry in turn, as behind a balancer."""
        turn = 0
        while not self.stopped.is_set():
            turn += 1
            caller = self.callers[turn % len(self.callers)]
            try:
                reply = self.cluster.submit(caller, tasks=4, seconds=0.1)
            except ConnectionRefusedError:
                time.sleep(0.05)
            except (OSError, http.client.HTTPException) as error:
                self.states.append(repr(error))
            else:
                self.record_reply(reply)

    def record_reply(self, reply: Reply) -> None:
        """Record the state of a job, or the outcome of its refusal."""
        if reply.status == 503:
            self.refusals.add(reply.headers.get('x-jackdawridge-outcome', ''))
            time.sleep(0.05)
        else:
            self.states.append(str(reply.body.get('state')))

    def finish(self) -> None:
        self.stop()
        self.thread.join()


class TestJoining:
    def test_one_seed_is_enough(self, fleet: Fleet) -> None:
        cluster = fleet.cluster
        for name in SIDES:
            assert set(cluster.entries(name)) == set(ENTRIES)
        reply = cluster.submit(fleet.addresses['entry-2'][0], 4, 0.05)
        assert reply.body['state'] == 'complete'


class TestFailures:
    def test_killed_entry_is_declared_dead_and_replaced(
        self, fleet: Fleet
    ) -> None:
        cluster = fleet.cluster
        cluster.processes['entry-0'].kill()
        wait_until(
            lambda: cluster.entries('entry-1')['entry-0'] == 'dead',
            'killed entry is dead',
        )
        cluster.start_entry(
            'entry-0',
            fleet.addresses['entry-0'],
            [fleet.addresses['entry-1'][1]],
        )
        fleet.wait_joined()

    def test_paused_side_is_suspected_and_recovers(self, fleet: Fleet) -> None:
        cluster = fleet.cluster
        run = cluster.status('side-0')['incarnation']
        cluster.processes['side-0'].pause()
        wait_until(
            lambda: cluster.sides('entry-1').get('alive') == 2,
            'paused side is suspected',
        )
        cluster.processes['side-0'].resume()
        wait_until(fleet.have_joined, 'side is back')
        wait_until(
            lambda: cluster.sides('entry-1') == {'alive': 3}, 'side is alive'
        )
        assert cluster.status('side-0')['incarnation'] == run


class TestLeaving:
    def test_leaving_side_gets_no_work_and_exits(self, fleet: Fleet) -> None:
        cluster = fleet.cluster
        callers = Callers(cluster, [fleet.addresses['entry-0'][0]])
        time.sleep(1)
        # Jobs submitted one at a time all go to the side that linked first.
        starts = [len(record['starts']) for record in cluster.worker_records()]
        busiest = starts.index(max(starts))
        assert starts[busiest], callers.states
        leaving = cluster.processes[f'side-{busiest}']
        asked = time.monotonic()
        leaving.terminate()
        assert leaving.wait(20) == 0
        time.sleep(1)
        callers.finish()
        record = cluster.worker_records()[busiest]
        assert max(start['time'] for start in record['starts']) < (
            asked + LEAVING_TIMEOUT
        )
        assert len(record['ends']) == len(record['starts'])
        assert set(callers.states) == {'complete'}
        assert cluster.sides('entry-2') == {'alive': 2, 'left': 1}
        cluster.check_single_starts()

    def test_rolling_restart_under_load(self, fleet: Fleet) -> None:
        cluster = fleet.cluster
        peer_addresses = [fleet.addresses[name][1] for name in ENTRIES]
        callers = Callers(
            cluster, [fleet.addresses[name][0] for name in ENTRIES]
        )
        for name in ENTRIES:
            process = cluster.processes[name]
            process.terminate()
            assert process.wait(30) == 0
            others = [
                seed
                for seed in peer_addresses
                if seed != fleet.addresses[name][1]
            ]
            cluster.start_entry(name, fleet.addresses[name], others)
            fleet.wait_joined()
        for name in SIDES:
            process = cluster.processes[name]
            process.terminate()
            assert process.wait(30) == 0
            cluster.start_side(name, peer_addresses[:1])
            fleet.wait_joined()
        callers.finish()
        assert set(callers.states) == {'complete'}
        assert callers.refusals <= {'not-run'}
        assert len(callers.states) > 20
        cluster.check_single_starts()
