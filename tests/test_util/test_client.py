"""Tests of the HTTP client and its persistent connections."""

from __future__ import annotations

import struct
from typing import Any

import msgspec
import pytest
from twisted.internet.defer import (
    Deferred,
    ensureDeferred,
)
from twisted.internet.defer import (
    TimeoutError as TimedOutError,
)
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from jackdawridge.util.client import JsonClient, encode_request
from jackdawridge.util.http_connection import MAX_RESPONSE_BYTES, HttpResponse

ADDRESS = '127.0.0.1:8080'
URL = f'http://{ADDRESS}/v1/hold'
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-One: two\r\n\r\n{}'


class Server:
    """A client and the server ends of the connections that it opens."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self.reactor = MemoryReactorClock()
        self.client = JsonClient(self.reactor)
        self.protocols: list[object] = []
        self.transports: list[_Transport] = []

    def ask(self, timeout: float = 9) -> Deferred[HttpResponse]:
        """Send a request and accept any connection opened for it."""
        known = len(self.reactor.tcpClients)
        pending = ensureDeferred(self.client.ask('POST', URL, {}, timeout))
        for dialled in self.reactor.tcpClients[known:]:
            protocol: Any = dialled[2].buildProtocol(None)
            transport = _Transport()
            transport.protocol = protocol
            protocol.makeConnection(transport)
            self.protocols.append(protocol)
            self.transports.append(transport)
        return pending

    def receive(self, number: int, data: bytes) -> None:
        """Deliver data to a connection of the client."""
        self.transports[number].protocol.dataReceived(data)


class _Transport(StringTransport):
    """A transport that reports the end of the connection when closed."""

    #: Typed loosely because Twisted's factories wrap it.
    protocol: Any = None

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Ignore the option."""

    def loseConnection(self) -> None:
        """Report a clean close."""
        self.report_end(ConnectionDone())

    def abortConnection(self) -> None:
        """Report a lost connection."""
        self.report_end(ConnectionLost())

    def report_end(self, error: Exception) -> None:
        """Report the end of the connection, only once."""
        if self.connected:
            self.connected = False
            self.protocol.connectionLost(Failure(error))


@pytest.fixture
def server() -> Server:
    """Provide a client and its server."""
    return Server()


def response_of(pending: Deferred[HttpResponse]) -> HttpResponse:
    """Return the response with which a `Deferred` has fired."""
    responses: list[HttpResponse] = []
    pending.addCallback(responses.append)
    assert responses
    return responses[0]


def error_of(pending: Deferred[HttpResponse]) -> BaseException:
    """Return the error with which a `Deferred` has fired."""
    failures: list[Failure] = []
    pending.addErrback(failures.append)
    assert failures
    return failures[0].value or Exception('no error')


class TestConnections:
    """Reuse and closing of connections."""

    def test_request_is_written_as_a_whole(self, server: Server) -> None:
        """Headers and body are written together."""
        server.ask()
        assert server.transports[0].value() == (
            b'POST /v1/hold HTTP/1.1\r\nHost: 127.0.0.1:8080\r\n'
            b'Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}'
        )

    def test_connection_is_reused(self, server: Server) -> None:
        """A request uses the connection of an answered one."""
        for _ in range(3):
            pending = server.ask()
            server.receive(0, RESPONSE)
            assert response_of(pending).status == 200
        assert len(server.transports) == 1

    def test_open_request_keeps_its_connection(self, server: Server) -> None:
        """Concurrent requests use separate connections."""
        first = server.ask()
        second = server.ask()
        server.receive(1, RESPONSE)
        server.receive(0, RESPONSE.replace(b'{}', b'[]'))
        assert response_of(first).body == b'[]'
        assert response_of(second).body == b'{}'

    def test_connection_close_header_is_honoured(self, server: Server) -> None:
        """A connection with `Connection: close` is not reused."""
        pending = server.ask()
        server.receive(0, RESPONSE.replace(b'X-One: two', b'Connection: close'))
        assert response_of(pending).document() == {}
        server.ask()
        assert len(server.transports) == 2

    def test_closed_connection_is_not_reused(self, server: Server) -> None:
        """No request uses an idle connection that the server has closed."""
        server.ask()
        server.receive(0, RESPONSE)
        server.transports[0].loseConnection()
        pending = server.ask()
        server.receive(1, RESPONSE)
        assert response_of(pending).header('x-one') == 'two'

    def test_timeout_closes_all_unresponsive_connections(
        self, server: Server
    ) -> None:
        """Idle connections without a response since the request are closed."""
        for _ in range(3):
            server.ask()
        for number in range(3):
            server.receive(number, RESPONSE)
        server.reactor.advance(1)
        pending = server.ask(timeout=0.1)
        server.reactor.advance(0.2)
        assert isinstance(error_of(pending), TimedOutError)
        server.ask()
        assert len(server.transports) == 4
        assert not any(one.connected for one in server.transports[:3])

    def test_timeout_keeps_responsive_connections(self, server: Server) -> None:
        """A connection with a response since the request stays open."""
        for _ in range(2):
            server.ask()
        server.receive(0, RESPONSE)
        server.reactor.advance(1)
        unanswered = server.ask(timeout=0.1)
        server.reactor.advance(0.05)
        server.receive(1, RESPONSE)
        server.reactor.advance(0.1)
        assert isinstance(error_of(unanswered), TimedOutError)
        assert server.transports[1].connected


