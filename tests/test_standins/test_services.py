"""Tests of the stand-ins as processes, over HTTP."""

from __future__ import annotations

import base64
import http.client
import json
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.processes.http import request
from tests.processes.process import Process

pytestmark = pytest.mark.processes

StartProcess = Callable[..., dict[str, Any]]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[StartProcess]:
    processes = []

    def start_process(*arguments: str) -> dict[str, Any]:
        process = Process(
            arguments[0],
            ['jackdawridge.cmd.standin', 'standin', *arguments],
            tmp_path / 'log',
        )
        processes.append(process)
        return process.wait_ready()

    yield start_process
    for process in processes:
        process.close()


#: Shortest accepted wait where the delays add up to 0.2 s, in seconds.
MIN_WAIT_TIME = 0.19


def make_order(name: str, **behaviour: Any) -> dict[str, Any]:
    payload = base64.b64encode(json.dumps(behaviour).encode()).decode()
    return {
        'id': name,
        'kind': 'k',
        'payload': payload,
        'cores': 1,
        'memory': 1,
        'accelerators': 0,
        'lease': 10,
    }


def read_events(address: str, count: int) -> list[dict[str, Any]]:
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request('GET', '/v1/events?after=0')
    response = connection.getresponse()
    events: list[dict[str, Any]] = []
    while len(events) < count:
        line = response.readline().strip()
        if line.startswith(b'{"number"'):
            events.append(json.loads(line))
    connection.close()
    return events


class TestWorker:
    def test_tasks_start_end_and_are_forgotten(
        self, start: StartProcess
    ) -> None:
        worker = start('worker', '--failure-domain', 'Soweto')['address']
        orders = [make_order(f't|{task}|1', answer='a') for task in range(3)]
        reply = request(worker, 'POST', '/v1/tasks', {'tasks': orders})
        states = [result['state'] for result in reply.body['results']]
        assert states == ['running', 'running', 'running']
        events = read_events(worker, 3)
        assert [event['number'] for event in events] == [1, 2, 3]
        assert base64.b64decode(events[0]['answer']) == b'a'
        request(worker, 'POST', '/v1/tasks/forget', {'through': 2})
        listed = request(worker, 'GET', '/v1/tasks').body
        assert listed['event'] == 3
        assert [task['id'] for task in listed['tasks']] == ['t|2|1']
        record = request(worker, 'GET', '/record').body
        assert record['failure_domain'] == 'Soweto'
        assert len(record['starts']) == len(record['ends']) == 3

    def test_starts_on_a_stream(self, start: StartProcess) -> None:
        """Start each batch as its line arrives and answer as an event."""
        worker = start('worker')['address']
        events = http.client.HTTPConnection(worker, timeout=10)
        events.request('GET', '/v1/events?after=0')
        response = events.getresponse()
        stream = http.client.HTTPConnection(worker, timeout=10)
        stream.putrequest('POST', '/v1/tasks/stream')
        stream.putheader('Content-Type', 'application/x-ndjson')
        stream.putheader('Transfer-Encoding', 'chunked')
        stream.endheaders()
        for task in (0, 1):
            batch = {'batch': str(task), 'tasks': [make_order(f't|{task}|1')]}
            line = '{0}\n'.format(json.dumps(batch)).encode()
            stream.send(b'%x\r\n%b\r\n' % (len(line), line))
            answer = b''
            while not answer.startswith(b'{"batch"'):
                answer = response.readline()
            assert json.loads(answer) == {
                'batch': str(task),
                'results': [
                    {'id': f't|{task}|1', 'state': 'running', 'reason': ''}
                ],
            }
        stream.close()
        events.close()

    def test_dropped_answer_of_started_task(self, start: StartProcess) -> None:
        worker = start('worker')['address']
        request(worker, 'POST', '/faults', {'lose_answers': 1})
        body = {'tasks': [make_order('t|0|1', seconds=9)]}
        with pytest.raises((OSError, http.client.HTTPException)):
            request(worker, 'POST', '/v1/tasks', body)
        request(worker, 'POST', '/faults', {'lose_answers': 0})
        listed = request(worker, 'GET', '/v1/tasks').body
        assert [task['state'] for task in listed['tasks']] == ['running']

    def test_killed_worker_keeps_its_record(self, start: StartProcess) -> None:
        worker = start('worker')['address']
        body = {'tasks': [make_order('t|0|1', seconds=9)]}
        request(worker, 'POST', '/v1/tasks', body)
        request(worker, 'POST', '/faults', {'kill': True})
        with pytest.raises((OSError, http.client.HTTPException)):
            request(worker, 'GET', '/v1/tasks')
        request(worker, 'POST', '/faults', {'kill': False})
        assert not request(worker, 'GET', '/v1/tasks').body['tasks']
        record = request(worker, 'GET', '/record').body
        assert [end['state'] for end in record['ends']] == ['lost']

    def test_unknown_fault_is_refused(self, start: StartProcess) -> None:
        worker = start('worker')['address']
        reply = request(worker, 'POST', '/faults', {'lose': 1})
        assert reply.status == 400
        assert 'lose_answers' in reply.body['error']


