"""The sizes and rates of the deployment that is stood in for."""

from __future__ import annotations

from typing import NamedTuple

from jackdawridge.membership.messages import Introduction

DEPLOYMENT = 'benchmark'
SHARED_KEY = 'a key for benchmarks only'
#: Settings of a large deployment, in seconds.
HEARTBEAT = 5.0
SEND_WINDOW = 12.0
TASK_LEASE = 15.0
LOG_POLL = 0.5
#: Entries that a side links to.
SHARE = 5
#: Workers an entry at the largest size: 4,000 over 60.
WORKERS_AN_ENTRY = 4000 / 60
MIN_ENTRIES = 3
DOMAINS = 7
#: Changes of the configuration in a day.
CHANGES_A_DAY = 4100
#: Restarts of processes in a day, at the largest size.
RESTARTS_A_DAY = 1052
SECONDS_A_DAY = 86400.0


class Size(NamedTuple):
    """One size of the deployment."""

    workers: int
    entries: int
    #: Sides that are linked to the entry under measurement.
    linked: int

    @classmethod
    def from_workers(cls, workers: int, *, full: bool = False) -> Size:
        """Return the size for a number of workers.

        :param workers: with a side each.
        :param full: whether all sides link to all entries.
        """
        entries = max(MIN_ENTRIES, round(workers / WORKERS_AN_ENTRY))
        share = min(SHARE, entries)
        linked = workers if full else round(workers * share / entries)
        return cls(workers, entries, linked)

    def restarts_a_second(self) -> float:
        """Return the restarts a second, in proportion to the size."""
        largest = 4060
        nodes = self.workers + self.entries
        return RESTARTS_A_DAY / SECONDS_A_DAY * nodes / largest


def introduce_entry(number: int, address: str) -> Introduction:
    """Return what a stand-in entry says about itself.

    :param number: of the entry.
    :param address: where it listens.
    """
    return Introduction(
        'entry',
        f'entry-{number:03}',
        f'{number:012x}',
        f'domain-{number % DOMAINS}',
        address,
        '',
        0,
        0,
        0,
        0,
        generation=1,
    )


def introduce_side(number: int) -> Introduction:
    """Return what a stand-in side says about itself.

    :param number: of the side.
    """
    return Introduction(
        'side',
        f'side-{number:05}',
        f'{number:012x}',
        f'domain-{number % DOMAINS}',
        '',
        'dispense-ledger',
        64,
        262144,
        1,
        8,
        generation=1,
    )
