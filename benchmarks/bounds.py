"""Measures the resident memory of an entry with every bound reached.

`python -m benchmarks.bounds` builds an entry with the default settings, without
starting it, fills each of its bounded stores in turn, prints the memory after
each step and writes `docs/measurements/bounds.json`.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet import reactor

from benchmarks.slopes import (
    ENTRY_SETTINGS,
    make_answer,
    make_member,
    make_spec,
)
from jackdawridge.config import Settings
from jackdawridge.entry import build_entry
from jackdawridge.membership.component import Membership
from jackdawridge.submission.component import EntrySubmission

if TYPE_CHECKING:
    from collections.abc import Callable

#: File that the figures are written to.
OUTPUT_PATH = Path('docs/measurements/bounds.json')
#: Entries and sides of the largest fleet that is planned for two years hence.
MEMBER_COUNT = 4140

_BYTES_PER_MEGABYTE = 1048576


class Step(NamedTuple):
    """A store that was filled, and the resident memory afterwards."""

    name: str
    filled: int
    #: Resident memory, in MB.
    memory: float

    def __str__(self) -> str:
        """Return the step as a line of the table."""
        return f'{self.memory:>7} MB after {self.filled:>6} {self.name}'


def resident_memory() -> float:
    """Return the resident memory of this process in MB."""
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return round(pages * os.sysconf('SC_PAGESIZE') / _BYTES_PER_MEGABYTE, 1)


def fill_tickets(submission: EntrySubmission) -> int:
    """Issue tickets up to the limit and return the number kept unused."""
    register = submission.interface.register
    for _ in range(register.limit):
        register.issue()
    return len(register.unused)


def fill_answers(submission: EntrySubmission) -> int:
    """Store answers until the oldest is evicted; return the number kept."""
    store = submission.engine.answers
    kept = 0
    while len(store.kept) == kept:
        store.keep(make_answer(kept), b'0123456789abcdef', 0)
        kept += 1
    return len(store.kept)


def fill_queues(submission: EntrySubmission) -> int:
    """Queue jobs of ten teams until one is rejected.

    The payloads are sized so that their bound is reached together with that of
    the queue. Returns the number of queued tasks.
    """
    engine = submission.engine
    length = engine.payloads.limit // engine.placer.bounds.limit
    number = 0
    while True:
        spec = make_spec(length)._replace(team=f'team-{number % 10}')
        if engine.submit(f'ticket-{number}', spec, b'').is_err():
            return engine.placer.queues.queued
        number += 1


def fill_members(membership: Membership) -> int:
    """Merge the records of all members and return the number known."""
    for number in range(1, MEMBER_COUNT):
        membership.table.merge(make_member(number), 0)
    return len(membership.table.members)


class RetainedBodies:
    """Simulates retained bodies of requests or answers.

    :param memory: memory that the bodies may occupy, in MB.
    """

    def __init__(self, memory: int) -> None:
        """Create an empty store."""
        self.memory = memory
        self.kept: list[bytes] = []

    def fill(self) -> int:
        """Allocate all of the memory and return its size in MB."""
        self.kept.extend(
            bytes([number]) * _BYTES_PER_MEGABYTE
            for number in range(self.memory)
        )
        return len(self.kept)


def find_component(application: Any, kind: type[Any]) -> Any:
    """Return the first component of a type.

    :param application: application of the entry.
    :param kind: type of the component.
    """
    return next(
        component
        for component in application.components
        if isinstance(component, kind)
    )


def main() -> None:
    """Fill all stores, and print and write the memory after each step."""
    settings = Settings.from_config(ENTRY_SETTINGS)
    application = build_entry(settings, reactor)
    submission = find_component(application, EntrySubmission)
    bodies = RetainedBodies(settings.integer('body_memory'))
    request_answers = RetainedBodies(settings.integer('request_answer_memory'))
    membership = find_component(application, Membership)
    fills: tuple[tuple[str, Callable[[], int]], ...] = (
        ('at rest', int),
        ('members', lambda: fill_members(membership)),
        ('unused tickets', lambda: fill_tickets(submission)),
        ('queued tasks', lambda: fill_queues(submission)),
        ('kept answers', lambda: fill_answers(submission)),
        ('MB of bodies', bodies.fill),
        ('MB of kept answers to requests', request_answers.fill),
    )
    steps = [Step(name, fill(), resident_memory()) for name, fill in fills]
    print('\n'.join(map(str, steps)))
    text = json.dumps([step._asdict() for step in steps], indent=1)
    OUTPUT_PATH.write_text(f'{text}\n')


if __name__ == '__main__':
    main()
