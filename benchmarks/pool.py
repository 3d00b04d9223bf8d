"""Pools the rows of several runs of one variant, which differ in the seed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from benchmarks.figures import percentile

if TYPE_CHECKING:
    from collections.abc import Sequence

Row = dict[str, Any]

#: Columns that are added up over the runs.
SUM_COLUMNS = ('jobs', 'counted', 'tasks', 'failed', 'double_starts')

#: Columns that are averaged over the tasks of all runs, with their decimal
#: places.
MEAN_COLUMNS = (('wasted', 3), ('entry_us', 0), ('side_us', 0))

#: Columns with a percentile of the slowdown of all counted jobs.
PERCENTILE_COLUMNS = (('p50', 0.5), ('p99', 0.99))


def pool_runs(rows: Sequence[Row], slowdowns: Sequence[Sequence[float]]) -> Row:
    """Return one row for all runs.

    For each percentile, `..._seeds` holds the lowest and the highest value of a
    single run.

    :param rows: one row for each run, all of the same variant.
    :param slowdowns: slowdowns of the counted jobs, for each run.
    """
    pooled = dict(rows[0])
    for name in SUM_COLUMNS:
        pooled[name] = sum(row[name] for row in rows)
    for name, digits in MEAN_COLUMNS:
        total = sum(row[name] * row['tasks'] for row in rows)
        mean = round(total / max(pooled['tasks'], 1), digits)
        pooled[name] = mean if digits else int(mean)
    all_slowdowns = [slowdown for run in slowdowns for slowdown in run]
    for name, fraction in PERCENTILE_COLUMNS:
        pooled[name] = round(percentile(all_slowdowns, fraction), 3)
        ranked = sorted(row[name] for row in rows)
        pooled[f'{name}_seeds'] = [ranked[0], ranked[-1]]
    return pooled
