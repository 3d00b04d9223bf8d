"""The command `demo`."""

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
    """Add the command.

    :param subparsers: of the main parser.
    """
    parser = subparsers.add_parser(
        'demo',
        help='show the whole path with a small deployment in one process',
        description=(
            'Run a deployment in small on loopback, without any outside'
            ' service: post requests and jobs, take a failure domain out and'
            ' back, and report. The last line is JSON. Exit 1 if a promise'
            ' was broken.'
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
        help='of the processes, on standard error',
    )
    parser.set_defaults(run=run)


class Demo:
    """Runs the scenario on the reactor and keeps its report.

    :param arguments: of the command line.
    :param reactor: Twisted's reactor.
    """

    def __init__(self, arguments: argparse.Namespace, reactor: Any) -> None:
        """Prepare without starting."""
        self.reactor = reactor
        self.quiet = arguments.json
        self.began = time.monotonic()
        self.code = Exit.failed
        deployment = DEPLOYMENTS[arguments.deployment]
        self.cluster = LocalCluster(reactor, deployment, arguments.seed)
        self.scenario = Scenario(self.cluster, arguments.seed, self.say)

    def say(self, line: str) -> None:
        """Print a line of progress.

        :param line: without its end.
        """
        if not self.quiet:
            passed = time.monotonic() - self.began
            print(f'{passed:6.1f} s  {line}', flush=True)

    def begin(self) -> None:
        """Start the run, and stop the reactor at its end."""
        ran = ensureDeferred(self.play())
        ran.addErrback(self.broken)
        ran.addBoth(lambda _: self.reactor.stop())

    async def play(self) -> None:
        """Start the deployment, run the scenario, stop and report."""
        deployment = self.cluster.deployment
        self.say(
            f'{deployment.name}: {deployment.sides} sides in'
            f' {len(deployment.failure_domains)} failure domains'
        )
        self.cluster.start()
        report = await self.scenario.run()
        await self.cluster.stop()
        self.say('all processes have drained and stopped')
        if not self.quiet:
            print_report(report)
        print(msgspec.json.encode(report._asdict()).decode(), flush=True)
        if report.is_clean():
            self.code = Exit.ok

    def broken(self, failure: Failure) -> None:
        """Print why the run has ended early.

        :param failure: of the run.
        """
        print(failure.getTraceback(), file=sys.stderr)


def print_report(report: Report) -> None:
    """Print a report for a reader.

    :param report: of the run.
    """
    print()
    for name, value in report._asdict().items():
        label = name.replace('_', ' ')
        print(f'  {label:<32}{value:>10}')
    print()


def run(arguments: argparse.Namespace) -> int:
    """Run the demo.

    :param arguments: of the command line.
    """
    from twisted.internet import reactor  # noqa: WPS433

    install(arguments.log_level, 1, 'demo', sys.stderr.fileno())
    demo = Demo(arguments, reactor)
    loop: Any = reactor
    loop.callWhenRunning(demo.begin)
    loop.run()
    return demo.code
