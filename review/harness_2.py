"""Stand-ins and processes for the scripts of the second review.

Uses the standard library only. The store, the minions and the clients run in
one process; the programs of the project are started with the commands of the
deploy file. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

ROOT = Path(__file__).resolve().parents[1]
#: Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Bounds of the small sites, in seconds.
HEARTBEAT_INTERVAL = 1.5
HOLD_MAX = 1.0
STOP_TIME = 0.01
RESEND_TIME = 1.3
CONTACT_TIME = 3.0
GRACE_TIME = 6
_REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 421: 'Misdirected'}


class CaseError(Exception):
    """The case could not be run."""


def has_trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run to `record.txt`.

    :param folder: folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self.stream = (folder / 'record.txt').open('w')
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        """Append a line with the time since the start of the script."""
        seconds = time.monotonic() - self.began
        self.stream.write(f'{seconds:8.3f}  {text}\n')
        self.stream.flush()


class Request:
    """A request that a server has read."""

    def __init__(self, method: str, target: str, body: bytes) -> None:
        self.method = method
        self.path, _, query = target.partition('?')
        pairs = (pair.partition('=') for pair in query.split('&') if pair)
        self.query = {name: text for name, _, text in pairs}
        self.body = body
        self.headers: dict[str, str] = {}


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Return first line, headers and body of an HTTP message."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').strip().split('\r\n')
    pairs = (line.partition(':') for line in lines)
    headers = {name.lower(): text.strip() for name, _, text in pairs}
    if headers.get('transfer-encoding') == 'chunked':
        body = b''
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return first, headers, body
    length = int(headers.get('content-length', 0))
    return first, headers, await reader.readexactly(length)


class Server:
    """An HTTP/1.1 server that keeps its connections open.

    :param handle: returns status and body of the answer to a request, or None
        to leave it unanswered.
    """

    def __init__(
        self,
        handle: Callable[[Request], Awaitable[tuple[int, bytes] | None]],
    ) -> None:
        self.handle = handle
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self, address: str) -> None:
        """Listen at an address."""
        host, _, port = address.rpartition(':')
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a connection one after the other."""
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while message := await read_message(reader):
                first, headers, body = message
                method, target, _ = first.split(' ', 2)
                request = Request(method, target, body)
                request.headers = headers
                answer = await self.handle(request)
                if answer is None:
                    await asyncio.sleep(30)
                    break
                status, content = answer
                writer.write(encode_answer(status, content))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def close(self) -> None:
        """Close the port and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.close()


def encode_answer(status: int, content: bytes) -> bytes:
    """Return the bytes of an answer."""
    head = (
        f'HTTP/1.1 {status} {_REASONS.get(status, "Other")}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(content)}\r\n\r\n'
    )
    return head.encode() + content


async def ask(
    address: str,
    method: str,
    path: str,
    document: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 10,
) -> tuple[int, Any]:
    """Send a request on a new connection; return status and decoded body.

    The status is 0 if there is no whole answer in time.
    """
    host, _, port = address.rpartition(':')
    body = b'' if document is None else json.dumps(document).encode()
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {address}',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
    ]
    for name, text in (headers or {}).items():
        if name == 'Host':
            lines[1] = f'Host: {text}'
        else:
            lines.append(f'{name}: {text}')
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, None
    first, _, content = message
    try:
        decoded = json.loads(content)
    except ValueError:
        decoded = None
    return int(first.split()[1]), decoded


class Store:
    """The platform's store with the records of the operator."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.written = asyncio.Event()
        self.server = Server(self.handle)

    def put(self, key: str, document: Any) -> None:
        """Append a record of the operator; None deletes its key."""
        value = b'' if document is None else json.dumps(document).encode()
        self.records.append((key, value))
        self.written.set()
        self.written = asyncio.Event()

    async def handle(self, request: Request) -> tuple[int, bytes]:
        """Answer a read of the topic of the operator."""
        if request.path == '/v1/log-newest':
            return 200, self.newest()
        if request.path != '/v1/log-read':
            return 404, b'{}'
        start = int(request.query['from'])
        wait = int(request.query.get('waitMs', 0)) / 1000
        if start >= len(self.records):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.written.wait(), wait)
        body = struct.pack('>QQ', len(self.records), 0)
        for key, value in self.records[start:]:
            content = bytes((len(key),)) + key.encode() + value
            body += struct.pack('>I', len(content)) + content
        return 200, body

    def newest(self) -> bytes:
        """Return the newest record of each key."""
        newest = {
            key: (offset, value)
            for offset, (key, value) in enumerate(self.records)
        }
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in newest.items()
            if value
        ]
        end = len(self.records)
        document = {'items': items, 'hasMore': False, 'endOffset': end}
        return json.dumps(document).encode()


