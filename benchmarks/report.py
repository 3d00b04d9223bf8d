"""Writes the placement figures as JSON, a Markdown table and plots."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Directory for the figures.
OUTPUT_DIRECTORY = Path('docs/measurements')

#: Figures that every variant has; each is a column of the table.
COLUMNS = (
    'deployment',
    'variant',
    'policy',
    'jobs',
    'counted',
    'tasks',
    'p50',
    'p99',
    'wasted',
    'entry_us',
    'side_us',
    'failed',
    'double_starts',
)

Row = dict[str, Any]


def write_report(rows: Sequence[Row]) -> None:
    """Write the figures as JSON, as a table and as plots.

    :param rows: figures, one row for each variant.
    """
    OUTPUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    text = json.dumps(list(rows), indent=1)
    (OUTPUT_DIRECTORY / 'placement.json').write_text(f'{text}\n')
    table = format_table(rows)
    (OUTPUT_DIRECTORY / 'placement.md').write_text(f'{table}\n')
    plot_loads(rows)
    plot_domain_outage(rows)
    print(table)


def format_table(rows: Sequence[Row]) -> str:
    """Return the figures as a Markdown table.

    :param rows: figures, one row for each variant.
    """
    headings = (*COLUMNS, 'besides')
    lines = [format_line(headings), format_line(['---' for _ in headings])]
    lines.extend(
        format_line([*(row[name] for name in COLUMNS), format_extra(row)])
        for row in rows
    )
    return '\n'.join(lines)


def format_extra(row: Row) -> str:
    """Return the figures of a variant that have no column of their own.

    :param row: figures of the variant.
    """
    extra = {
        name: value
        for name, value in row.items()
        if name not in COLUMNS and name != 'timeline'
    }
    return ', '.join(f'{name} {value}' for name, value in extra.items())


def format_line(cells: Sequence[object]) -> str:
    """Return one line of a Markdown table.

    :param cells: values of the line.
    """
    return '| {0} |'.format(' | '.join(str(cell) for cell in cells))


def plot_loads(rows: Sequence[Row]) -> None:
    """Plot the 99th percentile of the slowdown by load and policy.

    :param rows: figures, one row for each variant.
    """
    pyplot = load_pyplot()
    names = sorted({row['deployment'] for row in rows})
    figure, axes = pyplot.subplots(
        1, max(len(names), 1), figsize=(10, 4), squeeze=False
    )
    for axis, name in zip(axes[0], names, strict=False):
        load_rows = [
            row
            for row in rows
            if row['deployment'] == name and row['variant'].startswith('load')
        ]
        for policy in dict.fromkeys(row['policy'] for row in load_rows):
            points = [row for row in load_rows if row['policy'] == policy]
            axis.plot(
                [row['variant'] for row in points],
                [row['p99'] for row in points],
                marker='o',
                label=policy,
            )
        axis.set_title(name)
        axis.set_ylabel('slowdown, 99th percentile')
        axis.set_yscale('log')
        axis.legend()
    figure.tight_layout()
    figure.savefig(OUTPUT_DIRECTORY / 'placement-loads.png', dpi=80)


def plot_domain_outage(rows: Sequence[Row]) -> None:
    """Plot the busy fraction of all cores around a failure domain outage.

    :param rows: figures, one row for each variant.
    """
    pyplot = load_pyplot()
    figure, axis = pyplot.subplots(figsize=(8, 4))
    for row in rows:
        timeline = row.get('timeline')
        if timeline:
            axis.plot(timeline, marker='.', label=row['policy'])
    axis.set_xlabel('seconds')
    axis.set_ylabel('busy fraction of all cores')
    axis.legend()
    figure.tight_layout()
    figure.savefig(OUTPUT_DIRECTORY / 'placement-domain.png', dpi=80)


def load_pyplot() -> Any:
    """Import and return pyplot with a backend that needs no display."""
    from matplotlib import pyplot  # noqa: WPS433

    pyplot.switch_backend('Agg')
    return pyplot
