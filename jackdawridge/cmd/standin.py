"""The command `standin`: small services for tests and trials."""

from __future__ import annotations

import argparse
import json
import os
import sys
from typing import TYPE_CHECKING, Any, Protocol

from jackdawridge.standins.log import LogService
from jackdawridge.standins.minion import Minion
from jackdawridge.standins.proxy_control import ProxyControl
from jackdawridge.standins.shared_processors import Resources
from jackdawridge.standins.worker import Worker

if TYPE_CHECKING:
    from collections.abc import Callable

_DEFAULT_ADDRESS = '127.0.0.1:0'
_DEFAULT_CORES = 16
_DEFAULT_MEMORY_MB = 32768


class Service(Protocol):
    """A stand-in that listens on an address."""

    def start(self, address: str = _DEFAULT_ADDRESS) -> str:
        """Listen and return the bound address."""


def add_parser(subparsers: Any) -> None:
    """Add the command `standin` with its kinds.

    :param subparsers: the subparsers of the main parser.
    """
    parser = subparsers.add_parser(
        'standin',
        help='run a small service in place of the platform',
        description=(
            'Run a stand-in for tests and trials. It prints one line of '
            'JSON with its address when it is ready.'
        ),
    )
    kinds = parser.add_subparsers(dest='kind', required=True)
    _add_kind(kinds, 'log', run_log, 'an append-only log service')
    worker = _add_kind(kinds, 'worker', run_worker, 'a worker')
    worker.add_argument('--cores', type=float, default=_DEFAULT_CORES)
    worker.add_argument(
        '--memory', type=float, default=_DEFAULT_MEMORY_MB, help='in MB'
    )
    worker.add_argument('--accelerators', type=int, default=0)
    _add_location_options(worker)
    _add_location_options(_add_kind(kinds, 'minion', run_minion, 'a minion'))
    _add_kind(
        kinds,
        'proxy',
        run_proxy,
        'TCP fault proxies, opened by POST /proxies {"name", "target"}',
    )


def run_log(arguments: argparse.Namespace) -> int:
    """Run a log service until a signal and return the exit code.

    :param arguments: the parsed command line.
    """
    return _serve(
        arguments, lambda reactor: LogService(reactor, arguments.seed)
    )


def run_worker(arguments: argparse.Namespace) -> int:
    """Run a worker until a signal and return the exit code.

    :param arguments: the parsed command line.
    """
    size = Resources(arguments.cores, arguments.memory, arguments.accelerators)
    return _serve(
        arguments,
        lambda reactor: Worker(
            reactor,
            size,
            failure_domain=arguments.failure_domain,
            node=arguments.node,
            seed=arguments.seed,
        ),
    )


def run_minion(arguments: argparse.Namespace) -> int:
    """Run a minion until a signal and return the exit code.

    :param arguments: the parsed command line.
    """
    return _serve(
        arguments,
        lambda reactor: Minion(
            reactor,
            failure_domain=arguments.failure_domain,
            node=arguments.node,
            seed=arguments.seed,
        ),
    )


def run_proxy(arguments: argparse.Namespace) -> int:
    """Run the control service of the fault proxies until a signal.

    Return the exit code.

    :param arguments: the parsed command line.
    """
    return _serve(
        arguments, lambda reactor: ProxyControl(reactor, arguments.seed)
    )


def _add_kind(
    kinds: Any,
    name: str,
    run: Callable[[argparse.Namespace], int],
    summary: str,
) -> argparse.ArgumentParser:
    """Add one kind of stand-in and return its parser."""
    parser: argparse.ArgumentParser = kinds.add_parser(name, help=summary)
    parser.add_argument(
        '--address',
        default=_DEFAULT_ADDRESS,
        help='ip:port to listen on; port 0 for any free port',
    )
    parser.add_argument(
        '--seed', type=int, default=0, help='seed of the random faults'
    )
    parser.set_defaults(run=run)
    return parser


def _add_location_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that are written into the record of starts."""
    parser.add_argument('--failure-domain', default='')
    parser.add_argument('--node', default='')


def _serve(
    arguments: argparse.Namespace, build: Callable[[Any], Service]
) -> int:
    """Announce a service on standard output and run it until a signal."""
    from twisted.internet import reactor  # noqa: WPS433

    service = build(reactor)
    announcement = {
        'kind': arguments.kind,
        'pid': os.getpid(),
        'address': service.start(arguments.address),
    }
    print(json.dumps(announcement), flush=True)
    _run(reactor)
    return 0


def _run(reactor: Any) -> None:
    """Run the reactor until a signal ends it."""
    reactor.run()


def main() -> int:
    """Run a stand-in as a module of its own and return the exit code."""
    parser = argparse.ArgumentParser(prog='jackdawridge')
    add_parser(parser.add_subparsers(required=True))
    arguments = parser.parse_args()
    return int(arguments.run(arguments))


if __name__ == '__main__':
    sys.exit(main())
