"""Tests of a network partition between two groups of processes."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from tests.processes.callers import Callers, check_answers, make_job
from tests.processes.deployment import DOMAINS, wait_until
from tests.processes.http import get_ticket
from tests.processes.operators import (
    REMOVAL_TIMEOUT,
    AppendedRecord,
    Load,
    check_removal,
    count_starts_since,
    last_appended,
    set_domain,
)
from tests.processes.regions import Regions

pytestmark = pytest.mark.processes

#: Length of a partition, in seconds.
PARTITION_TIME = 4.0
#: Interval between the submissions of the load, in seconds. It is long enough
#: for a quarter of the workers to handle the load.
SUBMIT_INTERVAL = 0.5
#: Failure domains of the smaller group, which has one entry of three.
SMALL_REMOVED, SMALL_REMAINING = DOMAINS[:2]
#: Failure domains of the larger group.
REMOVED, REMAINING = DOMAINS[2:]


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
    """Return the shared deployment and heal it after the test."""
    deployed.reset()
    yield deployed
    deployed.heal()
    for name in DOMAINS:
        set_domain(deployed.entries[1], name, in_service=True)


def start_load(regions: Regions) -> Load:
    """Start a load that submits to all entries and uses all workers."""
    load = Load(regions, regions.entries, SUBMIT_INTERVAL)
    time.sleep(1)
    return load


def remove(regions: Regions, entry: int, name: str) -> AppendedRecord:
    """Take a failure domain out of service and return the log record."""
    reply = set_domain(regions.entries[entry], name, in_service=False)
    assert reply.status == 200, reply
    removal = last_appended(regions)
    assert removal is not None
    return removal


def check_ticket_across_partition(regions: Regions) -> None:
    """Check that the other group refuses a ticket issued by one group."""
    callers = Callers(regions)
    ticket = get_ticket(regions.entries[1].caller_address)
    for entry in regions.entries:
        callers.join(
            entry.caller_address, ticket, make_job(4, 0.2, name=ticket)
        )
    answers = callers.wait_answers()
    check_answers(regions, answers)
    assert [job.reply.status for job in answers] == [503, 200, 200]
    assert answers[0].outcome == 'unknown'


def check_healed(regions: Regions, load: Load) -> None:
    """Heal the partition and check that all answers are correct.

    All processes must reach one configuration position, and new jobs must
    complete at every entry.
    """
    regions.heal()
    wait_until(regions.have_same_position, 'all at one position', 20)
    regions.wait_linked()
    load.finish()
    callers = Callers(regions)
    for entry in regions.entries:
        callers.submit(entry.caller_address, 4)
    answers = callers.wait_answers()
    check_answers(regions, answers)
    assert all(job.is_complete for job in answers)


class TestPartition:
    def test_smaller_group_without_the_log(self, regions: Regions) -> None:
        """The smaller group cannot confirm its configuration and stops starting
        tasks.
        """
        load = start_load(regions)
        since = regions.cut(without_log={'entry-0'})
        removal = remove(regions, 1, REMOVED)
        small_removal = remove(regions, 2, SMALL_REMOVED)
        time.sleep(PARTITION_TIME)
        assert count_starts_since(regions, REMAINING, since + REMOVAL_TIMEOUT)
        assert not count_starts_since(
            regions, SMALL_REMAINING, since + REMOVAL_TIMEOUT
        )
        check_healed(regions, load)
        check_removal(regions, REMOVED, removal)
        check_removal(regions, SMALL_REMOVED, small_removal)

    def test_both_groups_with_the_log(self, regions: Regions) -> None:
        """Each group applies the changes of the other and continues work."""
        load = start_load(regions)
        since = regions.cut(without_log=set())
        removal = remove(regions, 0, REMOVED)
        small_removal = remove(regions, 1, SMALL_REMOVED)
        time.sleep(PARTITION_TIME)
        for name in (REMAINING, SMALL_REMAINING):
            assert count_starts_since(regions, name, since + REMOVAL_TIMEOUT)
        check_ticket_across_partition(regions)
        check_healed(regions, load)
        check_removal(regions, REMOVED, removal)
        check_removal(regions, SMALL_REMOVED, small_removal)

    def test_larger_group_without_the_log(self, regions: Regions) -> None:
        """The larger group is a majority that no entry with the log reaches."""
        load = start_load(regions)
        since = regions.cut(without_log={'entry-1', 'entry-2'})
        small_removal = remove(regions, 0, SMALL_REMOVED)
        time.sleep(PARTITION_TIME)
        for name in (REMOVED, REMAINING, SMALL_REMAINING):
            assert count_starts_since(regions, name, since + REMOVAL_TIMEOUT)
        check_healed(regions, load)
        check_removal(regions, SMALL_REMOVED, small_removal)