class TestResponses:
    """Partial, endless, malformed and unsolicited responses."""

    def test_response_in_single_bytes(self, server: Server) -> None:
        """A response is delivered once it is complete."""
        pending = server.ask()
        for byte in struct.unpack(f'{len(RESPONSE)}c', RESPONSE):
            server.receive(0, byte)
        assert response_of(pending).body == b'{}'

    def test_response_delimited_by_close(self, server: Server) -> None:
        """A response without a length is complete when the server closes."""
        pending = server.ask()
        server.receive(0, b'HTTP/1.1 503 No\r\nServer: s\r\n\r\naway')
        server.transports[0].loseConnection()
        assert response_of(pending).body == b'away'

    def test_truncated_response_fails(self, server: Server) -> None:
        """A response shorter than its length is an error."""
        pending = server.ask()
        server.receive(0, RESPONSE[:-1])
        server.transports[0].loseConnection()
        assert isinstance(error_of(pending), ConnectionLost)

    @pytest.mark.parametrize(
        'content', [b'nonsense\r\n\r\n', b'HTTP/1.1 2x0 OK\r\n\r\n', b'\x00']
    )
    def test_malformed_response_closes_the_connection(
        self, server: Server, content: bytes
    ) -> None:
        """A response that is not HTTP fails only its own request."""
        pending = server.ask()
        server.receive(0, content)
        error_of(pending)
        assert not server.transports[0].connected

    def test_response_over_the_limit_fails(self, server: Server) -> None:
        """The memory that a response may take is bounded."""
        pending = server.ask()
        server.receive(0, b'HTTP/1.1 200 OK\r\nX-Long: ')
        for _ in range(MAX_RESPONSE_BYTES // 65536 + 1):
            server.receive(0, b'x' * 65536)
            if not server.transports[0].connected:
                break
        error_of(pending)

    def test_headers_of_a_response_are_bounded(self, server: Server) -> None:
        pending = server.ask()
        server.receive(0, b'HTTP/1.1 200 OK\r\n')
        for number in range(1000):
            server.receive(0, b'x%d: y\r\n' % number)
            if not server.transports[0].connected:
                break
        assert number < 300
        error_of(pending)

    def test_unsolicited_response_closes_the_connection(
        self, server: Server
    ) -> None:
        """It must not be taken for the response to the next request."""
        server.ask()
        server.receive(0, RESPONSE)
        server.receive(0, RESPONSE)
        pending = server.ask()
        server.receive(1, RESPONSE.replace(b'{}', b'[]'))
        assert response_of(pending).body == b'[]'

    def test_second_response_in_one_segment_is_ignored(
        self, server: Server
    ) -> None:
        """A response received together with the one before is unsolicited."""
        first = server.ask()
        server.receive(0, RESPONSE + RESPONSE.replace(b'{}', b'[]'))
        assert response_of(first).body == b'{}'
        pending = server.ask()
        assert not pending.called
        server.receive(len(server.transports) - 1, RESPONSE)
        assert response_of(pending).body == b'{}'


class TestEncodeRequest:
    """Encoding of requests."""

    def test_line_break_is_refused(self) -> None:
        """The value of a header cannot inject another header."""
        with pytest.raises(ValueError, match='line break'):
            encode_request('GET', ADDRESS, 'x', None, {'A': 'b\r\nC: d'})

    def test_space_in_the_path_is_refused(self) -> None:
        """A space in the path would end the request target."""
        with pytest.raises(ValueError, match='space'):
            encode_request('GET', ADDRESS, 'x y', None, {})

    def test_body_is_json(self) -> None:
        """The body after the headers is the document as JSON."""
        written = encode_request('POST', ADDRESS, 'x', {'a': 1}, {'B': 'c'})
        head, _, body = written.partition(b'\r\n\r\n')
        assert msgspec.json.decode(body) == {'a': 1}
        assert b'B: c' in head.splitlines()
