"""Measures the processor time of a task at rising rates, with real processes.

`python -m benchmarks.throughput` prints a table and writes
`docs/measurements/throughput.json`. Two entries, eleven sides and workers with
room for everything, so that only the cost of the messages counts.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

from twisted.internet.task import react

from benchmarks.placement import Bench
from benchmarks.workload import CONSORTIUM, Job, Task

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Where the figures go.
PLACE = Path('docs/measurements/throughput.json')
#: Task starts a second over all entries.
RATES = (100, 400, 1000, 2000)
#: Tasks of each job.
JOB_TASKS = 20
#: Length of a run, in seconds.
LENGTH = 6.0
#: Shortest and longest task, in seconds.
SHORTEST = 0.1
LONGEST = 0.5

_TASK = Task('kind', 0.1, 20, 0.3, 0.1, 20, 0.3)
_COLUMNS = ('rate', 'tasks', 'entry_us', 'side_us', 'wasted', 'failed')


def make_jobs(rate: int) -> list[Job]:
    """Return jobs at an even rate whose tasks differ in run time.

    :param rate: task starts a second.
    """
    step = (LONGEST - SHORTEST) / (JOB_TASKS - 1)
    tasks = tuple(
        _TASK._replace(seconds=SHORTEST + step * number)
        for number in range(JOB_TASKS)
    )
    count = round(rate * LENGTH / JOB_TASKS)
    return [
        Job(at=LENGTH * number / count, team='ledger', tasks=tasks)
        for number in range(count)
    ]


def show(rows: Sequence[dict[str, Any]]) -> None:
    """Print and write the figures.

    :param rows: one a rate.
    """
    print(' '.join(f'{name:>9}' for name in _COLUMNS))
    for row in rows:
        print(' '.join(f'{row[name]:>9}' for name in _COLUMNS))
    PLACE.parent.mkdir(parents=True, exist_ok=True)
    PLACE.write_text('{0}\n'.format(json.dumps(rows, indent=1)))


async def run(reactor: Any) -> None:
    """Run all rates on one cluster.

    :param reactor: Twisted's reactor.
    """
    bench = Bench(reactor, CONSORTIUM)
    rows = []
    try:
        await bench.warm_up()
        for rate in RATES:
            ran = await bench.run(f'{rate} tasks/s', make_jobs(rate))
            rows.append({'rate': rate, **ran.row})
    finally:
        bench.cluster.close()
    show(rows)


if __name__ == '__main__':
    react(run)