class TestLog:
    def test_append_and_read(self, start: StartProcess) -> None:
        log = start('log')['address']
        path = '/v1/streams/s/records'
        for number in range(3):
            reply = request(log, 'POST', path, {'n': number})
            assert reply.body == {'offset': number}
        body = request(log, 'GET', f'{path}?from=1&limit=1').body
        assert body['records'] == [{'offset': 1, 'record': {'n': 1}}]
        assert (body['first'], body['next']) == (0, 3)

    def test_read_waits_for_a_record(self, start: StartProcess) -> None:
        log = start('log')['address']
        started_at = time.monotonic()
        path = '/v1/streams/s/records?from=0&wait=0.2'
        assert not request(log, 'GET', path).body['records']
        waited = time.monotonic() - started_at
        assert waited > MIN_WAIT_TIME

    def test_outage_refuses_appends_and_reads(
        self, start: StartProcess
    ) -> None:
        log = start('log')['address']
        request(log, 'POST', '/faults', {'outage': True})
        path = '/v1/streams/s/records'
        assert request(log, 'POST', path, {}).status == 503
        assert request(log, 'GET', path).status == 503
        request(log, 'POST', '/faults', {'outage': False})
        assert request(log, 'POST', path, {}).status == 200

    def test_invalid_json_is_refused(self, start: StartProcess) -> None:
        log = start('log')['address']
        connection = http.client.HTTPConnection(log, timeout=10)
        connection.request('POST', '/v1/streams/s/records', b'{')
        assert connection.getresponse().status == 400
        connection.close()


class TestMinion:
    def test_answers_and_records(self, start: StartProcess) -> None:
        minion = start('minion')['address']
        headers = {'X-Request-Id': 'r1'}
        reply = request(
            minion, 'POST', '/any', {'answer': 'yes'}, headers=headers
        )
        assert (reply.status, reply.body) == (200, 'yes')
        assert reply.headers['x-request-id'] == 'r1'
        reply = request(minion, 'GET', '/?seconds=0.01&answer=no&size=4')
        assert reply.body == 'nono'
        record = request(minion, 'GET', '/record').body
        assert [started['id'] for started in record['starts']] == ['r1', '']

    def test_fault_fails_requests(self, start: StartProcess) -> None:
        minion = start('minion')['address']
        request(minion, 'POST', '/faults', {'fail': 1})
        assert request(minion, 'GET', '/').status == 500


class TestProxy:
    @pytest.fixture
    def proxied(self, start: StartProcess) -> tuple[str, str]:
        control = start('proxy')['address']
        order = {'name': 'a', 'target': start('minion')['address']}
        opened = request(control, 'POST', '/proxies', order)
        return opened.body['address'], control

    def test_requests_are_forwarded(self, proxied: tuple[str, str]) -> None:
        address, _ = proxied
        reply = request(address, 'GET', '/?answer=yes')
        assert reply.body == 'yes'

    def test_unknown_proxy_is_named(self, proxied: tuple[str, str]) -> None:
        _, control = proxied
        reply = request(control, 'POST', '/proxies/b/cut')
        assert reply.status == 404
        assert "'b'" in reply.body['error']

    def test_bytes_are_delayed(self, proxied: tuple[str, str]) -> None:
        address, control = proxied
        request(control, 'POST', '/proxies/a/faults', {'delay': 0.1})
        started_at = time.monotonic()
        assert request(address, 'GET', '/?answer=yes').body == 'yes'
        waited = time.monotonic() - started_at
        assert waited > MIN_WAIT_TIME

    def test_jitter_does_not_reorder_bytes(
        self, proxied: tuple[str, str]
    ) -> None:
        address, control = proxied
        path = '/proxies/a/faults'
        request(control, 'POST', path, {'delay': 0.01, 'jitter': 0.05})
        connection = http.client.HTTPConnection(address, timeout=10)
        body = json.dumps({'answer': 'yes', 'size': 2000000}).encode()
        for _ in range(3):
            connection.request('POST', '/', body + b' ' * 500000)
            answer = connection.getresponse().read()
            assert answer == (b'yes' * 666667)[:2000000]
        connection.close()

    @pytest.mark.parametrize('mode', ['freeze', 'refuse'])
    def test_freeze_and_refuse_block_requests(
        self, proxied: tuple[str, str], mode: str
    ) -> None:
        address, control = proxied
        request(control, 'POST', '/proxies/a/faults', {'mode': mode})
        with pytest.raises((OSError, http.client.HTTPException)):
            request(address, 'GET', '/', timeout=0.3)
        request(control, 'POST', '/proxies/a/faults', {})
        assert request(address, 'GET', '/').status == 200

    @pytest.mark.parametrize(('direction', 'starts'), [('up', 0), ('down', 1)])
    def test_bytes_of_one_direction_are_dropped(
        self, proxied: tuple[str, str], direction: str, starts: int
    ) -> None:
        address, control = proxied
        request(control, 'POST', '/proxies/a/faults', {'drop': direction})
        with pytest.raises(OSError, match='timed out'):
            request(address, 'GET', '/', timeout=0.3)
        request(control, 'POST', '/proxies/a/faults', {})
        record = request(address, 'GET', '/record').body
        assert len(record['starts']) == starts

    def test_connection_is_cut_after_bytes(
        self, proxied: tuple[str, str]
    ) -> None:
        address, control = proxied
        request(control, 'POST', '/proxies/a/faults', {'cut_after_up': 10})
        with pytest.raises((OSError, http.client.HTTPException)):
            request(address, 'GET', '/')
        request(control, 'POST', '/proxies/a/faults', {})
        record = request(address, 'GET', '/record').body
        assert not record['starts']

    def test_frozen_connection_resumes(self, proxied: tuple[str, str]) -> None:
        address, control = proxied
        connection = http.client.HTTPConnection(address, timeout=10)
        connection.request('GET', '/?seconds=0.2&answer=late')
        request(control, 'POST', '/proxies/a/faults', {'mode': 'freeze'})
        time.sleep(0.3)
        request(control, 'POST', '/proxies/a/faults', {})
        assert connection.getresponse().read() == b'late'
        connection.close()
