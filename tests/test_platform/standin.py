"""A stand-in for the users' platform: its store and minions in one process."""

from __future__ import annotations

import base64
import json
import struct
import sys
import time
from typing import TYPE_CHECKING, Any

from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import LoopingCall
from twisted.web.server import Site

from jackdawridge.execution.leased_target import (
    FencedError,
    HoldOrder,
    Run,
    StartOrder,
)
from jackdawridge.util.client import JsonClient
from tests.test_execution.fake_target import FakeTarget

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.execution.leased_target import TargetReport

HEARTBEAT_INTERVAL = 0.3
CORES = 4
#: The platform's words for the ends of runs; the others are the same.
END_WORDS = {'succeeded': 'done'}
untyped_reactor: Any = reactor


class Store:
    """A keyed topic to which `PUT` and `DELETE /records/KEY` append."""

    app = Klein()

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.waiters: list[Deferred[None]] = []

    @app.route('/records/<path:key>', methods=['PUT', 'DELETE'])
    def write(self, request: Any, key: str) -> bytes:
        self.records.append((key, request.content.read()))
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            waiter.callback(None)
        return b'{}'

    @app.route('/v1/log-newest')
    def newest(self, request: Any) -> bytes:
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
        return json.dumps({'items': items, 'endOffset': end}).encode()

    @app.route('/v1/log-read')
    def read(self, request: Any) -> Any:
        start = int(request.args[b'from'][0])
        if start < len(self.records):
            return self.page(start)
        wait = int(request.args[b'waitMs'][0]) / 1000
        record_written: Deferred[None] = Deferred()
        self.waiters.append(record_written)
        record_written.addTimeout(wait, untyped_reactor, lambda *_: None)
        return record_written.addCallback(lambda _: self.page(start))

    def page(self, start: int) -> bytes:
        body = struct.pack('>QQ', len(self.records), 0)
        for key, value in self.records[start:]:
            content = bytes((len(key),)) + key.encode() + value
            body += struct.pack('>I', len(content)) + content
        return body


