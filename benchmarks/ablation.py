"""Measures what each placement mechanism contributes under overload.

`python -m benchmarks.ablation` replays the load of the tests with three entries
and disables one mechanism at a time. Loads are factors on the users' rates. Two
fleets are simulated: a mixed one, with workers of two speeds of which some slow
down temporarily, and one of equal workers.
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
#: Time during which jobs arrive, in seconds.
ARRIVAL_TIME = 12.0
SEEDS = (1, 2, 3)
LOADS = (0.9, 1.1, 1.3)
#: Actual run times over those that the objectives assume, for each kind of
#: worker.
RUN_TIME_FACTOR = 1.2
SLOW_RUN_TIME_FACTOR = 1.56
SLOW_SIDES = frozenset((2, 5, 9))
#: Two workers slow down by a factor of 5.4 from second 3 to second 8, as some
#: workers in users' fleets do.
TEMPORARY_SLOWNESS = Slowness(('s3', 's7'), 3, 8, 5.4)
#: Constant of the replay with the time it runs after the last arrival.
DRAIN_TIME_TARGET = 'tests.test_placement.overload.DRAIN_TIME'
#: Time for the tasks at slow workers to end, in seconds.
DRAIN_TIME = 60.0
POOL_PROCESSES = 3


class Patch(NamedTuple):
    """The attribute to replace, and the value that disables a mechanism."""

    target: Any
    name: str
    value: Any


#: Mechanisms by name, with the patches that disable each.
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
    """The configuration behind one row of the table."""

    mechanism: str
    is_joint: bool
    is_mixed: bool
    load: float


def run_case(case: Case) -> str:
    """Replay a case with all seeds and return its row.

    :param case: disabled mechanism, fleet and load.
    """
    replay_class = JointReplay if case.is_joint else RandomReplay
    fractions = []
    with ExitStack() as stack:
        stack.enter_context(mock.patch(DRAIN_TIME_TARGET, DRAIN_TIME))
        for patch in MECHANISMS[case.mechanism]:
            stack.enter_context(mock.patch.object(*patch))
        for seed in SEEDS:
            jobs = make_jobs(seed, case.load, ARRIVAL_TIME)
            replay = replay_class(
                jobs,
                SIDES,
                entries=ENTRIES,
                run_time_factors=make_run_time_factors(case),
                slowness=TEMPORARY_SLOWNESS if case.is_mixed else NO_SLOWNESS,
            )
            fractions.append(earned_fraction(jobs, replay.run()))
    fleet = 'mixed' if case.is_mixed else 'equal'
    suffix = '' if case.is_joint else ' and lead'
    mean = sum(fractions) / len(fractions)
    return (
        f'{fleet:5} {case.load:4} {mean:.3f} without {case.mechanism}{suffix}'
    )


def make_run_time_factors(case: Case) -> dict[str, float]:
    """Return the run time of each side over the one that objectives assume.

    :param case: decides whether some sides are slow.
    """
    return {
        f's{number}': SLOW_RUN_TIME_FACTOR
        if case.is_mixed and number in SLOW_SIDES
        else RUN_TIME_FACTOR
        for number in range(SIDES)
    }


def main() -> None:
    """Print a row for each disabled mechanism, fleet and load."""
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
    with multiprocessing.Pool(POOL_PROCESSES, maxtasksperchild=1) as pool:
        for row in pool.imap(run_case, cases, chunksize=1):
            sys.stdout.write(f'{row}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
