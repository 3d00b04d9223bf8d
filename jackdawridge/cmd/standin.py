"""The `standin` command: small services for tests and trials."""

from __future__ import annotations

import argparse
import json
import os
import sys
from typing import TYPE_CHECKING, Any, Protocol

from jackdawridge.standins.log import LogService
from jackdawridge.standins.minion import Minion
from jackdawridge.standins.proxy_control import ProxyControl
from jackdawridge.standins.sharing import Size
from jackdawridge.standins.worker import Worker

if TYPE_CHECKING:
    from collections.abc import Callable

_ANY_PORT = '127.0.0.1:0'
_CORES = 16
_MEMORY_MB = 32768


class Service(Protocol):
    """Anything that listens."""

    def start(self, address: str = _ANY_PORT) -> str:
        """Listen and return the address."""


def add_parser(subparsers: Any) -> None:
    """Add the command `standin` with its kinds.

    :param subparsers: of the main parser.
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
    worker.add_argument('--cores', type=float, default=_CORES)
    worker.add_argument(
        '--memory', type=float, default=_MEMORY_MB, help='in MB'
    )
    worker.add_argument('--accelerators', type=int, default=0)
    _add_place(worker)
    _add_place(_add_kind(kinds, 'minion', run_minion, 'a minion'))
    _add_kind(
        kinds,
        'proxy',
        run_proxy,
        'TCP fault proxies, opened by POST /proxies {"name", "target"}',
    )


def run_log(arguments: argparse.Namespace) -> int:
    """Run a log service.

    :param arguments: of the command line.
    """
    return _serve(
        arguments, lambda reactor: LogService(reactor, arguments.seed)
    )


def run_worker(arguments: argparse.Namespace) -> int:
    """Run a worker.

    :param arguments: of the command line.
    """
    size = Size(arguments.cores, arguments.memory, arguments.accelerators)
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
    """Run a minion.

    :param arguments: of the command line.
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
    """Run the control of fault proxies.

    :param arguments: of the command line.
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
    """Add one kind of stand-in."""
    parser: argparse.ArgumentParser = kinds.add_parser(name, help=summary)
    parser.add_argument(
        '--address',
        default=_ANY_PORT,
        help='ip:port to listen on; port 0 for any free one',
    )
    parser.add_argument(
        '--seed', type=int, default=0, help='of faults that occur at random'
    )
    parser.set_defaults(run=run)
    return parser


def _add_place(parser: argparse.ArgumentParser) -> None:
    """Add what is written into the record of starts."""
    parser.add_argument('--failure-domain', default='')
    parser.add_argument('--node', default='')


def _serve(
    arguments: argparse.Namespace, make: Callable[[Any], Service]
) -> int:
    """Run one service until a signal."""
    from twisted.internet import reactor  # noqa: WPS433

    service = make(reactor)
    line = {
        'kind': arguments.kind,
        'pid': os.getpid(),
        'address': service.start(arguments.address),
    }
    print(json.dumps(line), flush=True)
    _run(reactor)
    return 0


def _run(reactor: Any) -> None:
    """Run the reactor until a signal ends it."""
    reactor.run()


def main() -> int:
    """Run a stand-in by itself and return the exit code."""
    parser = argparse.ArgumentParser(prog='jackdawridge')
    add_parser(parser.add_subparsers(required=True))
    arguments = parser.parse_args()
    return int(arguments.run(arguments))


if __name__ == '__main__':
    sys.exit(main())
