"""Tests of requests over connections that stay open."""

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

from jackdawridge.util.client import JsonClient, write_request
from jackdawridge.util.http_connection import MAX_ANSWER_BYTES, Answer

ADDRESS = '127.0.0.1:8080'
URL = f'http://{ADDRESS}/v1/hold'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-One: two\r\n\r\n{}'


class Server:
    """The other end of the connections that a client opens."""

    def __init__(self) -> None:
        """Start a client without connections."""
        self.reactor = MemoryReactorClock()
        self.client = JsonClient(self.reactor)
        self.protocols: list[object] = []
        self.transports: list[_Transport] = []

    def ask(self, timeout: float = 9) -> Deferred[Answer]:
        """Send a request; connect if a new connection is dialled."""
        known = len(self.reactor.tcpClients)
        asked = ensureDeferred(self.client.ask('POST', URL, {}, timeout))
        for dialled in self.reactor.tcpClients[known:]:
            protocol: Any = dialled[2].buildProtocol(None)
            transport = _Transport()
            transport.protocol = protocol
            protocol.makeConnection(transport)
            self.protocols.append(protocol)
            self.transports.append(transport)
        return asked

    def receive(self, number: int, data: bytes) -> None:
        """Let a connection of the client receive something."""
        self.transports[number].protocol.dataReceived(data)


