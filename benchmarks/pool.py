"""Figures of several runs of one variant, with different jobs, as one row."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from benchmarks.figures import percentile

if TYPE_CHECKING:
    from collections.abc import Sequence

Row = dict[str, Any]

#: Figures that are summed up.
SUMS = ('jobs', 'counted', 'tasks', 'failed', 'double_starts')

#: Figures that are means over the tasks of all runs.
MEANS = (('wasted', 3), ('entry_us', 0), ('side_us', 0))

#: Percentiles of all counted jobs.
PERCENTILES = (('p50', 0.5), ('p99', 0.99))


def pool(rows: Sequence[Row], slowdowns: Sequence[Sequence[float]]) -> Row:
    """Return the figures of all runs together.

    For each percentile the least and the largest of the runs are kept too.

    :param rows: one for each run, all of the same variant.
    :param slowdowns: of the counted jobs, for each run.
    """
    pooled = dict(rows[0])
    for name in SUMS:
        pooled[name] = sum(row[name] for row in rows)
    for name, digits in MEANS:
        work = sum(row[name] * row['tasks'] for row in rows)
        mean = round(work / max(pooled['tasks'], 1), digits)
        pooled[name] = mean if digits else int(mean)
    together = [one for run in slowdowns for one in run]
    for name, fraction in PERCENTILES:
        pooled[name] = round(percentile(together, fraction), 3)
        ranked = sorted(row[name] for row in rows)
        pooled[f'{name}_seeds'] = [ranked[0], ranked[-1]]
    return pooled
