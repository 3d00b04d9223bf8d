"""Tests of the membership with real processes."""

from __future__ import annotations

import http.client
import threading
import time
from typing import TYPE_CHECKING

import pytest

from tests.processes.background import Background
from tests.processes.ports import find_free_addresses
from tests.test_membership.cluster import Site, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from tests.processes.http import Reply

pytestmark = pytest.mark.processes

ENTRIES = ('entry-0', 'entry-1', 'entry-2')
SIDES = ('side-0', 'side-1', 'side-2')
#: A target that leaves gets no new work after this time, in seconds.
LEAVING_LIMIT = 3.0


class Fleet:
    """Three entries and three sides that know the first entry's address."""

    def __init__(self, directory: Path) -> None:
        self.site = Site(directory)
        self.addresses = {name: find_free_addresses(3) for name in ENTRIES}
        self.seeds = [self.addresses['entry-0'][1]]
        for name in ENTRIES:
            self.site.start_entry(name, self.addresses[name], self.seeds)
        for name in SIDES:
            self.site.start_side(name, self.seeds)

    def wait_joined(self) -> None:
        wait_until(self.have_joined, 'all know all')

    def have_joined(self) -> bool:
        return all(
            self.site.entries(name) == dict.fromkeys(ENTRIES, 'alive')
            and self.site.ready_sides(name) == set(SIDES)
            for name in ENTRIES
        )


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Start a fleet whose processes know each other."""
    started = Fleet(tmp_path)
    try:
        started.wait_joined()
        yield started
    finally:
        started.site.close()


class Callers(Background):
    """Submit jobs one after another until told to stop."""

    def __init__(self, site: Site, callers: list[str]) -> None:
        super().__init__()
        self.site = site
        self.callers = callers
        self.states: list[str] = []
        #: The outcomes that came with refusals.
        self.refusals: set[str] = set()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        """Go to the next entry when one refuses, as a balancer does."""
        turn = 0
        while not self.stopped.is_set():
            turn += 1
            caller = self.callers[turn % len(self.callers)]
            try:
                reply = self.site.submit(caller, tasks=4, seconds=0.1)
            except ConnectionRefusedError:
                time.sleep(0.05)
            except (OSError, http.client.HTTPException) as error:
                self.states.append(repr(error))
            else:
                self.take(reply)

    def take(self, reply: Reply) -> None:
        """Keep the state of a job, or how it was refused."""
        if reply.status == 503:
            self.refusals.add(reply.headers.get('x-jackdawridge-outcome', ''))
            time.sleep(0.05)
        else:
            self.states.append(str(reply.body.get('state')))

    def finish(self) -> None:
        self.stop()
        self.thread.join()


class TestJoining:
    def test_one_address_is_enough(self, fleet: Fleet) -> None:
        site = fleet.site
        for name in SIDES:
            assert set(site.entries(name)) == set(ENTRIES)
        reply = site.submit(fleet.addresses['entry-2'][0], 4, 0.05)
        assert reply.body['state'] == 'complete'


class TestFailing:
    def test_killed_entry_is_dead_and_replaced(self, fleet: Fleet) -> None:
        site = fleet.site
        site.processes['entry-0'].kill()
        wait_until(
            lambda: site.entries('entry-1')['entry-0'] == 'dead',
            'killed entry is dead',
        )
        site.start_entry(
            'entry-0',
            fleet.addresses['entry-0'],
            [fleet.addresses['entry-1'][1]],
        )
        fleet.wait_joined()

    def test_paused_side_is_suspected_and_comes_back(
        self, fleet: Fleet
    ) -> None:
        site = fleet.site
        run = site.status('side-0')['incarnation']
        site.processes['side-0'].pause()
        wait_until(
            lambda: site.sides('entry-1').get('alive') == 2,
            'paused side is suspected',
        )
        site.processes['side-0'].resume()
        wait_until(fleet.have_joined, 'side is back')
        wait_until(
            lambda: site.sides('entry-1') == {'alive': 3}, 'side is alive'
        )
        assert site.status('side-0')['incarnation'] == run


class TestLeaving:
    def test_leaving_side_gets_no_work_and_ends(self, fleet: Fleet) -> None:
        site = fleet.site
        callers = Callers(site, [fleet.addresses['entry-0'][0]])
        time.sleep(1)
        # Jobs that come one by one all go to the side that was linked first.
        starts = [len(record['starts']) for record in site.records()]
        busiest = starts.index(max(starts))
        assert starts[busiest], callers.states
        leaving = site.processes[f'side-{busiest}']
        asked = time.monotonic()
        leaving.terminate()
        assert leaving.wait(20) == 0
        time.sleep(1)
        callers.finish()
        record = site.records()[busiest]
        assert max(start['time'] for start in record['starts']) < (
            asked + LEAVING_LIMIT
        )
        assert len(record['ends']) == len(record['starts'])
        assert set(callers.states) == {'complete'}
        assert site.sides('entry-2') == {'alive': 2, 'left': 1}
        site.check()

    def test_all_are_replaced_with_work_going_on(self, fleet: Fleet) -> None:
        site = fleet.site
        every = [fleet.addresses[name][1] for name in ENTRIES]
        callers = Callers(site, [fleet.addresses[name][0] for name in ENTRIES])
        for name in ENTRIES:
            process = site.processes[name]
            process.terminate()
            assert process.wait(30) == 0
            others = [
                seed for seed in every if seed != fleet.addresses[name][1]
            ]
            site.start_entry(name, fleet.addresses[name], others)
            fleet.wait_joined()
        for name in SIDES:
            process = site.processes[name]
            process.terminate()
            assert process.wait(30) == 0
            site.start_side(name, every[:1])
            fleet.wait_joined()
        callers.finish()
        assert set(callers.states) == {'complete'}
        assert callers.refusals <= {'not-run'}
        assert len(callers.states) > 20
        site.check()