class Run:
    """A run of a task at a minion."""

    def __init__(self, minion: Minion, task: str, number: int) -> None:
        self.minion = minion
        self.task = task
        self.number = number
        self.started = time.monotonic()
        self.ended: float | None = None
        self.how = ''
        self.timer: asyncio.TimerHandle | None = None

    def overlap(self, other: Run) -> float:
        """Return for how many seconds both runs were at work together."""
        now = time.monotonic()
        begin = max(self.started, other.started)
        return min(self.ended or now, other.ended or now) - begin


class Minion:
    """A minion with a lease, an epoch number and a list of ends.

    The `spec` of a job is the time for which its tasks run, in seconds.

    :param deployment: the deployment that the minion belongs to.
    :param host: loopback address of its machine.
    :param zone: zone of its machine.
    """

    def __init__(self, deployment: Deployment, host: str, zone: str) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.host = host
        self.zone = zone
        self.address = f'{host}:{deployment.ports["app"]}'
        self.control = f'{host}:{deployment.ports["control"]}'
        self.server = Server(self.handle)
        self.history: list[Run] = []
        self.state = 'ready'
        self.id = f'i-{random.randrange(16**8):08x}'  # noqa: S311
        self.boot()

    def boot(self) -> None:
        """Begin a life in which nothing of before is known."""
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.lease_until = 0.0
        self.lease_timer: asyncio.TimerHandle | None = None
        self.running: dict[str, Run] = {}
        self.finished: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.end_count = 0
        self.changed = asyncio.Event()

    def clock_ms(self) -> int:
        """Return the time on the minion's clock."""
        return int((time.monotonic() - self.origin) * 1000)

    async def start(self) -> None:
        """Listen, and send heartbeats from now on."""
        await self.server.listen(self.address)
        self.deployment.spawn(self.beat_forever())

    async def beat_forever(self) -> None:
        """Send heartbeats."""
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    async def beat(self) -> int:
        """Send a heartbeat; return the status of the answer."""
        self.sequence += 1
        path = f'/v1/Instances.Heartbeat/{self.id}'
        status, _ = await ask(
            self.control, 'POST', path, self.heartbeat(), timeout=1
        )
        return status

    def heartbeat(self) -> dict[str, Any]:
        """Return the body of a heartbeat."""
        return {
            'service': self.deployment.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'coldRemainingMs': 0,
            'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 0},
            'labels': ['a', 'r1-1'],
            'clockMs': self.clock_ms(),
            'seq': self.sequence,
            'born': self.born,
        }

    async def handle(self, request: Request) -> tuple[int, bytes] | None:
        """Carry out an order."""
        body = json.loads(request.body)
        if request.headers.get('expect-instance', self.id) != self.id:
            return self.answer(421, {})
        if body.get('fence', 0) < self.fence:
            return self.answer(409, {'reason': 'fence'})
        self.fence = body.get('fence', 0)
        if 'deadlineMs' in body:
            self.extend_lease(body['deadlineMs'])
        if request.path == '/v1/run-start':
            return self.run_start(body)
        if request.path == '/v1/run-stop':
            return self.run_stop(body)
        return await self.hold(body)

    def answer(
        self, status: int, document: dict[str, Any]
    ) -> tuple[int, bytes]:
        """Return an answer with the clock and the start of this life."""
        document = {'clockMs': self.clock_ms(), 'born': self.born, **document}
        return status, json.dumps(document).encode()

    def extend_lease(self, deadline_ms: float) -> None:
        """Extend the lease, by `HOLD_MAX` at most."""
        now = self.clock_ms()
        until = min(deadline_ms, now + HOLD_MAX * 1000)
        if until <= self.lease_until:
            return
        self.lease_until = until
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(
            max(until - now, 0) / 1000, self.lapse
        )

    def lapse(self) -> None:
        """End all runs since the lease has expired."""
        for run in tuple(self.running.values()):
            self.end(run, 'lapsed')

    def run_start(self, body: dict[str, Any]) -> tuple[int, bytes]:
        """Start a run."""
        task, number = body['task'], body['run']
        current = self.running.get(task)
        if current is not None and current.number == number:
            return self.answer(200, {})
        if number <= self.finished.get(task, 0):
            return self.answer(409, {'reason': 'old'})
        if self.lease_until <= self.clock_ms():
            return self.answer(409, {'reason': 'late'})
        run = Run(self, task, number)
        self.history.append(run)
        self.running[task] = run
        seconds = float(body['spec'].split()[0])
        run.timer = asyncio.get_running_loop().call_later(
            seconds, self.end, run, 'done'
        )
        self.record.write(f'start {task} run {number} at {self.host}')
        return self.answer(200, {})

    def run_stop(self, body: dict[str, Any]) -> tuple[int, bytes]:
        """Stop a run, or keep it from starting."""
        task, number = body['task'], body['run']
        self.finished[task] = max(self.finished.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(
                STOP_TIME, self.end, run, 'stopped'
            )
        return self.answer(200, {})

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if run.ended is not None:
            return
        run.ended = time.monotonic()
        run.how = how
        if run.timer is not None:
            run.timer.cancel()
        self.running.pop(run.task, None)
        self.finished[run.task] = max(
            self.finished.get(run.task, 0), run.number
        )
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, ''])
        self.record.write(f'{how} {run.task} run {run.number} at {self.host}')
        self.changed.set()
        self.changed = asyncio.Event()

    async def hold(self, body: dict[str, Any]) -> tuple[int, bytes]:
        """Report what runs and what has ended."""
        seen = body.get('lastSeen', 0)
        self.ends = [row for row in self.ends if row[0] > seen]
        wait = min(body.get('waitMs', 0), 2000) / 1000
        if not self.ends and wait:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait)
        running = [
            [run.task, run.number, '', 100, 0] for run in self.running.values()
        ]
        return self.answer(
            200, {'running': running, 'endedRuns': self.ends[:500]}
        )


