"""Starts the real processes under measurement and their stand-ins."""

from __future__ import annotations

import atexit
import json
import os
import socket
import subprocess  # noqa: S404
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.control.deployment import (
    DEPLOYMENT,
    HEARTBEAT_INTERVAL,
    LOG_POLL_INTERVAL,
    SEND_WINDOW,
    SHARED_KEY,
    TASK_LEASE,
)

_KB_PER_MB = 1024
_NANOSECONDS_PER_SECOND = 1000000000


class Usage(NamedTuple):
    """Resource use of a process since its start."""

    #: Processor time in seconds.
    processor: float
    #: Resident memory in MB.
    memory: float


class Node:
    """A running process of the system or a stand-in.

    :param arguments: command-line arguments of `python -m`.
    :param directory: directory for its log file.
    """

    def __init__(self, arguments: list[str], directory: Path) -> None:
        """Start the process."""
        self.log = directory / f'{arguments[0]}-{len(os.listdir(directory))}'
        is_standin = '--settings' not in arguments
        with self.log.open('ab') as stream:
            self.process = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', *arguments],
                stdout=subprocess.PIPE if is_standin else stream,
                stderr=stream,
            )
        # A signal drops the coroutine that would stop the process.
        atexit.register(self.stop)

    @classmethod
    def from_settings(cls, settings: dict[str, Any], directory: Path) -> Node:
        """Write the settings file of an entry or a side and start it.

        :param settings: settings added to those common to all processes.
        :param directory: directory for its settings file and log file.
        """
        path = directory / f'{settings["node"]}.json'
        common = {
            'deployment': DEPLOYMENT,
            'shared_key': SHARED_KEY,
            'heartbeat': HEARTBEAT_INTERVAL,
            'send_window': SEND_WINDOW,
            'task_lease': TASK_LEASE,
            'operator_address': free_address(),
            'log_level': 'warning',
        }
        path.write_text(json.dumps({**common, **settings}))
        role = str(settings['role'])
        return cls(['jackdawridge', role, '--settings', str(path)], directory)

    def read_address(self) -> str:
        """Return the address that a stand-in prints when it listens."""
        assert self.process.stdout is not None
        return str(json.loads(self.process.stdout.readline())['address'])

    def usage(self) -> Usage:
        """Return the processor time and the memory used so far."""
        proc = Path('/proc') / str(self.process.pid)
        schedule = (proc / 'schedstat').read_text().split()
        for line in (proc / 'status').read_text().splitlines():
            if line.startswith('VmRSS'):
                memory = int(line.split()[1]) / _KB_PER_MB
        return Usage(int(schedule[0]) / _NANOSECONDS_PER_SECOND, memory)

    def stop(self) -> None:
        """Kill the process, if it has not ended, and wait for its exit."""
        atexit.unregister(self.stop)
        self.process.kill()
        self.process.wait()
        if self.process.stdout is not None:
            self.process.stdout.close()


def free_address() -> str:
    """Return a loopback address that no process listens on."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        return '127.0.0.1:{0}'.format(listener.getsockname()[1])


def start_entry(
    stack: ExitStack, seeds: list[str], log: str
) -> tuple[Node, str]:
    """Start the entry under measurement; return it with its peer address.

    :param stack: stack that stops the process on exit.
    :param seeds: addresses of entries for its setting `entries`.
    :param log: address of the log service as `ip:port`.
    """
    directory = make_directory(stack)
    address = free_address()
    entry = Node.from_settings(
        {
            'role': 'entry',
            'node': 'measured-entry',
            'failure_domain': 'domain-0',
            'caller_address': free_address(),
            'peer_address': address,
            'log_service': log,
            'log_poll': LOG_POLL_INTERVAL,
            'entries': seeds,
        },
        directory,
    )
    stack.callback(entry.stop)
    return entry, address


def start_side(stack: ExitStack, seeds: list[str]) -> Node:
    """Start the side under measurement with a stand-in worker.

    :param stack: stack that stops both processes on exit.
    :param seeds: addresses of entries for its setting `entries`.
    """
    directory = make_directory(stack)
    worker = start_stand_in(
        stack, 'worker', '--node', 'w', '--failure-domain', 'domain-0'
    )
    side = Node.from_settings(
        {
            'role': 'side',
            'node': 'measured-side',
            'failure_domain': 'domain-0',
            'entries': seeds,
            'worker': worker,
        },
        directory,
    )
    stack.callback(side.stop)
    return side


def start_stand_in(stack: ExitStack, *arguments: str) -> str:
    """Start a stand-in of the platform and return its address.

    :param stack: stack that stops the process on exit.
    :param arguments: command-line arguments of the command `standin`.
    """
    node = Node(
        ['jackdawridge.cmd.standin', 'standin', *arguments],
        make_directory(stack),
    )
    stack.callback(node.stop)
    return node.read_address()


def make_directory(stack: ExitStack) -> Path:
    """Create a temporary directory and return its path.

    :param stack: stack that deletes the directory on exit.
    """
    directory = tempfile.TemporaryDirectory()
    return Path(stack.enter_context(directory))
