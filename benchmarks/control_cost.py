"""Measures the control cost of an entry and a side by number of workers.

Stand-in peers exchange the real messages with one real process; no task is
run. Heartbeats and probes are sent at their real rate. Changes and restarts
happen faster than in a day of a deployment, and their cost is scaled to a day.
"""

from __future__ import annotations

import argparse
import json
import time
from contextlib import ExitStack
from pathlib import Path
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet.defer import (
    Deferred,
    ensureDeferred,
    gatherResults,
)
from twisted.internet.task import deferLater, react

from benchmarks.control import nodes
from benchmarks.control.changes import append_change, make_change
from benchmarks.control.deployment import (
    CHANGES_PER_DAY,
    SECONDS_PER_DAY,
    Size,
)
from benchmarks.control.fleet import DIALS_PER_SECOND, Fleet
from benchmarks.control.gossip_end import GossipEnd, await_gossip_end

if TYPE_CHECKING:
    from collections.abc import Callable

WORKERS = (100, 500, 1000, 2000, 4000)
#: Numbers of workers measured with all sides linked to the entry; its link
#: limit bounds them.
FULLY_LINKED_WORKERS = (500, 1000, 2000)
ROLES = ('entry', 'side', 'full')
#: Limits of the cost of a process at 4,000 workers.
TARGETS = MappingProxyType({'share': 0.017, 'bytes': 30000, 'memory': 128})
#: Time for links to open and exchange their first messages, in seconds.
SETTLING_TIME = 9.0
#: Number of message types printed, the most frequent first.
SHOWN_KINDS = 6
#: Length of each measurement phase, in seconds.
PHASE_TIME = 10.0
#: Changes or restarts per second in the phase that measures them.
EVENT_RATE = 2.0


class Cost(NamedTuple):
    """Resource use of a process over a measurement phase."""

    #: Processor time as a fraction of one core.
    share: float
    bytes_a_second: float
    messages_a_second: float
    #: Resident memory in MB at the end.
    memory: float
    #: Messages per second by the name of their type.
    kinds: dict[str, float]


class Row(NamedTuple):
    """Result of the measurement of one process at one size."""

    role: str
    #: `subset` or `full`.
    links: str
    workers: int
    entries: int
    linked: int
    #: Result of the wait for the end of the gossip about joining processes.
    quiet: GossipEnd
    #: Processor time from the first link until the end of the gossip, in
    #: seconds.
    joining: float
    idle: Cost
    #: Processor seconds and bytes of one change of the configuration.
    change: tuple[float, float]
    #: Processor seconds and bytes of one restart of a process.
    restart: tuple[float, float]
    #: Cost at rest plus that of changes and restarts at their daily rates.
    total: Cost


class Meter:
    """Measures the resource use and the traffic of a process.

    :param node: process under measurement.
    :param fleet: stand-in peers of the process.
    """

    #: Whether the cost of changes and restarts is not measured.
    skips_events = False

    def __init__(self, node: nodes.Node, fleet: Fleet) -> None:
        """Record the time and the resource use at the start."""
        self.node = node
        self.fleet = fleet
        self.started = time.monotonic()
        self.initial_usage = node.usage()

    async def measure(
        self, event: Callable[[], object] | None = None
    ) -> tuple[Cost, int]:
        """Return the cost over one phase, and the number of events in it.

        :param event: function called at the event rate, or nothing to measure
            the process at rest.
        """
        before = self.node.usage()
        traffic = self.fleet.traffic()
        started = time.monotonic()
        events = 0
        while time.monotonic() - started < PHASE_TIME:
            if event is not None and events < EVENT_RATE * (PHASE_TIME - 2):
                event()
                events += 1
            await deferLater(self.fleet.reactor, 1 / EVENT_RATE)
        elapsed = time.monotonic() - started
        after = self.node.usage()
        now = self.fleet.traffic()
        cost = Cost(
            (after.processor - before.processor) / elapsed,
            (now.bytes - traffic.bytes) / elapsed,
            (now.messages - traffic.messages) / elapsed,
            after.memory,
            {
                kind: count / elapsed
                for kind, count in (now.kinds - traffic.kinds).most_common()
            },
        )
        return cost, events

    async def measure_event(
        self, idle: Cost, event: Callable[[], object]
    ) -> tuple[float, float]:
        """Return the processor seconds and bytes of one event.

        :param idle: cost of the process at rest.
        :param event: function that causes one event.
        """
        cost, events = await self.measure(event)
        processor = (cost.share - idle.share) * PHASE_TIME / events
        sent = (cost.bytes_a_second - idle.bytes_a_second) * PHASE_TIME / events
        return max(processor, 0), max(sent, 0)


