"""Tests of the callers' HTTP listener of an entry over real connections."""

from __future__ import annotations

import contextlib
import json
import select
import socket
import subprocess
import sys
import time
from http.client import HTTPConnection, HTTPResponse
from typing import TYPE_CHECKING, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jackdawridge.listening.bounded_request import MAX_BODY_BYTES
from tests.processes.ports import find_free_addresses

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

HOST = '127.0.0.1'
JOB = {'team': 'a', 'tasks': [{'payload': '{}'}]}


class SeenReply(NamedTuple):
    """Reply of the entry, as a caller sees it."""

    status: int
    outcome: str | None
    text: str


def ask(port: int, method: str, path: str, body: bytes = b'') -> SeenReply:
    connection = HTTPConnection(HOST, port, timeout=30)
    connection.request(method, path, body)
    answer: HTTPResponse = connection.getresponse()
    outcome = answer.getheader('X-Jackdawridge-Outcome')
    seen = SeenReply(answer.status, outcome, answer.read().decode())
    connection.close()
    return seen


@pytest.fixture(scope='module')
def port(tmp_path_factory: pytest.TempPathFactory) -> Iterator[int]:
    """Yield the caller port of an entry without sides and log service."""
    addresses = find_free_addresses(4)
    ports = [int(address.rpartition(':')[2]) for address in addresses]
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
        # There is no side to run the jobs that the tests leave queued.
        'drain': 1,
    }
    path.write_text(json.dumps(document))
    process = subprocess.Popen(
        [sys.executable, '-m', 'jackdawridge', 'entry', '--settings', path],
        stdout=subprocess.PIPE,
        text=True,
    )
    lines = process.stdout
    assert lines is not None
    while '"ready"' not in lines.readline():
        assert process.poll() is None
    yield ports[0]
    process.terminate()
    lines.read()
    process.wait(30)


@pytest.mark.processes
class TestCallersListener:
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

    def test_ticket_of_another_job_is_a_conflict(self, port: int) -> None:
        ticket = json.loads(ask(port, 'POST', '/v1/tickets').text)['ticket']
        path = f'/v1/jobs/{ticket}?wait=0'
        body = json.dumps(JOB).encode()
        assert ask(port, 'PUT', path, body).status == 202
        assert ask(port, 'PUT', path, body).status == 202
        seen = ask(port, 'PUT', path, json.dumps(JOB, indent=1).encode())
        assert (seen.status, seen.outcome) == (409, 'not-run')

    @pytest.mark.parametrize('chunked', [False, True])
    def test_body_over_the_limit_is_refused(
        self, port: int, chunked: bool
    ) -> None:
        connection = HTTPConnection(HOST, port, timeout=30)
        body = b'x' * (MAX_BODY_BYTES + 1)
        with contextlib.suppress(ConnectionError):
            content = iter([body]) if chunked else body
            connection.request('POST', '/v1/jobs', content)
        assert connection.getresponse().status == 413
        connection.close()

    def test_unfinished_request_does_not_block_others(self, port: int) -> None:
        with socket.create_connection((HOST, port)) as slow:
            slow.sendall(b'POST /v1/jobs HTTP/1.1\r\nContent-Length: 9\r\n')
            assert ask(port, 'POST', '/v1/tickets').status == 201

    @settings(max_examples=50)
    @given(data=st.binary(min_size=1, max_size=300))
    def test_arbitrary_bytes_do_not_block_others(
        self, port: int, data: bytes
    ) -> None:
        with socket.create_connection((HOST, port)) as sender:
            sender.sendall(data)
        assert ask(port, 'POST', '/v1/tickets').status == 201


def send_part(port: int, size: int) -> socket.socket:
    """Send part of a request that announces a longer body."""
    sender = socket.create_connection((HOST, port), timeout=30)
    sender.sendall(
        b'POST /v1/jobs HTTP/1.1\r\nHost: a\r\n'
        + f'Content-Length: {MAX_BODY_BYTES}\r\n\r\n'.encode()
    )
    with contextlib.suppress(ConnectionError):
        sender.sendall(b'x' * size)
    return sender


@pytest.mark.processes
class TestMemory:
    def test_long_bodies_leave_memory_for_short_ones(self, port: int) -> None:
        size = MAX_BODY_BYTES // 2
        senders = [send_part(port, size) for _ in range(20)]
        # The default limit is 8 MB, and each sender sends 1 MB.
        assert await_ended(senders, 12) == 12
        assert ask(port, 'POST', '/v1/tickets').status == 201
        for sender in senders:
            sender.close()
        # The memory is released as soon as the connections are closed.
        assert large_job_is_accepted(port, 'after the flood')

    def test_payloads_of_open_jobs_are_limited(self, port: int) -> None:
        seen = [submit_large(port, 'a') for _ in range(3)]
        assert [answer.status for answer in seen] == [202, 202, 503]
        assert seen[-1].outcome == 'not-run'
        assert "team 'a'" in json.loads(seen[-1].text)['error']
        assert submit_large(port, 'b').status == 202
        for answer in seen[:2]:
            ticket = json.loads(answer.text)['ticket']
            assert (
                ask(port, 'DELETE', f'/v1/jobs/{ticket}').outcome == 'not-run'
            )
        assert submit_large(port, 'a').status == 202


def await_ended(senders: list[socket.socket], count: int) -> int:
    """Return how many connections the entry has closed, after at most 10 s."""
    ended: set[socket.socket] = set()
    deadline = time.monotonic() + 10
    while len(ended) < count and time.monotonic() < deadline:
        open_senders = [sender for sender in senders if sender not in ended]
        ended.update(select.select(open_senders, [], [], 0.2)[0])
    return len(ended)


def submit_large(port: int, team: str) -> SeenReply:
    """Submit a job with nearly 2 MB of payloads."""
    tasks = [{'payload': 'x' * 60000} for _ in range(32)]
    body = json.dumps({'team': team, 'tasks': tasks}).encode()
    return ask(port, 'POST', '/v1/jobs?wait=0', body)


def large_job_is_accepted(port: int, team: str) -> bool:
    """Return whether a large job is accepted within 50 attempts."""
    for _ in range(50):
        answer = submit_large(port, team)
        if answer.status == 202:
            ticket = json.loads(answer.text)['ticket']
            ask(port, 'DELETE', f'/v1/jobs/{ticket}')
            return True
        time.sleep(0.1)
    return False
