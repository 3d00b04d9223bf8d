"""Tests with clients that stay inside no limit."""

from __future__ import annotations

import json
import socket
import time
from typing import TYPE_CHECKING

import pytest

from tests.processes.crowd import (
    TIMEOUT,
    Crowd,
    count_descriptors,
    disperse,
    peak_memory,
    send_crowd,
)
from tests.test_platform.test_processes import ENTRIES, SIDES

if TYPE_CHECKING:
    from tests.processes.process import Process
    from tests.test_platform.test_processes import Site

pytestmark = pytest.mark.processes

#: Memory of the machine of each process, in bytes; less than the 168 MB of the
#: smallest that are in use.
MACHINE_MEMORY = 128 * 1024**2
#: Number of descriptors of the machine of each process.
MACHINE_DESCRIPTORS = 192
#: Open descriptors that may be added without a crowd.
SPARE_DESCRIPTORS = 8
LISTENERS = ('front', 'ready', 'control', 'operator')
CHUNKED = (
    b'POST /fills/0123456789abcdef HTTP/1.1\r\n'
    b'Host: a.example\r\n'
    b'Transfer-Encoding: chunked\r\n'
    b'\r\n'
)
PENDING = b'GET /fills/ HTTP/1.1\r\nHost: a.example\r\n\r\n'
MIB = 1024**2
#: Largest head and body of a request, in bytes.
MAX_HEADER_BYTES = 16384
MAX_BODY_BYTES = 262144


def host_of(listener: str) -> str:
    """Return the host of the process that a crowd is sent to."""
    return min(SIDES) if listener == 'control' else ENTRIES[0]


def bear(site: Site, listener: str, crowd: Crowd) -> None:
    """Send a crowd and check that its process bears it."""
    host = host_of(listener)
    process = site.nodes[host]
    before = count_descriptors(process)
    clients = send_crowd(site.platform.address(host, listener), crowd)
    assert count_descriptors(process) <= MACHINE_DESCRIPTORS
    disperse(clients)
    reply = site.submit(ENTRIES[0], '0123456789abcdef')
    assert reply.status == 200
    assert peak_memory(process) <= MACHINE_MEMORY
    wait_for_descriptors(process, before + SPARE_DESCRIPTORS)


def wait_for_descriptors(process: Process, limit: int) -> None:
    """Wait until a process has no more open descriptors than a limit."""
    until = time.monotonic() + TIMEOUT
    while count_descriptors(process) > limit:
        assert time.monotonic() < until, 'descriptors are still open'
        time.sleep(0.1)


class TestEndlessMessages:
    @pytest.mark.parametrize('listener', LISTENERS)
    def test_trailers(self, site: Site, listener: str) -> None:
        head = b'%b1\r\nx\r\n0\r\n' % CHUNKED
        crowd = Crowd(head, b'a:\r\n' * 4096, 64, MIB, 64)
        bear(site, listener, crowd)

    def test_chunk_extension(self, site: Site) -> None:
        crowd = Crowd(b'%b1;' % CHUNKED, b'x' * 16384, 64, 4 * MIB, 64)
        bear(site, 'front', crowd)

    def test_single_byte_chunks(self, site: Site) -> None:
        crowd = Crowd(CHUNKED, b'1\r\nx\r\n' * 4096, 64, MIB, 64)
        bear(site, 'control', crowd)


class TestUnreadAnswers:
    def test_pipelined_requests(self, site: Site) -> None:
        crowd = Crowd(b'', PENDING * 400, 64, 4 * MIB, 64)
        bear(site, 'front', crowd)


class TestUnfinishedRequests:
    def test_header_lines_byte_by_byte(self, site: Site) -> None:
        crowd = Crowd(PENDING[:-2], b'a', 64, 4096, 1)
        bear(site, 'front', crowd)


class TestLargestRequest:
    def test_request_at_all_limits_is_served(self, site: Site) -> None:
        """16 KB of headers, a body of 256 KB, and trailers of 16 KB."""
        job = {
            'spec': '0.1',
            'bestEffort': True,
            'steps': [{'count': 1, 'cpu': 1000, 'memMb': 10}],
        }
        body = json.dumps(job).encode().ljust(MAX_BODY_BYTES)
        head = b'%bConnection: close\r\n' % CHUNKED.removesuffix(b'\r\n')
        filler = b'x' * (MAX_HEADER_BYTES - len(head) - len(b'X: \r\n\r\n'))
        message = (
            b'%bX: %b\r\n\r\n' % (head, filler),
            b'%x\r\n%b\r\n0\r\n' % (len(body), body),
            b'T: %b\r\n\r\n' % (b'x' * MAX_HEADER_BYTES),
        )
        address = ENTRIES[0], site.platform.ports['front']
        with socket.create_connection(address, TIMEOUT) as connection:
            connection.sendall(b''.join(message))
            answer = connection.makefile('rb').read()
        assert answer.startswith(b'HTTP/1.1 200 OK'), answer