async def measure_entry(reactor: Any, size: Size, *, full: bool) -> Row:
    """Start an entry and its peers and measure the entry.

    :param reactor: Twisted's reactor.
    :param size: size of the deployment.
    :param full: whether all sides link to the entry.
    """
    with ExitStack() as stack:
        log = nodes.start_stand_in(stack, 'log')
        fleet = Fleet(reactor, size, measures_side=False)
        stack.callback(fleet.stop)
        entry, address = nodes.start_entry(stack, [nodes.free_address()], log)
        await deferLater(reactor, 3)
        meter = Meter(entry, fleet)
        fleet.start(address)
        await deferLater(
            reactor,
            SETTLING_TIME + len(fleet.linked_sides()) / DIALS_PER_SECOND,
        )
        return await measure_row(
            meter,
            'entry',
            'full' if full else 'subset',
            lambda: append_change(reactor, log),
        )


async def measure_side(reactor: Any, size: Size) -> Row:
    """Start a side and its peers and measure the side.

    :param reactor: Twisted's reactor.
    :param size: size of the deployment.
    """
    with ExitStack() as stack:
        fleet = Fleet(reactor, size, measures_side=True)
        stack.callback(fleet.stop)
        seeds = [fleet.entries[0].introduction.address]
        side = nodes.start_side(stack, seeds)
        meter = Meter(side, fleet)
        await deferLater(reactor, SETTLING_TIME + 3)
        return await measure_row(
            meter, 'side', 'subset', lambda: fleet.send_change(make_change())
        )


async def measure_row(
    meter: Meter, role: str, links: str, change: Callable[[], object]
) -> Row:
    """Measure a process at rest, under changes and under restarts.

    :param meter: meter of the process.
    :param role: role of the process, `entry` or `side`.
    :param links: `full` if all sides link to all entries, else `subset`.
    :param change: function that changes the configuration once.
    """
    size = meter.fleet.size
    quiet = await await_gossip_end(meter.fleet, meter.started)
    joining = meter.node.usage().processor - meter.initial_usage.processor
    idle, _ = await meter.measure()
    change_cost: tuple[float, float] = (0, 0)
    restart_cost = change_cost
    if not meter.skips_events:
        change_cost = await meter.measure_event(idle, change)
        restart_cost = await meter.measure_event(idle, meter.fleet.restart_one)
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    restarts = size.restarts_per_second()
    total = Cost(
        idle.share + changes * change_cost[0] + restarts * restart_cost[0],
        idle.bytes_a_second
        + changes * change_cost[1]
        + restarts * restart_cost[1],
        idle.messages_a_second,
        meter.node.usage().memory,
        idle.kinds,
    )
    linked = sum(link.is_open for link in meter.fleet.links)
    return Row(
        role,
        links,
        size.workers,
        size.entries,
        linked,
        quiet,
        joining,
        idle,
        change_cost,
        restart_cost,
        total,
    )


async def measure_all(
    reactor: Any, sizes: tuple[int, ...], roles: tuple[str, ...]
) -> list[Row]:
    """Measure all sizes, with the roles of a size at the same time.

    :param reactor: Twisted's reactor.
    :param sizes: numbers of workers to measure.
    :param roles: `entry`, `side`, and `full` for an entry with all links.
    """
    rows: list[Row] = []
    for workers in sizes:
        size = Size.from_workers(workers)
        runs = []
        if 'entry' in roles:
            runs.append(measure_entry(reactor, size, full=False))
        if 'side' in roles:
            runs.append(measure_side(reactor, size))
        if 'full' in roles and workers in FULLY_LINKED_WORKERS:
            full_size = Size.from_workers(workers, full=True)
            runs.append(measure_entry(reactor, full_size, full=True))
        measurements = gatherResults(
            [ensureDeferred(measurement) for measurement in runs]
        )
        measured = await measurements
        rows.extend(measured)
        print('\n'.join(map(format_row, measured)), flush=True)
        print('\n'.join(map(format_idle, measured)), flush=True)
    return sorted(rows)


