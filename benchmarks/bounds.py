"""Measures the resident memory of an entry with every bound reached.

`python -m benchmarks.bounds` builds an entry with the default settings, without
starting it, fills what it keeps up to the bounds, prints the memory after each
step and writes `docs/measurements/bounds.json`.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet import reactor

from benchmarks.slopes import ENTRY, make_answer, make_member, make_spec
from jackdawridge.config import Settings
from jackdawridge.entry import build_entry
from jackdawridge.membership.component import Membership
from jackdawridge.submission.component import EntrySubmission

if TYPE_CHECKING:
    from collections.abc import Callable

#: Where the figures go.
PLACE = Path('docs/measurements/bounds.json')
#: Entries and sides at the size of two years.
MEMBERS = 4140

_MEGABYTE = 1048576


class Step(NamedTuple):
    """What was filled, and the memory of the process after it."""

    name: str
    filled: int
    #: Resident memory, in MB.
    memory: float

    def __str__(self) -> str:
        """Return a line of the table."""
        return f'{self.memory:>7} MB after {self.filled:>6} {self.name}'


def resident() -> float:
    """Return the resident memory of this process in MB."""
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return round(pages * os.sysconf('SC_PAGESIZE') / _MEGABYTE, 1)


def fill_tickets(submission: EntrySubmission) -> int:
    """Issue as many tickets as are kept unused."""
    register = submission.interface.register
    for _ in range(register.limit):
        register.issue()
    return len(register.unused)


def fill_answers(submission: EntrySubmission) -> int:
    """Keep answers until the oldest is dropped."""
    store = submission.engine.answers
    kept = 0
    while len(store.kept) == kept:
        store.keep(make_answer(kept), b'0123456789abcdef', 0)
        kept += 1
    return len(store.kept)


def fill_queues(submission: EntrySubmission) -> int:
    """Queue jobs of several teams, with payloads up to their bound."""
    engine = submission.engine
    length = engine.payloads.limit // engine.placer.bounds.limit
    number = 0
    while True:
        spec = make_spec(length)._replace(team=f'team-{number % 10}')
        if engine.submit(f'ticket-{number}', spec, b'').is_err():
            return engine.placer.queues.queued
        number += 1


def fill_members(membership: Membership) -> int:
    """Learn of all members."""
    for number in range(1, MEMBERS):
        membership.table.merge(make_member(number), 0)
    return len(membership.table.members)


class Bodies:
    """Stands in for bodies of requests or answers.

    :param memory: that they may take, in MB.
    """

    def __init__(self, memory: int) -> None:
        """Start without bodies."""
        self.memory = memory
        self.kept: list[bytes] = []

    def fill(self) -> int:
        """Take all of the memory."""
        self.kept.extend(
            bytes([number]) * _MEGABYTE for number in range(self.memory)
        )
        return len(self.kept)


def find(application: Any, kind: type[Any]) -> Any:
    """Return the component of a type.

    :param application: of the entry.
    :param kind: the type.
    """
    return next(
        part for part in application.components if isinstance(part, kind)
    )


def main() -> None:
    """Fill everything, then print and write the memory after each step."""
    settings = Settings.from_config(ENTRY)
    application = build_entry(settings, reactor)
    submission = find(application, EntrySubmission)
    bodies = Bodies(settings.integer('body_memory'))
    replies = Bodies(settings.integer('request_answer_memory'))
    membership = find(application, Membership)
    fills: tuple[tuple[str, Callable[[], int]], ...] = (
        ('at rest', int),
        ('members', lambda: fill_members(membership)),
        ('unused tickets', lambda: fill_tickets(submission)),
        ('queued tasks', lambda: fill_queues(submission)),
        ('kept answers', lambda: fill_answers(submission)),
        ('MB of bodies', bodies.fill),
        ('MB of kept answers to requests', replies.fill),
    )
    steps = [Step(name, fill(), resident()) for name, fill in fills]
    print('\n'.join(map(str, steps)))
    text = json.dumps([step._asdict() for step in steps], indent=1)
    PLACE.write_text(f'{text}\n')


if __name__ == '__main__':
    main()
