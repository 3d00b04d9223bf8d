"""Runs the benchmarks: `python -m benchmarks [name ...]`."""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING, Any

from twisted.internet.task import react

from benchmarks.plans import PLANS, run_plan
from benchmarks.report import write_report

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Parts of the benchmark of the placement.
PARTS = tuple(PLANS)


async def run(reactor: Any, names: Sequence[str]) -> None:
    """Run the named parts and write one report.

    :param reactor: Twisted's reactor.
    :param names: of the parts.
    """
    rows = []
    for name in names:
        rows.extend(await run_plan(reactor, name))
    write_report(rows)


def main() -> None:
    """Run what the command line names, or everything."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks')
    parser.add_argument('names', nargs='*', choices=[*PARTS, []])
    arguments = parser.parse_args()
    react(run, (arguments.names or PARTS,))


if __name__ == '__main__':
    main()