def format_row(row: Row) -> str:
    """Return a row of the Markdown table.

    :param row: result to print.
    """
    cells = (
        row.role,
        row.links,
        str(row.workers),
        str(row.linked),
        f'{row.idle.share:.2%}',
        f'{row.total.share:.2%}',
        f'{row.total.bytes_a_second / 1000:.1f}',
        f'{row.idle.messages_a_second:.0f}',
        f'{row.total.memory:.1f}',
        f'{row.change[0] * 1000:.1f}',
        f'{row.restart[0] * 1000:.1f}',
    )
    return '| {0} |'.format(' | '.join(cells))


def format_idle(row: Row) -> str:
    """Return a line on the end of gossip and the messages at rest.

    :param row: result to print.
    """
    shown = list(row.idle.kinds.items())[:SHOWN_KINDS]
    kinds = ', '.join(f'{kind} {rate:.1f}' for kind, rate in shown)
    return (
        f'{row.role} {row.links} {row.workers}:'
        f' gossip {row.quiet.rate:.2f} messages/s'
        f' {row.quiet.waited:.0f} s after the first link, which took'
        f' {row.joining:.2f} s of processor time; a second at rest: {kinds}'
    )


HEADER = (
    '| role | links | workers | open links | CPU at rest | CPU of a day '
    '| KB/s | messages/s | MB | ms a change | ms a restart |\n'
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |'
)


def compute_slopes(rows: list[Row]) -> dict[str, dict[str, float]]:
    """Return the growth per worker from the smallest to the largest size.

    :param rows: results, ordered by role, links and number of workers.
    """
    slopes: dict[str, dict[str, float]] = {}
    for kind in sorted({(row.role, row.links) for row in rows}):
        matching = [row for row in rows if (row.role, row.links) == kind]
        first, last = matching[0], matching[-1]
        added = max(last.workers - first.workers, 1)
        slopes[' '.join(kind)] = {
            'share': (last.total.share - first.total.share) / added,
            'bytes': (last.total.bytes_a_second - first.total.bytes_a_second)
            / added,
            'memory': (last.total.memory - first.total.memory) / added,
        }
    return slopes


async def run(reactor: Any, arguments: argparse.Namespace) -> None:
    """Measure all sizes, print the table and write the results as JSON.

    :param reactor: Twisted's reactor.
    :param arguments: parsed command-line arguments.
    """
    print(HEADER, flush=True)
    Meter.skips_events = arguments.rest
    rows = await measure_all(
        reactor, tuple(arguments.workers), tuple(arguments.roles)
    )
    report = {
        'targets': dict(TARGETS),
        'rows': [
            {
                **row._asdict(),
                'quiet': row.quiet._asdict(),
                'idle': row.idle._asdict(),
                'total': row.total._asdict(),
            }
            for row in rows
        ],
        'slopes_a_worker': compute_slopes(rows),
    }
    text = json.dumps(report, indent=1)
    if arguments.json is None:
        print(text)
    else:
        arguments.json.write_text(f'{text}\n')


def main() -> None:
    """Parse the command line and run the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--workers', type=int, nargs='+', default=WORKERS)
    parser.add_argument(
        '--roles', nargs='+', choices=ROLES, default=ROLES, help='what to run'
    )
    parser.add_argument(
        '--rest', action='store_true', help='leave changes and restarts out'
    )
    parser.add_argument('--json', type=Path, help='file for the results')
    arguments = parser.parse_args()

    def start(reactor: Any) -> Deferred[None]:  # noqa: WPS430
        return ensureDeferred(run(reactor, arguments))

    react(start)


if __name__ == '__main__':
    main()
