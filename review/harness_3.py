"""Stand-ins for the users' platform, and the processes of a small deployment.

Uses the standard library only. All stand-ins run in one process, so that what
they record shares one clock.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
HOLD_MAX = 1.0
STOP_TIME = 0.02
#: Longest time that a case may take, in seconds.
MAX_TIME = 110
now = time.monotonic


class Log:
    def __init__(self, path):
        self.stream = open(path, 'w', buffering=1)
        self.t0 = now()

    def __call__(self, *parts):
        self.stream.write(
            f'{now() - self.t0:8.3f} ' + ' '.join(str(p) for p in parts) + '\n'
        )


async def read_http(reader):
    """Return (first line, headers, body) of a message, None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        raw = await reader.readline()
        if raw in (b'\r\n', b'\n', b''):
            break
        name, _, text = raw.decode('latin-1').partition(':')
        headers[name.strip().lower()] = text.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    elif 'chunked' in headers.get('transfer-encoding', ''):
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    return line.decode('latin-1').split(), headers, body


def encode_reply(status, body, kind='application/json'):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return (
        f'HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n'
    ).encode() + body


class Server:
    """An HTTP server; `handle` returns (status, body), or None for no answer."""

    def __init__(self):
        self.writers = set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_http(reader)
                if message is None:
                    break
                (method, target, *_), headers, body = message
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                writer.write(encode_reply(*answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, document=None, timeout=1.0, headers=()):
    """Send one request on a new connection; return (status, body) or None."""
    host, _, port = address.rpartition(':')

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = b'' if document is None else json.dumps(document).encode()
            head = [
                f'{method} {path} HTTP/1.1',
                f'Host: {address}',
                'Content-Type: application/json',
                f'Content-Length: {len(body)}',
            ]
            head += [f'{k}: {v}' for k, v in headers]
            writer.write('\r\n'.join(head).encode() + b'\r\n\r\n' + body)
            message = await read_http(reader)
            if message is None:
                return None
            return int(message[0][1]), message[2]
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (
        OSError,
        asyncio.TimeoutError,
        asyncio.IncompleteReadError,
        ValueError,
        IndexError,
    ):
        return None


class Store(Server):
    """The platform's store, with the topic of the operator only."""

    def __init__(self, log):
        super().__init__()
        self.log = log
        self.records = []
        self.changed = asyncio.Event()

    def put(self, key, document):
        """Append a record; None deletes the key."""
        value = b'' if document is None else json.dumps(document).encode()
        self.records.append((key, value))
        self.log('operator', key, value.decode()[:200])
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition('?')
        args = dict(p.partition('=')[::2] for p in query.split('&'))
        if 'keyed.op' != args.get('topic'):
            return 404, {}
        if path == '/v1/log-newest':
            newest = {}
            for offset, (key, value) in enumerate(self.records):
                newest[key] = (
                    {
                        'key': key,
                        'value': base64.b64encode(value).decode(),
                        'offset': offset,
                    }
                    if value
                    else None
                )
            items = [one for one in newest.values() if one]
            return 200, {
                'items': items,
                'hasMore': False,
                'endOffset': len(self.records),
            }
        start = int(args['from'])
        if start >= len(self.records):
            event = self.changed
            try:
                await asyncio.wait_for(
                    event.wait(), int(args.get('waitMs', 0)) / 1000
                )
            except asyncio.TimeoutError:
                pass
        out = struct.pack('>QQ', len(self.records), 0)
        for key, value in self.records[start:]:
            content = bytes((len(key),)) + key.encode() + value
            out += struct.pack('>I', len(content)) + content
        return 200, out, 'application/octet-stream'


class RunRecord:
    def __init__(self, minion, name, run, spec):
        self.minion, self.name, self.run, self.spec = minion, name, run, spec
        self.since = now()
        self.until = None
        self.how = ''


class Minion(Server):
    """A minion as the pages describe it."""

    def __init__(self, site, host, zone, cores, service='ledger', kind='a'):
        super().__init__()
        self.site, self.log, self.host, self.zone = site, site.log, host, zone
        self.cores, self.service, self.kind = cores, service, kind
        self.id = f'i-{host}'
        self.history = []
        self.late = 0.0  # share of orders carried out late, unanswered
        self.late_paths = ('run-start', 'run-stop')
        self.dark = False  # answers nothing and carries out nothing
        self.state = 'ready'
        self.boots = 0
        self.boot()

    def boot(self, new_id=None):
        self.boots += 1
        if new_id:
            self.id = new_id
        self.born = int(time.time() * 1000)
        self.booted = now()
        self.fence = 0
        self.lease_until = 0.0
        self.running = {}
        self.ends = []
        self.count = 0
        self.refused = {}
        self.seq = 0
        self.ended = asyncio.Event()

    def clock(self):
        return now() - self.booted

    def crash(self, new_id=None):
        """Lose everything, reset the connections and start anew."""
        for record in self.running.values():
            record.until, record.how = now(), 'crashed'
        self.log('minion', self.host, 'crashes and starts anew')
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.boot(new_id)

    def end(self, key, how):
        record = self.running.pop(key, None)
        if record is None:
            return
        record.until, record.how = now(), how
        self.log('end', self.host, *key, how)
        self.count += 1
        self.ends.append([self.count, key[0], key[1], how, ''])
        self.refused[key[0]] = max(self.refused.get(key[0], 0), key[1])
        self.ended.set()
        self.ended = asyncio.Event()

    async def keep_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock() > self.lease_until:
                for key in tuple(self.running):
                    self.end(key, 'lapsed')

    def extend(self, deadline_ms):
        until = min(deadline_ms / 1000, self.clock() + HOLD_MAX)
        self.lease_until = max(self.lease_until, until)

    def report(self):
        return {
            'clockMs': int(self.clock() * 1000),
            'born': self.born,
            'running': [[k[0], k[1], '', 0, 0] for k in self.running],
            'endedRuns': self.ends[:500],
        }

    def simple(self, status, reason=''):
        document = {'clockMs': int(self.clock() * 1000), 'born': self.born}
        if reason:
            document['reason'] = reason
        return status, document

    async def handle(self, method, target, headers, body):
        boot = self.boots
        if self.dark:
            return None
        path = target.rpartition('/')[2]
        expected = headers.get('expect-instance')
        if expected and expected != self.id:
            return 421, {}
        document = json.loads(body)
        if path in self.late_paths and self.site.random.random() < self.late:
            asyncio.get_running_loop().call_later(
                self.site.random.uniform(2, 6),
                self.carry_out_late,
                boot,
                path,
                document,
            )
            return None
        if path == 'hold':
            return await self.hold(document)
        return self.order(path, document)

    def carry_out_late(self, boot, path, document):
        if boot == self.boots and not self.dark:
            if path == 'hold':
                asyncio.ensure_future(self.hold(document))
            else:
                self.log(
                    'late',
                    self.host,
                    path,
                    document['task'],
                    document['run'],
                    self.order(path, document)[0],
                )

    async def hold(self, document):
        if document['fence'] < self.fence:
            return self.simple(409, 'fence')
        self.fence = document['fence']
        self.ends = [e for e in self.ends if e[0] > document['lastSeen']]
        if 'deadlineMs' in document:
            self.extend(document['deadlineMs'])
        if not self.ends and document.get('waitMs'):
            try:
                await asyncio.wait_for(
                    self.ended.wait(), document['waitMs'] / 1000
                )
            except asyncio.TimeoutError:
                pass
        if self.dark:
            return None
        return 200, self.report()

    def order(self, path, document):
        if document['fence'] < self.fence:
            return self.simple(409, 'fence')
        self.fence = document['fence']
        key = (document['task'], document['run'])
        if path == 'run-stop':
            self.refused[key[0]] = max(self.refused.get(key[0], 0), key[1])
            if key in self.running:
                asyncio.get_running_loop().call_later(
                    STOP_TIME, self.end, key, 'stopped'
                )
            return self.simple(200)
        if document['deadlineMs'] / 1000 < self.clock():
            return self.simple(409, 'late')
        self.extend(document['deadlineMs'])
        if key in self.running:
            return self.simple(200)
        if key[1] <= self.refused.get(key[0], 0):
            return self.simple(409, 'old')
        record = RunRecord(self.host, key[0], key[1], document['spec'])
        self.running[key] = record
        self.history.append(record)
        self.log('start', self.host, *key)
        asyncio.get_running_loop().call_later(
            self.run_time(document['spec']), self.finish, self.boots, key
        )
        return self.simple(200)

    def run_time(self, spec):
        return float(spec)

    def finish(self, boot, key):
        if boot == self.boots:
            self.end(key, 'done')

    def ping_document(self):
        self.seq += 1
        return {
            'service': self.service,
            'address': f'{self.host}:{self.site.ports["app"]}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'coldRemainingMs': 0,
            'capacity': {
                'cpu': int(self.cores * 1000),
                'memMb': 64000,
                'gpu': 0,
            },
            'labels': [self.kind, 'r1'],
            'clockMs': int(self.clock() * 1000),
            'seq': self.seq,
            'born': self.born,
        }

    async def ping(self):
        if self.dark:
            return None
        return await call(
            f'{self.host}:{self.site.ports["control"]}',
            'POST',
            f'/v1/Instances.Heartbeat/{self.id}',
            self.ping_document(),
        )

    async def ping_forever(self):
        while True:
            boots = self.boots
            answer = await self.ping()
            # A failed ping is repeated soon, as no next node is known.
            until = now() + (
                self.site.beat if answer and answer[0] == 200 else 0.5
            )
            while now() < until and boots == self.boots:
                await asyncio.sleep(0.01)

    async def start(self):
        await self.listen(self.host, self.site.ports['app'])
        asyncio.ensure_future(self.keep_lease())
        asyncio.ensure_future(self.ping_forever())


class Proxy:
    """Forwards connections; each direction may be held, or all be reset."""

    def __init__(self, log, host, port, target_host, name):
        self.log, self.host, self.port, self.target, self.name = (
            log,
            host,
            port,
            target_host,
            name,
        )
        self.hold_up = self.hold_down = False  # up: towards the target
        self.delay = 0.0
        self.refuse = False
        self.pairs = set()

    async def listen(self):
        self.server = await asyncio.start_server(
            self.accept, self.host, self.port
        )

    async def accept(self, reader, writer):
        if self.refuse:
            writer.transport.abort()
            return
        while self.hold_up or self.hold_down:
            await asyncio.sleep(0.01)
        try:
            up_reader, up_writer = await asyncio.open_connection(
                self.target, self.port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, up_writer)
        self.pairs.add(pair)
        one = asyncio.ensure_future(self.pump(reader, up_writer, 'up'))
        two = asyncio.ensure_future(self.pump(up_reader, writer, 'down'))
        await asyncio.wait({one, two})
        self.pairs.discard(pair)

    async def pump(self, reader, writer, way):
        try:
            while True:
                data = await reader.read(65536)
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self.hold_up if way == 'up' else self.hold_down:
                    await asyncio.sleep(0.005)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        while self.hold_up if way == 'up' else self.hold_down:
            await asyncio.sleep(0.005)
        writer.close()

    def reset(self):
        for pair in tuple(self.pairs):
            for writer in pair:
                writer.transport.abort()


class Node:
    """A machine with one process of the deployment."""

    def __init__(self, site, host, role, zone, seeds, app=None):
        self.site, self.host, self.role, self.zone, self.seeds = (
            site,
            host,
            role,
            zone,
            seeds,
        )
        self.app = app or host
        self.process = None
        self.starts = 0
        self.own_ends = []

    @property
    def name(self):
        return f'{self.role}-{self.host}'

    def write(self):
        site, p = self.site, self.site.ports
        serves = '["front","control"]' if self.role == 'entry' else '["side"]'
        text = f'''nodeName = "{self.name}"
role = "{self.role}"
machineClass = "{'front' if self.role == 'entry' else 'side'}"
serves = {serves}
ip = "{self.host}"
zone = "{self.zone}"
region = "r"
internalPorts = [{p['peer']},{p['operator']}]
seeds = {json.dumps([f'{s}:{p["control"]}' for s in self.seeds])}
bootstrap = true
discovery = "local"
entry = "vip"
heartbeatMs = {int(site.beat * 1000)}
orders = "invoke"
app = "{self.app}:{p['app']}"
service = "ledger"
[listen]
front = "{self.host}:{p['front']}"
ready = "{self.host}:{p['ready']}"
control = "{self.host}:{p['control']}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
evacuateMs = 5000
holdMaxMs = 1000
stopTimeoutMs = 50
cancel_ms = 3000
visible_ms = 3000
resendMs = 1300
[platform]
address = "{site.store_address}"
form = "log"
'''
        path = site.folder / f'{self.name}.toml'
        path.write_text(text)
        return path

    def start(self):
        path = self.write()
        self.starts += 1
        env = {
            k: v for k, v in os.environ.items() if k in {'PATH', 'HOME', 'LANG'}
        }
        env['JACKDAWRIDGE_NODE_FILE'] = str(path)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        out = open(self.site.folder / f'{self.name}.{self.starts}.log', 'wb')
        self.process = subprocess.Popen(
            [self.site.python, '-m', 'jackdawridge.platform'],
            cwd=ROOT,
            env=env,
            stdout=out,
            stderr=out,
            stdin=subprocess.DEVNULL,
        )
        out.close()
        self.site.log('process', self.name, 'starts', self.process.pid)

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.site.log('signal', self.name, signal.Signals(number).name)
            self.process.send_signal(number)

    def kill(self):
        self.note_end()
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.process = None

    def note_end(self):
        if self.process is not None and self.process.poll() is not None:
            self.own_ends.append(self.process.returncode)
            self.site.log(
                'process', self.name, 'ended by itself', self.process.returncode
            )

    async def terminate(self, grace=6.0):
        self.send(signal.SIGTERM)
        until = now() + grace
        while now() < until and self.process.poll() is None:
            await asyncio.sleep(0.02)
        ok = self.process.poll() is not None
        self.site.log(
            'process',
            self.name,
            'left' if ok else 'killed after the grace period',
        )
        if not ok:
            self.process.kill()
            self.process.wait()
        self.process = None
        return ok


def free_ports(count):
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(('127.0.0.1', 0))
        sockets.append(sock)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Site:
    """A small deployment beside its stand-ins."""

    def __init__(
        self,
        folder,
        entries=2,
        sides=3,
        cores=16,
        seed=1,
        beat=1.5,
        network=30,
        proxied=False,
        record=None,
        route=None,
    ):
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.log = Log(record or self.folder / 'record.txt')
        self.random = random.Random(seed)
        self.beat = beat
        self.python = 'python3'
        names = (
            'peer',
            'operator',
            'control',
            'app',
            'front',
            'ready',
            'store',
        )
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.store_address = f'127.0.0.1:{self.ports["store"]}'
        self.store = Store(self.log)
        zones = ('north', 'south', 'east')
        self.entry_hosts = [f'127.{network}.5.{n + 1}' for n in range(entries)]
        self.entries = [
            Node(self, host, 'entry', zones[n % 3], self.entry_hosts[:3])
            for n, host in enumerate(self.entry_hosts)
        ]
        self.sides, self.minions = [], []
        self.links = {}  # (side number, entry number) -> proxy
        self.app_links = []  # side number -> proxy to the minion
        for n in range(sides):
            host = f'127.{network}.6.{n + 1}'
            seeds, app = self.entry_hosts[:3], host
            if proxied:
                seeds = []
                for e, entry_host in enumerate(self.entry_hosts):
                    proxy = Proxy(
                        self.log,
                        f'127.{network}.{70 + n}.{e + 1}',
                        self.ports['peer'],
                        entry_host,
                        f'link side {n} entry {e}',
                    )
                    self.links[n, e] = proxy
                    seeds.append(proxy.host)
                app = f'127.{network}.8.{n + 1}'
                self.app_links.append(
                    Proxy(self.log, app, self.ports['app'], host, f'app {n}')
                )
            self.sides.append(
                Node(self, host, 'side', zones[n % 3], seeds, app)
            )
            self.minions.append(Minion(self, host, zones[n % 3], cores))
        self.version = 0
        self.route = {
            'name': 'r-1',
            'host': 'a.example',
            'pathPrefix': '/fills/',
            'service': 'ledger',
            'kind': 'non_idempotent',
            'priority': 0,
            'maxAttempts': 4,
            'stretch': 4,
            'targetLatencyMs': 60,
            'timeoutMs': 1500,
            **(route or {}),
        }

    def configure(self, *routes):
        self.version += self.random.randint(1, 9)
        self.store.put(
            'config',
            {
                'version': self.version,
                'routes': list(routes) or [self.route],
                'services': [{'name': 'ledger', 'admissionCheck': False}],
                'limits': {},
            },
        )

    def nodes(self):
        return [*self.entries, *self.sides]

    async def start(self, patience=30):
        await self.store.listen('127.0.0.1', self.ports['store'])
        self.configure()
        for proxy in (*self.links.values(), *self.app_links):
            await proxy.listen()
        for minion in self.minions:
            await minion.start()
        for node in self.nodes():
            node.start()
        until = now() + patience
        while now() < until:
            if all(
                [await self.linked(e) == len(self.sides) for e in self.entries]
            ):
                self.log('deployment is ready')
                return True
            await asyncio.sleep(0.1)
        return False

    async def linked(self, entry):
        """Number of sides at which an entry places tasks, from its status."""
        answer = await call(
            f'{entry.host}:{self.ports["operator"]}', 'GET', '/v1/status'
        )
        if not answer or answer[0] != 200:
            return 0
        return len(json.loads(answer[1])['jobs']['sides'])

    def close(self):
        for node in self.nodes():
            if node.process is not None:
                node.note_end()
                if node.process.poll() is None:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                    node.process.wait()
                node.process = None

    def runs(self):
        return [r for m in self.minions for r in m.history]


class Client:
    """Sends requests on a connection that it keeps open for each entry."""

    def __init__(self, site, name='client'):
        self.site, self.name = site, name
        self.open = {}

    def job(self, tasks, seconds, cpu=1600):
        return {
            'spec': f'{seconds}',
            'bestEffort': True,
            'steps': [
                {
                    'count': tasks,
                    'cpu': cpu,
                    'memMb': 16,
                    'estDurationMs': max(int(seconds * 1000), 1),
                }
            ],
        }

    async def ask(
        self,
        host,
        method,
        path,
        document=None,
        limit=1.5,
        leave=None,
        fresh=False,
    ):
        """Return the status and the body, or ('none', b'') without an answer.

        The client closes the connection after `limit`, or after `leave`.
        """
        self.site.log(
            'send',
            self.name,
            host,
            method,
            path,
            f'limit {limit}',
            f'leave {leave}' if leave else '',
        )
        try:
            answer = await asyncio.wait_for(
                self.exchange(host, method, path, document, limit, fresh),
                leave or limit,
            )
        except (
            OSError,
            asyncio.TimeoutError,
            asyncio.IncompleteReadError,
            IndexError,
            ValueError,
        ) as error:
            reader_writer = self.open.pop(host, None)
            if reader_writer:
                reader_writer[1].close()
            self.site.log(
                'none', self.name, host, method, path, type(error).__name__
            )
            return 'none', b''
        self.site.log(
            'answer',
            self.name,
            host,
            method,
            path,
            answer[0],
            answer[1].decode()[:150],
        )
        return answer

    async def exchange(self, host, method, path, document, limit, fresh):
        if fresh or host not in self.open:
            self.open[host] = await asyncio.open_connection(
                host, self.site.ports['front']
            )
        reader, writer = self.open[host]
        body = b'' if document is None else json.dumps(document).encode()
        head = f'{method} {path} HTTP/1.1\r\nHost: a.example\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\nDeadline-Ms: {int(limit * 1000)}\r\n\r\n'
        writer.write(head.encode() + body)
        message = await read_http(reader)
        if message is None:
            raise OSError('closed')
        if message[1].get('connection', '').lower() == 'close':
            self.open.pop(host)[1].close()
        return int(message[0][1]), message[2]


def overlaps(runs):
    """Return the pairs of runs of one task that overlap, with the time."""
    by_name = {}
    for run in runs:
        by_name.setdefault(run.name, []).append(run)
    found = []
    for of_task in by_name.values():
        of_task.sort(key=lambda run: run.since)
        for number, one in enumerate(of_task):
            for other in of_task[number + 1 :]:
                ends = [run.until or now() for run in (one, other)]
                if other.since < min(ends):
                    found.append((one, other, min(ends) - other.since))
    return found


class CannotRun(Exception):
    """The case could not be played, so that nothing was shown."""


def require(condition, text):
    """Raise `CannotRun` unless a condition holds."""
    if not condition:
        raise CannotRun(text)


def run_case(folder, play, *, trouble, **options):
    """Play a case and exit with its result.

    `play` is called with a site that is ready and with `trouble`, and
    returns what was broken, one text each.
    """
    record = Path(folder) / 'record.txt'
    with tempfile.TemporaryDirectory() as temporary:
        code = asyncio.run(_run(temporary, record, play, trouble, options))
    sys.exit(code)


async def _run(temporary, record, play, trouble, options):
    """Play a case within its time and end all processes; return the code."""
    site = Site(temporary, record=record, **options)
    site.log('trouble' if trouble else 'no trouble')
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda *_: None)
    task = asyncio.ensure_future(_play(site, play, trouble))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    code = 2
    try:
        broken = await asyncio.wait_for(task, MAX_TIME)
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as error:
        site.log('could not run:', type(error).__name__, error)
        print('could not run:', error)
    else:
        code = 1 if broken else 0
        for text in broken:
            site.log('BROKEN', text)
            print('broken:', text)
        site.log('the rule was broken' if broken else 'the rule held')
        print('the rule was broken' if broken else 'the rule held')
    finally:
        site.close()
    return code


async def _play(site, play, trouble):
    require(await site.start(), 'the processes have not linked')
    return await play(site, trouble)
