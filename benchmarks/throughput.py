"""Measures the processor time per task at increasing rates, on real processes.

`python -m benchmarks.throughput` prints a table and writes
`docs/measurements/throughput.json`. It runs two entries and eleven sides whose
workers have room for all tasks, so that only the cost of messages is measured.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

from twisted.internet.task import react

from benchmarks.placement import PlacementBench
from benchmarks.workload import CONSORTIUM, Job, Task

if TYPE_CHECKING:
    from collections.abc import Sequence

#: File that the rows are written to.
OUTPUT_PATH = Path('docs/measurements/throughput.json')
#: Task starts a second, over all entries.
RATES = (100, 400, 1000, 2000)
#: Number of tasks of each job.
TASKS_PER_JOB = 20
#: Duration of a run, in seconds.
RUN_TIME = 6.0
#: Shortest and longest run time of a task, in seconds.
MIN_TASK_TIME = 0.1
MAX_TASK_TIME = 0.5

_TASK = Task('kind', 0.1, 20, 0.3, 0.1, 20, 0.3)
_COLUMNS = ('rate', 'tasks', 'entry_us', 'side_us', 'wasted', 'failed')


def make_jobs(rate: int) -> list[Job]:
    """Return jobs at a constant rate whose tasks have different run times.

    :param rate: task starts a second.
    """
    step = (MAX_TASK_TIME - MIN_TASK_TIME) / (TASKS_PER_JOB - 1)
    tasks = tuple(
        _TASK._replace(seconds=MIN_TASK_TIME + step * number)
        for number in range(TASKS_PER_JOB)
    )
    count = round(rate * RUN_TIME / TASKS_PER_JOB)
    return [
        Job(submit_at=RUN_TIME * number / count, team='ledger', tasks=tasks)
        for number in range(count)
    ]


def write_report(rows: Sequence[dict[str, Any]]) -> None:
    """Print the rows as a table and write them to the file.

    :param rows: one row for each rate.
    """
    print(' '.join(f'{name:>9}' for name in _COLUMNS))
    for row in rows:
        print(' '.join(f'{row[name]:>9}' for name in _COLUMNS))
    OUTPUT_PATH.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT_PATH.write_text('{0}\n'.format(json.dumps(rows, indent=1)))


async def measure_rates(reactor: Any) -> None:
    """Measure all rates on one cluster and report them.

    :param reactor: Twisted's reactor.
    """
    bench = PlacementBench(reactor, CONSORTIUM)
    rows = []
    try:
        await bench.warm_up()
        for rate in RATES:
            run = await bench.run(f'{rate} tasks/s', make_jobs(rate))
            rows.append({'rate': rate, **run.row})
    finally:
        bench.cluster.close()
    write_report(rows)


if __name__ == '__main__':
    react(measure_rates)
