"""Two groups of entries and sides lose each other for a while."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from tests.processes.callers import Callers, check_answers, make_job
from tests.processes.deployment import DOMAINS, wait_until
from tests.processes.http import get_ticket
from tests.processes.operators import (
    REMOVAL_TIMEOUT,
    Load,
    Taken,
    check_removal,
    count_since,
    last_taken,
    set_domain,
)
from tests.processes.regions import Regions

pytestmark = pytest.mark.processes

#: Time that the groups are apart, in seconds.
APART = 4.0
#: Wait of the load, so that a quarter of the workers can bear it, in seconds.
SUBMIT_INTERVAL = 0.5
#: Failure domains of the smaller group, which has one entry of three.
FAR_OUT, FAR_STAYS = DOMAINS[:2]
#: Failure domains of the larger group.
OUT, STAYS = DOMAINS[2:]


@pytest.fixture(scope='module')
def deployed(
    tmp_path_factory: pytest.TempPathFactory,
    proxies: str,
    request: pytest.FixtureRequest,
) -> Iterator[Regions]:
    """Return a deployment that the tests share."""
    with Regions(
        tmp_path_factory.mktemp('regions'),
        seed=request.config.getoption('--seed'),
        control=proxies,
        entries=3,
        sides=4,
    ) as deployment:
        yield deployment


@pytest.fixture
def regions(deployed: Regions) -> Iterator[Regions]:
    """Return the deployment, which is joined again after the test."""
    deployed.reset()
    yield deployed
    deployed.heal()
    for name in DOMAINS:
        set_domain(deployed.entries[1], name, in_service=True)


def begin(regions: Regions) -> Load:
    """Return callers at all entries that use all workers."""
    load = Load(regions, regions.entries, SUBMIT_INTERVAL)
    time.sleep(1)
    return load


def remove(regions: Regions, entry: int, name: str) -> Taken:
    """Take a failure domain out; return when the log took the record."""
    reply = set_domain(regions.entries[entry], name, in_service=False)
    assert reply.status == 200, reply
    taken = last_taken(regions)
    assert taken is not None
    return taken


def check_one_ticket(regions: Regions) -> None:
    """Check that a ticket of one group is not run by the other."""
    callers = Callers(regions)
    ticket = get_ticket(regions.entries[1].caller)
    for entry in regions.entries:
        callers.join(entry.caller, ticket, make_job(4, 0.2, name=ticket))
    answers = callers.answers()
    check_answers(regions, answers)
    assert [one.reply.status for one in answers] == [503, 200, 200]
    assert answers[0].outcome == 'unknown'


def check_joined(regions: Regions, load: Load) -> None:
    """Check that all come together again and every promise was kept."""
    regions.heal()
    wait_until(regions.have_same_position, 'all at one position', 20)
    regions.wait_linked()
    load.end()
    callers = Callers(regions)
    for entry in regions.entries:
        callers.submit(entry.caller, 4)
    answers = callers.answers()
    check_answers(regions, answers)
    assert all(one.is_complete for one in answers)


class TestRegionsApart:
    def test_smaller_one_without_the_log(self, regions: Regions) -> None:
        """It has no word of what is in force, and stops."""
        load = begin(regions)
        since = regions.cut(without_log={'entry-0'})
        taken = remove(regions, 1, OUT)
        far_taken = remove(regions, 2, FAR_OUT)
        time.sleep(APART)
        assert count_since(regions, STAYS, since + REMOVAL_TIMEOUT)
        assert not count_since(regions, FAR_STAYS, since + REMOVAL_TIMEOUT)
        check_joined(regions, load)
        check_removal(regions, OUT, taken)
        check_removal(regions, FAR_OUT, far_taken)

    def test_both_with_the_log(self, regions: Regions) -> None:
        """Each takes what the other has published, and works on."""
        load = begin(regions)
        since = regions.cut(without_log=set())
        taken = remove(regions, 0, OUT)
        far_taken = remove(regions, 1, FAR_OUT)
        time.sleep(APART)
        for name in (STAYS, FAR_STAYS):
            assert count_since(regions, name, since + REMOVAL_TIMEOUT)
        check_one_ticket(regions)
        check_joined(regions, load)
        check_removal(regions, OUT, taken)
        check_removal(regions, FAR_OUT, far_taken)

    def test_larger_one_without_the_log(self, regions: Regions) -> None:
        """It is a majority that nobody with the log can reach."""
        load = begin(regions)
        since = regions.cut(without_log={'entry-1', 'entry-2'})
        far_taken = remove(regions, 0, FAR_OUT)
        time.sleep(APART)
        for name in (OUT, STAYS, FAR_STAYS):
            assert count_since(regions, name, since + REMOVAL_TIMEOUT)
        check_joined(regions, load)
        check_removal(regions, FAR_OUT, far_taken)
