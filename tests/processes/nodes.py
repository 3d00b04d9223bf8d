"""The processes of a deployment under test, by role."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from jackdawridge.settings_table import SETTINGS
from tests.processes.http import Reply, request
from tests.processes.ports import find_free_addresses
from tests.processes.process import Process


class StandInNode:
    """Stand-in that runs as a process.

    :param directory: directory for the log.
    :param name: name of the process.
    :param arguments: command-line arguments after `standin`.
    """

    def __init__(
        self, directory: Path, name: str, arguments: list[str]
    ) -> None:
        """Start the process without waiting until it is ready."""
        self.name = name
        self.address = find_free_addresses(1)[0]
        self.process = Process(
            name,
            [
                'jackdawridge.cmd.standin',
                'standin',
                *arguments,
                '--address',
                self.address,
            ],
            directory / f'{name}.log',
        )

    def wait_ready(self) -> str:
        """Wait until the stand-in listens and return its address."""
        if not self.process.ready:
            self.process.wait_ready()
        return self.address

    def set_faults(self, **faults: Any) -> None:
        """Set the given faults and keep all others."""
        reply = request(self.address, 'POST', '/faults', faults)
        assert reply.status == 200, reply.body

    def record(self) -> Any:
        """Return what the stand-in has recorded."""
        return request(self.address, 'GET', '/record').body

    def tasks(self) -> list[Any]:
        """Return the running and the retained tasks of a worker."""
        body = request(self.address, 'GET', '/v1/tasks').body
        return list(body['tasks'])

    def close(self) -> None:
        """End the process."""
        self.process.close()


class Node:
    """Entry or side that runs as a process and can be replaced.

    :param directory: directory for the settings file and the log.
    :param document: settings by name.
    """

    def __init__(self, directory: Path, document: dict[str, Any]) -> None:
        """Write the settings file without starting the process."""
        self.directory = directory
        self.document = document
        self.name: str = document['node']
        self.operator_address: str = document['operator_address']
        self.settings = directory / f'{self.name}.json'
        self.process: Process | None = None
        self.write()

    def write(self) -> None:
        """Write the settings file that the next start of the process reads."""
        role = self.document['role']
        names = {row.name for row in SETTINGS if role in row.roles}
        known = {
            name: setting
            for name, setting in self.document.items()
            if name in names
        }
        self.settings.write_text(json.dumps(known))

    def should_run(self) -> bool:
        """Return whether the process was started and the test has not ended it.

        :raises AssertionError: if the process has exited by itself.
        """
        if self.process is None or self.process.is_ended:
            return False
        code = self.process.popen.poll()
        assert code is None, f'{self.name} ended: {self.process.log_tail()}'
        return True

    @property
    def running(self) -> Process:
        """Started process.

        :raises AssertionError: if the process was never started.
        """
        assert self.process is not None
        return self.process

    @property
    def caller_address(self) -> str:
        """Callers' address of an entry."""
        return str(self.document['caller_address'])

    @property
    def peer_address(self) -> str:
        """Peer address of an entry."""
        return str(self.document['peer_address'])

    @property
    def pid(self) -> int:
        """Process id."""
        return self.running.popen.pid

    def start(self) -> None:
        """Start the process, or replace one that has ended."""
        if self.process is not None:
            self.process.close()
        self.process = Process(
            self.name,
            [
                'jackdawridge',
                self.document['role'],
                '--settings',
                str(self.settings),
            ],
            self.directory / f'{self.name}.log',
            announces=False,
        )

    def ask(self, method: str, path: str, body: Any = None) -> Reply:
        """Send a request to the operators' address and return the response."""
        return request(self.operator_address, method, path, body)

    def status(self) -> Any:
        """Return the status document, or None if the process is unreachable."""
        try:
            return self.ask('GET', '/v1/status').body
        except OSError:
            return None

    def known_sides(self) -> list[str]:
        """Return the names of the sides that an entry may place tasks at."""
        status = self.status() or {}
        return list(status.get('jobs', {}).get('sides', []))

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the parsed log lines of all runs of the process."""
        text = (self.directory / f'{self.name}.log').read_text()
        return [
            json.loads(line)
            for line in text.splitlines()
            if line.startswith('{')
        ]

    def close(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.close()
