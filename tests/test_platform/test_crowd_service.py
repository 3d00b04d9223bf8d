"""Tests of ordinary callers beside clients that stay inside no limit."""

from __future__ import annotations

import http.client
import itertools
import time
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from tests.processes.crowd import TIMEOUT, count_descriptors, peak_memory
from tests.processes.lasting_crowd import Behaviour, LastingCrowd
from tests.test_platform.test_crowd import (
    CHUNKED,
    LISTENERS,
    MACHINE_MEMORY,
    PENDING,
    SPARE_DESCRIPTORS,
    host_of,
    wait_for_descriptors,
)
from tests.test_platform.test_processes import ENTRIES, SIDES

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.processes.process import Process
    from tests.test_platform.test_processes import Site

pytestmark = pytest.mark.processes

#: Time for which a crowd is there before ordinary callers are, in seconds.
CROWD_TIME = 3
#: Number of ordinary callers that have to be answered beside a crowd.
CALLERS = 3
#: Time within which an ordinary caller must be served, in seconds.
SERVICE_TIMEOUT = 30
#: Pause of an ordinary caller before it sends its request again, in seconds.
RESEND_PAUSE = 0.5
#: More connections than a listener has places.
OVER_ALL_PLACES = 1200
#: Descriptors of an entry's machine less 200 for files and what its three HTTP
#: listeners may take.
PEER_DESCRIPTORS = 4100 - 200 - 3 * 1024
METRICS = b'GET /metrics HTTP/1.1\r\nHost: a.example\r\n\r\n'
STATUS = b'GET /v1/status HTTP/1.1\r\nHost: a.example\r\n\r\n'
FORM_FIELDS = b''.join(b'%x=&' % number for number in range(250000))
FORM = (
    b'POST /fills/0123456789abcdef HTTP/1.1\r\n'
    b'Host: a.example\r\n'
    b'Content-Type: application/x-www-form-urlencoded\r\n'
    b'Content-Length: %d\r\n'
    b'\r\n'
    b'%b' % (len(FORM_FIELDS), FORM_FIELDS)
)
HEADERS = b'%b%b' % (PENDING[:-2], b'a:\r\n' * 499)


def stop_other_side(site: Site, host: str) -> None:
    """End the side of the other minion, so that only one can run tasks."""
    other = next(side for side in SIDES if side != host)
    site.nodes[other].terminate()
    site.nodes[other].wait(TIMEOUT)


def call_until_served(site: Site, job_ids: Iterator[int]) -> None:
    """Call as an ordinary caller does, which tries again when refused."""
    until = time.monotonic() + SERVICE_TIMEOUT
    seen: list[object] = []
    while time.monotonic() < until:
        try:
            reply = site.submit(ENTRIES[0], f'{next(job_ids):016x}')
        except (OSError, http.client.HTTPException) as error:
            seen.append(repr(error))
        else:
            seen.append(reply)
            if reply.status == 200:
                return
        time.sleep(RESEND_PAUSE)
    raise AssertionError(f'an ordinary caller got no answer: {seen}')


def serve_beside(site: Site, listener: str, behaviour: Behaviour) -> None:
    """Check that ordinary callers are served while a crowd stays."""
    host = host_of(listener)
    process = site.nodes[host]
    if host in SIDES:
        stop_other_side(site, host)
    before = count_descriptors(process)
    job_ids = itertools.count(1)
    with LastingCrowd(site.platform.address(host, listener), behaviour):
        time.sleep(CROWD_TIME)
        for _ in range(CALLERS):
            call_until_served(site, job_ids)
    call_until_served(site, job_ids)
    assert process.popen.poll() is None, process.log_tail()
    assert peak_memory(process) <= MACHINE_MEMORY
    wait_for_descriptors(process, before + SPARE_DESCRIPTORS)