class Node:
    """A machine with one process of the system."""

    def __init__(
        self, deployment: Deployment, role: str, host: str, zone: str
    ) -> None:
        self.deployment = deployment
        self.role = role
        self.host = host
        self.zone = zone
        self.name = f'{role}-{host}'
        self.settings = deployment.folder / f'{self.name}.toml'
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        """Address for clients."""
        return f'{self.host}:{self.deployment.ports["front"]}'

    @property
    def ready(self) -> str:
        """Address of the readiness check."""
        return f'{self.host}:{self.deployment.ports["ready"]}'

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.settings.write_text(self.deployment.settings(self))
        command = self.deployment.roles[self.role]['run'].split()
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'JACKDAWRIDGE_NODE_FILE': str(self.settings),
        }
        log = self.deployment.folder / f'{self.name}.log'
        with log.open('ab') as stream:
            self.process = subprocess.Popen(  # noqa: S603
                command,
                cwd=ROOT,
                env=environment,
                stdout=stream,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log_lines(self, text: str) -> list[str]:
        """Return the lines of the log that hold a text."""
        log = self.deployment.folder / f'{self.name}.log'
        lines = log.read_text(errors='replace').splitlines()
        return [line for line in lines if text in line]


class Deployment:
    """Entries, sides, minions and the store, each machine with an address.

    :param record: receives what is sent, answered and run.
    :param entries: number of entries.
    :param sides: number of sides, each with a minion.
    :param zones: names of the zones; machines are spread over them in turn.
    """

    def __init__(
        self, record: Record, entries: int, sides: int, zones: Iterable[str]
    ) -> None:
        self.record = record
        self.zones = list(zones)
        self.service = 'svc-a'
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        document = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.roles = document['roles']
        self.network, self.ports, self.store_address = find_addresses(
            entries + sides
        )
        self.tasks: set[asyncio.Task[Any]] = set()
        self.store = Store()
        self.entries = [
            self.make_node('entry', number) for number in range(entries)
        ]
        self.sides = [
            self.make_node('side', entries + number) for number in range(sides)
        ]
        self.minions = [
            Minion(self, side.host, side.zone) for side in self.sides
        ]

    def make_node(self, role: str, number: int) -> Node:
        """Return a machine of a role."""
        host = f'{self.network}.{number + 1}'
        return Node(self, role, host, self.zones[number % len(self.zones)])

    def settings(self, node: Node) -> str:
        """Return the settings file of a machine."""
        ports = self.ports
        seeds = [f'{one.host}:{ports["control"]}' for one in self.entries[:3]]
        on_side = node.role == 'side'
        listen = (
            f'control = "{node.host}:{ports["control"]}"'
            if on_side
            else (
                f'front = "{node.front}"\nready = "{node.ready}"\n'
                f'control = "{node.host}:{ports["control"]}"'
            )
        )
        app = f'app = "{node.host}:{ports["app"]}"\nservice = "{self.service}"'
        return '\n'.join(
            (
                f'nodeName = "{node.name}"',
                f'role = "{node.role}"',
                f'machineClass = "{"side" if on_side else "front"}"',
                f'serves = {json.dumps(self.roles[node.role]["serves"])}',
                f'ip = "{node.host}"',
                f'zone = "{node.zone}"',
                'region = "region-a"',
                f'internalPorts = [{ports["first"]}, {ports["last"]}]',
                f'seeds = {json.dumps(seeds)}',
                'bootstrap = true',
                'discovery = "local"',
                'entry = "vip"',
                'heartbeatMs = 1500',
                'orders = "invoke"',
                app if on_side else '',
                '[listen]',
                listen,
                '[limits]',
                'cores = 1',
                'memoryMb = 300',
                'maxFds = 4100',
                '[bounds]',
                f'graceS = {GRACE_TIME}',
                f'holdMaxMs = {int(HOLD_MAX * 1000)}',
                'stopTimeoutMs = 50',
                f'resendMs = {int(RESEND_TIME * 1000)}',
                '[platform]',
                f'address = "{self.store_address}"',
                'form = "log"',
                '',
            )
        )

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine beside the others."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def configure(self, version: int, **route: Any) -> None:
        """Write a configuration with one queue."""
        queue = {
            'name': 'q-1',
            'host': 'a.example',
            'pathPrefix': '/q1/',
            'service': self.service,
            'kind': 'non_idempotent',
            'priority': 1,
            'maxAttempts': 4,
            'stretch': 1.5,
            'targetLatencyMs': 60,
            'timeoutMs': 1500,
            **route,
        }
        document = {
            'version': version,
            'routes': [queue],
            'services': [{'name': self.service, 'admissionCheck': False}],
            'limits': {'maxBodyBytes': 262144},
        }
        self.store.put('config', document)

    async def start(self) -> None:
        """Start all programs and wait until entries and sides are linked."""
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CaseError('the build of the deploy file is missing')
        self.configure(10)
        await self.store.server.listen(self.store_address)
        for minion in self.minions:
            await minion.start()
        for node in (*self.entries, *self.sides):
            node.start()
        for entry in self.entries:
            await self.wait_until(
                lambda node=entry: self.is_serving(node),
                f'{entry.name} sees all sides',
            )

    async def is_serving(self, entry: Node) -> bool:
        """Return whether an entry is ready and linked to all sides."""
        status, _ = await ask(entry.ready, 'GET', '/v1/ready', timeout=1)
        if status != 200:
            return False
        address = f'{entry.host}:{self.ports["last"]}'
        _, document = await ask(address, 'GET', '/v1/status', timeout=1)
        text = json.dumps(document)
        return all(side.name in text for side in self.sides)

    async def wait_until(
        self, condition: Callable[[], Any], text: str, limit: float = 25
    ) -> None:
        """Wait for a condition; the case can't run if it is not met in time."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.05)
        raise CaseError(f'in vain: {text}')

    async def submit(
        self,
        entry: Node,
        job: str,
        body: dict[str, Any],
        wait: float,
        leaves: float = 0,
    ) -> int:
        """Send a job and return the status of the answer, 0 without one.

        :param entry: entry that gets the job.
        :param job: id of the job.
        :param body: the job.
        :param wait: time limit of the client, in seconds.
        :param leaves: time after which the client leaves, if before that.
        """
        self.record.write(f'POST {job} to {entry.name}')
        status, document = await ask(
            entry.front,
            'POST',
            f'/q1/{job}',
            body,
            {'Host': 'a.example', 'Deadline-Ms': str(int(wait * 1000))},
            timeout=leaves or wait,
        )
        self.record.write(f'answer to {job}: {status or "none"} {document}')
        return status

    def runs(self) -> list[Run]:
        """Return all runs of all minions."""
        return [run for minion in self.minions for run in minion.history]

    def overlaps(self) -> list[tuple[Run, Run, float]]:
        """Return pairs of runs of one task that were at work together."""
        by_task: dict[str, list[Run]] = {}
        for run in self.runs():
            by_task.setdefault(run.task, []).append(run)
        found = []
        for runs in by_task.values():
            for number, run in enumerate(runs):
                for other in runs[number + 1 :]:
                    if (shared := run.overlap(other)) > 0:
                        found.append((run, other, shared))
        return found

    async def close(self) -> None:
        """End all processes that were started."""
        for task in tuple(self.tasks):
            task.cancel()
        for node in (*self.entries, *self.sides):
            node.kill()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for log in self.folder.glob('*.log'):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()


def find_addresses(hosts: int) -> tuple[str, dict[str, int], str]:
    """Return a free loopback network, ports by purpose, and a store address."""
    names = ('first', 'last', 'control', 'app', 'front', 'ready', 'store')
    choice = random.Random()  # noqa: S311
    for _ in range(50):
        network = f'127.{choice.randrange(1, 250)}.{choice.randrange(1, 250)}'
        base = choice.randrange(10000, 30000)
        ports = {name: base + number for number, name in enumerate(names)}
        ports['last'] = base + 15
        if all(
            is_free(f'{network}.{host + 1}', port)
            for host in range(hosts)
            for port in ports.values()
        ):
            return network, ports, f'{network}.200:{ports["store"]}'
    raise CaseError('no free ports')


def is_free(host: str, port: int) -> bool:
    """Return whether nothing is bound to an address."""
    import socket

    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def make_job(seconds: float, tasks: int, cpu: int = 1000) -> dict[str, Any]:
    """Return a job of one step whose tasks run for a time."""
    step = {
        'count': tasks,
        'cpu': cpu,
        'memMb': 256,
        'estDurationMs': int(seconds * 1000),
    }
    return {'spec': str(seconds), 'steps': [step], 'bestEffort': True}


def job_id() -> str:
    """Return an id as a client chooses it."""
    return f'{random.randrange(16**16):016x}'  # noqa: S311


def run_case(folder: Path, play: Callable[[Record], Awaitable[str]]) -> None:
    """Run a case and exit with its code.

    :param folder: folder of the case.
    :param play: plays the case; returns how the rule was broken, or an empty
        text if it held.
    """
    record = Record(folder)

    async def play_quietly() -> str:
        # Connections that are open at the end are cancelled.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await play(record)

    try:
        broken = asyncio.run(play_quietly())
    except (CaseError, OSError, AssertionError) as error:
        record.write(f'the case could not run: {error}')
        sys.stdout.write(f'not run: {error}\n')
        sys.exit(NOT_RUN)
    record.write(f'broken: {broken}' if broken else 'the rule held')
    sys.stdout.write(f'broken: {broken}\n' if broken else 'held\n')
    sys.exit(BROKEN if broken else HELD)
