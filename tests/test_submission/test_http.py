"""Tests of the callers' door of an entry over real connections."""

from __future__ import annotations

import contextlib
import json
import socket
import subprocess
import sys
from http.client import HTTPConnection, HTTPResponse
from typing import TYPE_CHECKING, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jackdawridge.operations.doors import MAX_BODY_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

HOST = '127.0.0.1'
JOB = {'team': 'a', 'tasks': [{'payload': '{}'}]}


class Refusal(NamedTuple):
    """What a caller sees of an answer."""

    status: int
    outcome: str | None
    text: str


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def ask(port: int, method: str, path: str, body: bytes = b'') -> Refusal:
    connection = HTTPConnection(HOST, port, timeout=30)
    connection.request(method, path, body)
    answer: HTTPResponse = connection.getresponse()
    outcome = answer.getheader('X-Jackdawridge-Outcome')
    seen = Refusal(answer.status, outcome, answer.read().decode())
    connection.close()
    return seen


@pytest.fixture(scope='module')
def port(tmp_path_factory: pytest.TempPathFactory) -> Iterator[int]:
    """An entry without sides and without a log service."""
    ports = [free_port() for _ in range(4)]
    addresses = [f'{HOST}:{number}' for number in ports]
    path: Path = tmp_path_factory.mktemp('entry') / 'entry.json'
    document = {
        'role': 'entry',
        'node': 'entry-1',
        'deployment': 'test',
        'failure_domain': 'Soweto',
        'shared_key': 'a key that is long enough',
        'caller_address': addresses[0],
        'peer_address': addresses[1],
        'operator_address': addresses[2],
        'log_service': addresses[3],
        'entries': [addresses[1]],
    }
    path.write_text(json.dumps(document))
    process = subprocess.Popen(
        [sys.executable, '-m', 'jackdawridge', 'entry', '--settings', path],
        stderr=subprocess.PIPE,
        text=True,
    )
    errors = process.stderr
    assert errors is not None
    while '"ready"' not in errors.readline():
        assert process.poll() is None
    yield ports[0]
    process.terminate()
    errors.read()
    process.wait(30)


@pytest.mark.processes
class TestCallersDoor:
    @pytest.mark.parametrize(
        ('method', 'path', 'body', 'status'),
        [
            ('PUT', '/v1/jobs/nonsense', b'{}', 404),
            ('POST', '/v1/jobs', b'{', 400),
            ('POST', '/v1/jobs', b'{"team":"a","tasks":[]}', 400),
            ('GET', '/v1/jobs/nonsense?wait=x', b'', 400),
            ('GET', '/v1/jobs/nonsense?wait=-1', b'', 400),
        ],
    )
    def test_bad_input_is_refused_as_not_run(
        self, port: int, method: str, path: str, body: bytes, status: int
    ) -> None:
        seen = ask(port, method, path, body)
        assert (seen.status, seen.outcome) == (status, 'not-run')
        assert json.loads(seen.text)['error']

    def test_cancelled_ticket_starts_nothing(self, port: int) -> None:
        ticket = json.loads(ask(port, 'POST', '/v1/tickets').text)['ticket']
        path = f'/v1/jobs/{ticket}'
        assert ask(port, 'DELETE', path).outcome == 'not-run'
        seen = ask(port, 'PUT', path, json.dumps(JOB).encode())
        assert (seen.status, seen.outcome) == (410, 'unknown')

    def test_ticket_is_not_taken_for_another_job(self, port: int) -> None:
        ticket = json.loads(ask(port, 'POST', '/v1/tickets').text)['ticket']
        path = f'/v1/jobs/{ticket}?wait=0'
        body = json.dumps(JOB).encode()
        assert ask(port, 'PUT', path, body).status == 202
        assert ask(port, 'PUT', path, body).status == 202
        seen = ask(port, 'PUT', path, json.dumps(JOB, indent=1).encode())
        assert (seen.status, seen.outcome) == (409, 'not-run')

    @pytest.mark.parametrize('chunked', [False, True])
    def test_body_over_the_bound_is_refused(
        self, port: int, chunked: bool
    ) -> None:
        connection = HTTPConnection(HOST, port, timeout=30)
        body = b'x' * (MAX_BODY_BYTES + 1)
        with contextlib.suppress(ConnectionError):
            content = iter([body]) if chunked else body
            connection.request('POST', '/v1/jobs', content)
        assert connection.getresponse().status == 413
        connection.close()

    def test_unfinished_request_harms_nobody(self, port: int) -> None:
        with socket.create_connection((HOST, port)) as slow:
            slow.sendall(b'POST /v1/jobs HTTP/1.1\r\nContent-Length: 9\r\n')
            assert ask(port, 'POST', '/v1/tickets').status == 201

    @settings(max_examples=50)
    @given(data=st.binary(min_size=1, max_size=300))
    def test_any_bytes_harm_nobody(self, port: int, data: bytes) -> None:
        with socket.create_connection((HOST, port)) as odd:
            odd.sendall(data)
        assert ask(port, 'POST', '/v1/tickets').status == 201
