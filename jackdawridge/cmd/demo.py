"""The command `demo`: runs a small deployment and reports on it."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.defer import ensureDeferred

from jackdawridge.cmd.exits import Exit
from jackdawridge.demo.cluster import LocalCluster
from jackdawridge.demo.deployments import DEPLOYMENTS
from jackdawridge.demo.scenario import Scenario
from jackdawridge.logs import install

if TYPE_CHECKING:
    import argparse

    from twisted.python.failure import Failure

    from jackdawridge.demo.report import Report


def add_parser(subparsers: Any) -> None:
    """Add the command `demo`.

    :param subparsers: the subparsers of the main parser.
    """
    parser = subparsers.add_parser(
        'demo',
        help='run a small deployment with its platform in one process',
        description=(
            'Run a small deployment on loopback, without any outside'
            ' service: post requests and jobs, take a failure domain out and'
            ' back, and report. The last line is JSON. Exit 1 if a guarantee'
            ' was violated.'
        ),
    )
    parser.add_argument(
        '--deployment', choices=sorted(DEPLOYMENTS), default='consortium'
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--json', action='store_true', help='print only the last line'
    )
    parser.add_argument(
        '--log-level',
        default='error',
        choices=('debug', 'info', 'notice', 'warning', 'error'),
        help='log level of the processes, on standard error',
    )
    parser.set_defaults(run=run)


class Demo:
    """Runs the scenario on the reactor and keeps the exit code.

    :param arguments: the parsed command line.
    :param reactor: the Twisted reactor.
    """

    def __init__(self, arguments: argparse.Namespace, reactor: Any) -> None:
        """Create the deployment without starting it."""
        self.reactor = reactor
        self.is_quiet = arguments.json
        self.started_at = time.monotonic()
        self.code = Exit.failed
        deployment = DEPLOYMENTS[arguments.deployment]
        self.cluster = LocalCluster(reactor, deployment, arguments.seed)
        self.scenario = Scenario(
            self.cluster, arguments.seed, self.print_progress
        )

    def print_progress(self, line: str) -> None:
        """Print a line of progress with the time since the start.

        :param line: the text, without a line end.
        """
        if not self.is_quiet:
            elapsed = time.monotonic() - self.started_at
            print(f'{elapsed:6.1f} s  {line}', flush=True)

    def start(self) -> None:
        """Start the run and stop the reactor when it ends."""
        running = ensureDeferred(self.run_scenario())
        running.addErrback(self.print_failure)
        running.addBoth(lambda _: self.reactor.stop())

    async def run_scenario(self) -> None:
        """Run the scenario in the deployment and print the report."""
        deployment = self.cluster.deployment
        self.print_progress(
            f'{deployment.name}: {deployment.side_count} sides in'
            f' {len(deployment.failure_domains)} failure domains'
        )
        self.cluster.start()
        report = await self.scenario.run()
        await self.cluster.stop()
        self.print_progress('all processes have drained and stopped')
        if not self.is_quiet:
            print_report(report)
        print(msgspec.json.encode(report._asdict()).decode(), flush=True)
        if report.is_clean():
            self.code = Exit.ok

    def print_failure(self, failure: Failure) -> None:
        """Print the traceback of a run that ended early.

        :param failure: the error that ended the run.
        """
        print(failure.getTraceback(), file=sys.stderr)


def print_report(report: Report) -> None:
    """Print a report as a table.

    :param report: the report of the run.
    """
    print()
    for name, value in report._asdict().items():
        label = name.replace('_', ' ')
        print(f'  {label:<32}{value:>10}')
    print()


def run(arguments: argparse.Namespace) -> int:
    """Run the demo and return the exit code.

    :param arguments: the parsed command line.
    """
    from twisted.internet import reactor  # noqa: WPS433

    install(arguments.log_level, 1, 'demo', sys.stderr.fileno())
    demo = Demo(arguments, reactor)
    loop: Any = reactor
    loop.callWhenRunning(demo.start)
    loop.run()
    return demo.code
