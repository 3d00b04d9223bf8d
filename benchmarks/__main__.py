"""Runs the benchmarks: `python -m benchmarks [name ...]`."""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING, Any

from twisted.internet.task import react

from benchmarks.plans import PLANS, run_plan
from benchmarks.report import write_report

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Names of the plans of the placement benchmark, one for each deployment.
PLAN_NAMES = tuple(PLANS)


async def run(reactor: Any, names: Sequence[str]) -> None:
    """Run the named plans and write one report for all of them.

    :param reactor: Twisted's reactor.
    :param names: names of the plans to run.
    """
    rows = []
    for name in names:
        rows.extend(await run_plan(reactor, name))
    write_report(rows)


def main() -> None:
    """Run the plans named on the command line, or all plans."""
    parser = argparse.ArgumentParser(prog='python -m benchmarks')
    parser.add_argument('names', nargs='*', choices=[*PLAN_NAMES, []])
    arguments = parser.parse_args()
    react(run, (arguments.names or PLAN_NAMES,))


if __name__ == '__main__':
    main()
