"""Defines the sizes, settings and rates of the simulated deployment."""

from __future__ import annotations

from typing import NamedTuple

from jackdawridge.membership.messages import Introduction

DEPLOYMENT = 'benchmark'
SHARED_KEY = 'a key for benchmarks only'
#: Settings of a large deployment; all times are in seconds.
HEARTBEAT_INTERVAL = 5.0
SEND_WINDOW = 12.0
TASK_LEASE = 15.0
LOG_POLL_INTERVAL = 0.5
#: Number of entries that a side links to.
ENTRIES_PER_SIDE = 5
#: Workers per entry at the largest size: 4,000 workers and 60 entries.
WORKERS_PER_ENTRY = 4000 / 60
MIN_ENTRIES = 3
DOMAIN_COUNT = 7
#: Configuration changes per day.
CHANGES_PER_DAY = 4100
#: Restarts of processes per day at the largest size.
RESTARTS_PER_DAY = 1052
SECONDS_PER_DAY = 86400.0


class Size(NamedTuple):
    """Numbers of processes in a deployment."""

    workers: int
    entries: int
    #: Number of sides that are linked to the entry under measurement.
    linked: int

    @classmethod
    def from_workers(cls, workers: int, *, full: bool = False) -> Size:
        """Return the size of a deployment with a number of workers.

        :param workers: number of workers, each of which has a side.
        :param full: whether all sides link to all entries.
        """
        entries = max(MIN_ENTRIES, round(workers / WORKERS_PER_ENTRY))
        share = min(ENTRIES_PER_SIDE, entries)
        linked = workers if full else round(workers * share / entries)
        return cls(workers, entries, linked)

    def restarts_per_second(self) -> float:
        """Return the restarts per second, in proportion to the size."""
        largest = 4060
        nodes = self.workers + self.entries
        return RESTARTS_PER_DAY / SECONDS_PER_DAY * nodes / largest


def make_entry_introduction(number: int, address: str) -> Introduction:
    """Return the introduction of a stand-in entry.

    :param number: number that makes its name and failure domain.
    :param address: address at which the entry accepts links.
    """
    return Introduction(
        'entry',
        f'entry-{number:03}',
        f'{number:012x}',
        f'domain-{number % DOMAIN_COUNT}',
        address,
        '',
        0,
        0,
        0,
        0,
        generation=1,
    )


def make_side_introduction(number: int) -> Introduction:
    """Return the introduction of a stand-in side.

    :param number: number that makes its name and failure domain.
    """
    return Introduction(
        'side',
        f'side-{number:05}',
        f'{number:012x}',
        f'domain-{number % DOMAIN_COUNT}',
        '',
        'dispense-ledger',
        64,
        262144,
        1,
        8,
        generation=1,
    )