class _Transport(StringTransport):
    """A connection that ends when it is closed."""

    #: Typed loosely because Twisted's factories wrap it.
    protocol: Any = None

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept the option."""

    def loseConnection(self) -> None:
        """End the connection."""
        self.end(ConnectionDone())

    def abortConnection(self) -> None:
        """End the connection."""
        self.end(ConnectionLost())

    def end(self, error: Exception) -> None:
        """Report the end once."""
        if self.connected:
            self.connected = False
            self.protocol.connectionLost(Failure(error))


@pytest.fixture
def server() -> Server:
    """Return a client and its server."""
    return Server()


def result_of(asked: Deferred[Answer]) -> Answer:
    """Return the answer that is there."""
    answers: list[Answer] = []
    asked.addCallback(answers.append)
    assert answers
    return answers[0]


def error_of(asked: Deferred[Answer]) -> BaseException:
    """Return the error that is there."""
    failures: list[Failure] = []
    asked.addErrback(failures.append)
    assert failures
    return failures[0].value or Exception('no error')


class TestConnections:
    """What is sent over which connection."""

    def test_request_is_written_as_a_whole(self, server: Server) -> None:
        """Headers and body leave together."""
        server.ask()
        assert server.transports[0].value() == (
            b'POST /v1/hold HTTP/1.1\r\nHost: 127.0.0.1:8080\r\n'
            b'Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}'
        )

    def test_connection_is_used_again(self, server: Server) -> None:
        """An answered request leaves its connection to the next."""
        for _ in range(3):
            asked = server.ask()
            server.receive(0, ANSWER)
            assert result_of(asked).status == 200
        assert len(server.transports) == 1

    def test_open_request_keeps_its_connection(self, server: Server) -> None:
        """Two requests at a time take two connections."""
        first = server.ask()
        second = server.ask()
        server.receive(1, ANSWER)
        server.receive(0, ANSWER.replace(b'{}', b'[]'))
        assert result_of(first).body == b'[]'
        assert result_of(second).body == b'{}'

    def test_server_that_closes_is_dialled_again(self, server: Server) -> None:
        """`Connection: close` ends the connection with its answer."""
        asked = server.ask()
        server.receive(0, ANSWER.replace(b'X-One: two', b'Connection: close'))
        assert result_of(asked).document() == {}
        server.ask()
        assert len(server.transports) == 2

    def test_closed_connection_is_forgotten(self, server: Server) -> None:
        """What the server closes while it is free takes no request."""
        server.ask()
        server.receive(0, ANSWER)
        server.transports[0].loseConnection()
        asked = server.ask()
        server.receive(1, ANSWER)
        assert result_of(asked).header('x-one') == 'two'

    def test_silent_connections_are_given_up_together(
        self, server: Server
    ) -> None:
        """One timeout ends all that were last heard before the request."""
        for _ in range(3):
            server.ask()
        for number in range(3):
            server.receive(number, ANSWER)
        server.reactor.advance(1)
        asked = server.ask(timeout=0.1)
        server.reactor.advance(0.2)
        assert isinstance(error_of(asked), TimedOutError)
        server.ask()
        assert len(server.transports) == 4
        assert not any(one.connected for one in server.transports[:3])

    def test_connection_heard_since_is_kept(self, server: Server) -> None:
        """What has answered after the silent request began goes on."""
        for _ in range(2):
            server.ask()
        server.receive(0, ANSWER)
        server.reactor.advance(1)
        silent = server.ask(timeout=0.1)
        server.reactor.advance(0.05)
        server.receive(1, ANSWER)
        server.reactor.advance(0.1)
        assert isinstance(error_of(silent), TimedOutError)
        assert server.transports[1].connected


class TestAnswers:
    """Answers in parts, without end or unreadable."""

    def test_answer_in_single_bytes(self, server: Server) -> None:
        """An answer is passed on once it is whole."""
        asked = server.ask()
        for byte in struct.unpack(f'{len(ANSWER)}c', ANSWER):
            server.receive(0, byte)
        assert result_of(asked).body == b'{}'

    def test_answer_ends_with_its_connection(self, server: Server) -> None:
        """An answer without a length is whole when the server closes."""
        asked = server.ask()
        server.receive(0, b'HTTP/1.1 503 No\r\nServer: s\r\n\r\naway')
        server.transports[0].loseConnection()
        assert result_of(asked).body == b'away'

    def test_answer_that_is_cut_off_is_lost(self, server: Server) -> None:
        """Part of an answer is none."""
        asked = server.ask()
        server.receive(0, ANSWER[:-1])
        server.transports[0].loseConnection()
        assert isinstance(error_of(asked), ConnectionLost)

    @pytest.mark.parametrize(
        'content', [b'nonsense\r\n\r\n', b'HTTP/1.1 2x0 OK\r\n\r\n', b'\x00']
    )
    def test_unreadable_answer_ends_the_connection(
        self, server: Server, content: bytes
    ) -> None:
        """What is no HTTP is an error of its request alone."""
        asked = server.ask()
        server.receive(0, content)
        error_of(asked)
        assert not server.transports[0].connected

    def test_answer_without_end_is_given_up(self, server: Server) -> None:
        """Memory for an answer is bounded."""
        asked = server.ask()
        server.receive(0, b'HTTP/1.1 200 OK\r\nX-Long: ')
        for _ in range(MAX_ANSWER_BYTES // 65536 + 1):
            server.receive(0, b'x' * 65536)
            if not server.transports[0].connected:
                break
        error_of(asked)

    def test_word_that_nobody_asked_for_ends_the_connection(
        self, server: Server
    ) -> None:
        """It must not be taken for the answer to the next request."""
        server.ask()
        server.receive(0, ANSWER)
        server.receive(0, ANSWER)
        asked = server.ask()
        server.receive(1, ANSWER.replace(b'{}', b'[]'))
        assert result_of(asked).body == b'[]'

    def test_second_answer_in_one_piece_is_not_used(
        self, server: Server
    ) -> None:
        """An answer that comes with the one before belongs to nothing."""
        first = server.ask()
        server.receive(0, ANSWER + ANSWER.replace(b'{}', b'[]'))
        assert result_of(first).body == b'{}'
        asked = server.ask()
        assert not asked.called
        server.receive(len(server.transports) - 1, ANSWER)
        assert result_of(asked).body == b'{}'


class TestWriting:
    """Requests as they are sent."""

    def test_line_break_is_refused(self) -> None:
        """A header cannot hold another one."""
        with pytest.raises(ValueError, match='line break'):
            write_request('GET', ADDRESS, 'x', None, {'A': 'b\r\nC: d'})

    def test_space_in_the_path_is_refused(self) -> None:
        """The path ends at a space."""
        with pytest.raises(ValueError, match='space'):
            write_request('GET', ADDRESS, 'x y', None, {})

    def test_body_is_json(self) -> None:
        """The document follows the headers."""
        written = write_request('POST', ADDRESS, 'x', {'a': 1}, {'B': 'c'})
        head, _, body = written.partition(b'\r\n\r\n')
        assert msgspec.json.decode(body) == {'a': 1}
        assert b'B: c' in head.splitlines()