class Minion:
    """A minion that sends heartbeats to the side beside it."""

    app = Klein()

    #: Cores that the minion reports.
    cores = CORES

    def __init__(self, host: str, ports: dict[str, int], zone: str) -> None:
        self.address = f'{host}:{ports["app"]}'
        self.control = f'{host}:{ports["control"]}'
        self.zone = zone
        self.target = self.make_target(host)
        self.target.incarnation = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.client = JsonClient(untyped_reactor)
        self.minion_id = f'i-{ports["app"]}-{host}'

    def make_target(self, host: str) -> FakeTarget:
        """Return the target that carries out the orders to this minion."""
        return FakeTarget(untyped_reactor)

    def start(self) -> None:
        LoopingCall(self.send_heartbeat).start(HEARTBEAT_INTERVAL)

    def send_heartbeat(self) -> None:
        self.sequence += 1
        self.post_heartbeat(self.minion_id, self.heartbeat())

    def heartbeat(self) -> dict[str, Any]:
        """Return the body of a heartbeat."""
        return {
            'service': 'ledger',
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'coldRemainingMs': 0,
            'capacity': {'cpu': self.cores * 1000, 'memMb': 1000, 'gpu': 0},
            'labels': ['a', 'r1'],
            'clockMs': int(self.target.now() * 1000),
            'seq': self.sequence,
            'born': self.target.incarnation,
        }

    def post_heartbeat(self, minion_id: str, document: dict[str, Any]) -> None:
        url = f'http://{self.control}/v1/Instances.Heartbeat/{minion_id}'
        sent = ensureDeferred(self.client.ask('POST', url, document, 1))
        # The side may not run yet; the next heartbeat is sent regardless.
        sent.addErrback(lambda _: None)

    @app.route('/state/<state>', methods=['PUT'])
    def change(self, request: Any, state: str) -> bytes:
        self.state = state
        self.send_heartbeat()
        return b'{}'

    @app.route('/foreign-heartbeat', methods=['PUT'])
    def send_foreign_heartbeat(self, request: Any) -> bytes:
        """Send a heartbeat of another writer to the side of this minion."""
        document = self.heartbeat()
        document.update(
            service='unknown', seq=1, clockMs=1, born=int(time.time() * 1000)
        )
        self.post_heartbeat('i-foreign', document)
        return b'{}'

    @app.route('/history')
    def history(self, request: Any) -> bytes:
        """Return name, start and end of every run.

        All minions share one clock, so that their times can be compared.
        """
        ended = self.target.ended_at
        rows = [
            [observed.run.name, observed.since, ended.get(observed.run)]
            for observed in self.target.history
        ]
        return json.dumps(rows).encode()

    @app.route('/v1/hold', methods=['POST'])
    def hold(self, request: Any) -> Any:
        if self.is_for_another(request):
            return b''
        body = json.loads(request.content.read())
        lease = body.get('deadlineMs')
        order = HoldOrder(
            body['fence'],
            body['lastSeen'],
            None if lease is None else lease / 1000,
            body.get('waitMs', 0) / 1000,
        )
        return self.answer(
            request, self.target.hold(order), self.report_document
        )

    @app.route('/v1/run-start', methods=['POST'])
    def run_start(self, request: Any) -> Any:
        if self.is_for_another(request):
            return b''
        body = json.loads(request.content.read())
        order = StartOrder(
            Run(body['task'], body['run']),
            body['spec'].encode(),
            body['deadlineMs'] / 1000,
            body['fence'],
        )

        def write(verdict: Any) -> dict[str, Any]:  # noqa: WPS430
            if not verdict.started:
                request.setResponseCode(409)
            return {'reason': verdict.reason}

        return self.answer(request, self.start_run(order), write)

    def start_run(self, order: StartOrder) -> Any:
        """Return the call that carries out a start, and schedule its end."""
        untyped_reactor.callLater(
            float(order.payload), self.target.end, order.run, 'succeeded'
        )
        return self.target.start(order)

    @app.route('/v1/run-stop', methods=['POST'])
    def run_stop(self, request: Any) -> Any:
        if self.is_for_another(request):
            return b''
        body = json.loads(request.content.read())
        stopped = self.target.stop(
            Run(body['task'], body['run']), body['fence']
        )
        return self.answer(request, stopped, lambda _: {})

    def is_for_another(self, request: Any) -> bool:
        """Refuse an order for another minion; return whether it is one."""
        expected = request.getHeader('Expect-Instance') or self.minion_id
        if expected == self.minion_id:
            return False
        request.setResponseCode(421)
        return True

    def answer(self, request: Any, call: Any, write: Any) -> Any:
        """Answer an order when it has been carried out or refused as fenced."""

        def refuse_fenced(failure: Any) -> dict[str, Any]:  # noqa: WPS430
            failure.trap(FencedError)
            request.setResponseCode(409)
            return {'reason': 'fence'}

        def finish(document: dict[str, Any]) -> bytes:  # noqa: WPS430
            document['clockMs'] = int(self.target.now() * 1000)
            document['born'] = self.target.incarnation
            return json.dumps(document).encode()

        called = ensureDeferred(call)
        called.addCallbacks(write, refuse_fenced)
        return called.addCallback(finish)

    def report_document(self, report: TargetReport) -> dict[str, Any]:
        return {
            'running': [
                [run.name, run.number, '', 0, 0] for run in report.running
            ],
            'endedRuns': [
                [
                    end.position,
                    end.run.name,
                    end.run.number,
                    END_WORDS.get(end.outcome, end.outcome),
                    '',
                ]
                for end in report.ends
            ],
        }


def serve(make_minion: Callable[[str, str, dict[str, Any]], Minion]) -> None:
    """Serve the store and the minions that the argument describes.

    Prints a line with `ready` once all listen.

    :param make_minion: returns a minion, given its host, its zone and the
        document of the argument.
    """
    plan = json.loads(sys.argv[1])
    host, _, port = plan['store'].rpartition(':')
    store = Store()
    untyped_reactor.listenTCP(
        int(port), Site(store.app.resource()), interface=host
    )
    for host, zone in plan['minions'].items():
        minion = make_minion(host, zone, plan)
        untyped_reactor.listenTCP(
            plan['ports']['app'],
            Site(minion.app.resource()),
            interface=host,
        )
        minion.start()
    sys.stdout.write('{"ready": true}\n')
    sys.stdout.flush()
    untyped_reactor.run()


if __name__ == '__main__':
    serve(lambda host, zone, plan: Minion(host, plan['ports'], zone))