def count_buffered(process: Process, address: str) -> int:
    """Return the bytes that the system keeps for sockets of an address.

    The process has not read them, or the client has not received them.
    """
    host, _, port = address.rpartition(':')
    parts = reversed(host.split('.'))
    digits = ''.join(f'{int(part):02X}' for part in parts)
    local = f'{digits}:{int(port):04X}'
    table = Path(f'/proc/{process.popen.pid}/net/tcp').read_text()
    rows = [line.split() for line in table.splitlines()[1:]]
    # The row of a listening port has the number of waiting connections there.
    return sum(
        int(size, 16)
        for row in rows
        if row[1] == local and row[3] != '0A'
        for size in row[4].split(':')
    )


class TestCostlyInput:
    """Input that takes much time for each byte."""

    @pytest.mark.parametrize('listener', LISTENERS)
    def test_single_byte_chunks(self, site: Site, listener: str) -> None:
        behaviour = Behaviour(64, CHUNKED, b'1\r\nx\r\n' * 4096)
        serve_beside(site, listener, behaviour)

    @pytest.mark.parametrize('listener', ['front', 'control'])
    def test_single_byte_chunks_of_many(
        self, site: Site, listener: str
    ) -> None:
        behaviour = Behaviour(1000, CHUNKED, b'1\r\nx\r\n' * 4096)
        serve_beside(site, listener, behaviour)

    def test_many_headers(self, site: Site) -> None:
        behaviour = Behaviour(64, HEADERS, HEADERS)
        serve_beside(site, 'front', behaviour)

    @pytest.mark.parametrize(
        'request_text', [METRICS, STATUS], ids=['metrics', 'status']
    )
    def test_answers_for_operators(
        self, site: Site, request_text: bytes
    ) -> None:
        behaviour = Behaviour(1000, b'', request_text * 64)
        serve_beside(site, 'operator', behaviour)

    def test_pipelined_requests(self, site: Site) -> None:
        behaviour = Behaviour(64, b'', PENDING * 400)
        serve_beside(site, 'front', behaviour)

    @pytest.mark.parametrize('listener', LISTENERS)
    def test_forms(self, site: Site, listener: str) -> None:
        serve_beside(site, listener, Behaviour(8, FORM, FORM))

    @pytest.mark.parametrize('listener', ['front', 'peer'])
    def test_connections_at_speed(self, site: Site, listener: str) -> None:
        behaviour = Behaviour(16, b'x', closes=True)
        serve_beside(site, listener, behaviour)


class TestPlaces:
    """More clients than a listener has places for."""

    @pytest.mark.parametrize(
        'behaviour',
        [
            Behaviour(OVER_ALL_PLACES),
            Behaviour(OVER_ALL_PLACES, PENDING[:-1]),
            Behaviour(OVER_ALL_PLACES, b'', PENDING * 400, reads=False),
        ],
        ids=['silent', 'unfinished', 'unread'],
    )
    def test_callers_get_places(self, site: Site, behaviour: Behaviour) -> None:
        serve_beside(site, 'front', behaviour)

    def test_side_links_to_an_entry(self, site: Site) -> None:
        """Peers that never prove who they are take the places of sides."""
        behaviour = Behaviour(2 * OVER_ALL_PLACES)
        address = site.platform.address(ENTRIES[0], 'peer')
        host = min(SIDES)
        stop_other_side(site, host)
        with LastingCrowd(address, behaviour):
            time.sleep(CROWD_TIME)
            descriptors = count_descriptors(site.nodes[ENTRIES[0]])
            assert descriptors <= PEER_DESCRIPTORS
            site.nodes[host].kill()
            site.nodes[host] = site.run(host)
            call_until_served(site, itertools.count(1))


class TestBufferedBytes:
    """Bytes that are in the buffers of the system."""

    @pytest.mark.parametrize('listener', ['front', 'control'])
    def test_they_stay_within_the_memory(
        self, site: Site, listener: str
    ) -> None:
        host = host_of(listener)
        process = site.nodes[host]
        address = site.platform.address(host, listener)
        behaviour = Behaviour(1000, b'', PENDING * 400, reads=False)
        with LastingCrowd(address, behaviour):
            time.sleep(CROWD_TIME)
            buffered = count_buffered(process, address)
            assert buffered + peak_memory(process) <= MACHINE_MEMORY
