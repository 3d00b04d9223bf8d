"""What each mechanism of the placement is worth under load beyond the room.

Run by `python -m benchmarks.ablation`. Replays the load of the tests with three
entries, and with one mechanism switched off at a time. Loads are factors on the
users' rates; two fleets are played, one whose workers are of two kinds and slow
down, and one of equal workers.
"""

from __future__ import annotations

import multiprocessing
import sys
from collections.abc import Mapping
from contextlib import ExitStack
from itertools import product
from types import MappingProxyType
from typing import Any, NamedTuple
from unittest import mock

from jackdawridge.placement import (
    health,
    load_shedder,
    placement_pass,
    policies,
    shedding,
)
from jackdawridge.placement.learning import LogRegression
from tests.test_coordination.joint_replay import JointReplay, RandomReplay
from tests.test_coordination.test_shared_capacity import earned_fraction
from tests.test_placement.overload import (
    NO_SLOWNESS,
    Slowness,
    make_jobs,
)

ENTRIES = 3
SIDES = 11
SECONDS = 12.0
SEEDS = (1, 2, 3)
LOADS = (0.9, 1.1, 1.3)
#: Run times over what the objectives reckon with, by kind of worker.
USUAL = 1.2
SLOWER = 1.56
SLOWER_SIDES = frozenset((2, 5, 9))
#: Workers that turn slow for some seconds, as on the users' days.
TURNING_SLOW = Slowness(('s3', 's7'), 3, 8, 5.4)
#: What the replay calls the time after the last arrival.
LAST_SECONDS = 'tests.test_placement.overload.DRAIN_TIME'
#: Time for what runs at slow workers to end, in seconds.
REST = 60.0
PROCESSES = 3


class Patch(NamedTuple):
    """What is put in place of a mechanism."""

    target: Any
    name: str
    value: Any


#: Mechanisms by name, with what is put in their place.
MECHANISMS: Mapping[str, tuple[Patch, ...]] = MappingProxyType(
    {
        'none': (),
        'forecast of refusals': (
            Patch(load_shedder, 'find_excess', lambda *_: []),
        ),
        'refusals of late jobs that find no room': (
            Patch(load_shedder, 'find_late_jobs', lambda _: ()),
        ),
        'margin by priority': (Patch(shedding, 'WAIT_MARGIN_PER_PRIORITY', 0),),
        'slower kinds apart': (
            Patch(
                placement_pass,
                'split_by_speed',
                lambda sides: (list(sides), []),
            ),
        ),
        'relation of declared and used': (
            Patch(LogRegression, 'estimate', lambda *_: None),
        ),
        'tasks kept together': (
            Patch(policies.RoomPolicy, 'keeps_together', False),
        ),
        'headroom': (Patch(policies.RoomPolicy, 'leaves_headroom', False),),
        'slow sides by two late jobs': (
            Patch(health, 'MIN_LATE_JOBS', sys.maxsize),
        ),
        'slow sides by their mean': (Patch(health, 'SLOW_LOG2_EXCESS', 99),),
    }
)


class Case(NamedTuple):
    """One row of the table."""

    mechanism: str
    is_joint: bool
    is_mixed: bool
    load: float


def play(case: Case) -> str:
    """Return the row of a case.

    :param case: what is played.
    """
    replay = JointReplay if case.is_joint else RandomReplay
    found = []
    with ExitStack() as stack:
        stack.enter_context(mock.patch(LAST_SECONDS, REST))
        for patch in MECHANISMS[case.mechanism]:
            stack.enter_context(mock.patch.object(*patch))
        for seed in SEEDS:
            jobs = make_jobs(seed, case.load, SECONDS)
            played = replay(
                jobs,
                SIDES,
                entries=ENTRIES,
                run_time_factors=paces_of(case),
                slowness=TURNING_SLOW if case.is_mixed else NO_SLOWNESS,
            )
            found.append(earned_fraction(jobs, played.run()))
    fleet = 'mixed' if case.is_mixed else 'equal'
    lead = '' if case.is_joint else ' and lead'
    worth = sum(found) / len(found)
    return f'{fleet:5} {case.load:4} {worth:.3f} without {case.mechanism}{lead}'


def paces_of(case: Case) -> dict[str, float]:
    """Return the run times at each side over what objectives reckon with.

    :param case: what is played.
    """
    return {
        f's{number}': SLOWER
        if case.is_mixed and number in SLOWER_SIDES
        else USUAL
        for number in range(SIDES)
    }


def main() -> None:
    """Print a row for each mechanism, fleet and load."""
    cases = [
        Case(mechanism, is_joint=True, is_mixed=is_mixed, load=load)
        for is_mixed, load, mechanism in product(
            (True, False), LOADS, MECHANISMS
        )
    ]
    cases.extend(
        Case('none', is_joint=False, is_mixed=is_mixed, load=load)
        for is_mixed, load in product((True, False), LOADS)
    )
    with multiprocessing.Pool(PROCESSES, maxtasksperchild=1) as pool:
        for row in pool.imap(play, cases, chunksize=1):
            sys.stdout.write(f'{row}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
