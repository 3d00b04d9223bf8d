"""Tests of the connections of a listener, without a network."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from jackdawridge.listening.connection_memory import ConnectionMemory
from jackdawridge.listening.input_limits import InputLimits
from jackdawridge.listening.listeners import HttpListener
from jackdawridge.listening.refusals import Refusal, Refusals
from jackdawridge.listening.routes import ANY, Route, Routes
from jackdawridge.listening.turns import InputTurns

CHUNKED = b'POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n'
GET = b'GET / HTTP/1.1\r\nHost: test\r\n\r\n'
OK = b'HTTP/1.1 200 OK'


class Transport(StringTransport):
    """Keeps what is written, and has the buffers of Twisted's transport."""

    def __init__(self) -> None:
        super().__init__()
        self.dataBuffer = b''
        self.offset = 0
        self._tempDataLen = 0
        self.is_aborted = False

    def unregisterProducer(self) -> None:
        self.producer = None

    def abortConnection(self) -> None:
        self.is_aborted = True


class Listener:
    """A listener whose handler keeps the bodies that it gets."""

    def __init__(self, limit: int = 1000000) -> None:
        self.clock: Any = Clock()
        self.bodies: list[bytes] = []
        #: Answers to the next requests; they are answered at once without.
        self.answers: list[Deferred[bytes]] = []
        self.limits = InputLimits(
            ConnectionMemory(limit), Refusals(), InputTurns(self.clock)
        )
        self.site = HttpListener(
            self.clock,
            '127.0.0.1:0',
            Routes(Route('/', ANY, self.serve)),
            limits=self.limits,
        )

    def serve(self, request: Any, _: str) -> bytes | Deferred[bytes]:
        self.bodies.append(request.content.read())
        return self.answers.pop() if self.answers else b''

    def connect(self) -> Any:
        """Return the protocol of a new connection."""
        peer: Any = IPv4Address('TCP', 'test', 1)
        channel: Any = self.site.buildProtocol(peer)
        channel.makeConnection(Transport())
        return channel


class TestTrailers:
    def test_trailers_are_dropped_however_they_are_cut(self) -> None:
        message = (
            b'%b1;x=y\r\na\r\n2\r\nbc\r\n0\r\nT: 1\r\nU: 2\r\n\r\n' % CHUNKED
        )
        for size in range(1, len(message) + 1):
            listener = Listener()
            channel = listener.connect()
            sent = message + GET
            for start in range(0, len(sent), size):
                channel.dataReceived(sent[start : start + size])
            listener.clock.advance(0)
            assert listener.bodies == [b'abc', b''], size

    def test_too_many_trailers_are_refused(self) -> None:
        listener = Listener()
        channel = listener.connect()
        channel.dataReceived(b'%b0\r\n' % CHUNKED)
        for _ in range(64):
            assert not channel.transport.disconnecting
            channel.dataReceived(b'a:\r\n' * 256)
        assert channel.transport.value().startswith(b'HTTP/1.1 400')
        assert channel.transport.disconnecting
        assert not listener.bodies


class TestPipelinedRequests:
    def test_only_one_request_begins_in_a_turn(self) -> None:
        listener = Listener()
        channel = listener.connect()
        channel.dataReceived(GET * 3)
        assert len(listener.bodies) == 1
        listener.clock.advance(0)
        assert len(listener.bodies) == 3
        assert channel.transport.value().count(OK) == 3

    def test_none_begins_while_answers_are_not_read(self) -> None:
        listener = Listener()
        channel = listener.connect()
        channel.dataReceived(GET * 3)
        channel.pauseProducing()
        listener.clock.advance(0)
        assert len(listener.bodies) == 1
        channel.resumeProducing()
        listener.clock.advance(0)
        assert len(listener.bodies) == 3

    def test_end_is_noticed_while_a_later_request_is_answered(self) -> None:
        listener = Listener()
        channel = listener.connect()
        slow: Deferred[bytes] = Deferred()
        channel.dataReceived(GET * 2)
        listener.answers.append(slow)
        listener.clock.advance(0)
        assert len(listener.bodies) == 2
        assert channel.transport.producerState == 'producing'

    def test_nothing_is_read_while_an_answer_is_unsent(self) -> None:
        listener = Listener()
        channel = listener.connect()
        slow: Deferred[bytes] = Deferred()
        listener.answers.append(slow)
        channel.dataReceived(GET)
        channel.pauseProducing()
        slow.callback(b'')
        assert channel.transport.producerState == 'paused'
        channel.resumeProducing()
        assert channel.transport.producerState == 'producing'

    def test_second_request_may_close_the_connection(self) -> None:
        listener = Listener()
        channel = listener.connect()
        channel.dataReceived(b'%b%bConnection: close\r\n\r\n' % (GET, GET[:-2]))
        listener.clock.advance(0)
        assert channel.transport.value().count(OK) == 2
        assert channel.transport.disconnecting


class TestEviction:
    def test_largest_connection_gets_a_refusal(self) -> None:
        listener = Listener(limit=10000)
        crowd = [listener.connect() for _ in range(4)]
        for channel in crowd:
            channel.dataReceived(GET[:-2] + b'X: %b' % (b'x' * 3000))
        caller = listener.connect()
        caller.dataReceived(GET)
        assert caller.transport.value().startswith(OK)
        evicted = [
            channel for channel in crowd if channel.transport.disconnecting
        ]
        assert len(evicted) == 1
        answer = evicted[0].transport.value()
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'X-Jackdawridge-Outcome: not-run' in answer
        assert listener.limits.memory.used <= 10000

    def test_refusals_are_all_counted_and_some_logged(self) -> None:
        refusals = Refusals()
        for step in range(1000):
            refusals.count(Refusal.malformed, 'test', step / 1000)
        assert refusals.lines.unlogged == {Refusal.malformed: 999}
        counter = refusals.counter.labels('malformed')
        assert counter._value.get() == 1000


class TestUnreadAnswers:
    def test_closing_does_not_wait_for_ever(self) -> None:
        """Twisted stops the timer of a connection that answers a request."""
        listener = Listener()
        channel = listener.connect()
        channel.dataReceived(GET.replace(b'1.1', b'1.0'))
        assert channel.transport.disconnecting
        listener.clock.advance(60)
        listener.clock.advance(15)
        assert channel.transport.is_aborted


class TestRequestTime:
    def test_request_that_is_answered_gets_no_refusal(self) -> None:
        """Input behind it may be as little as a blank line."""
        listener = Listener()
        channel = listener.connect()
        slow: Deferred[bytes] = Deferred()
        listener.answers.append(slow)
        channel.dataReceived(GET)
        channel.dataReceived(b'\r\n')
        listener.clock.pump([15, 15])
        assert not channel.transport.value()
        slow.callback(b'done')
        assert channel.transport.value().endswith(b'done')

    def test_time_behind_an_answer_starts_with_its_end(self) -> None:
        listener = Listener()
        channel = listener.connect()
        slow: Deferred[bytes] = Deferred()
        listener.answers.append(slow)
        channel.dataReceived(GET)
        channel.dataReceived(GET[:10])
        listener.clock.advance(14)
        slow.callback(b'')
        listener.clock.advance(14)
        assert not channel.transport.disconnecting
        channel.dataReceived(GET[10:])
        assert len(listener.bodies) == 2

    def test_incomplete_request_behind_an_answer_is_refused(self) -> None:
        listener = Listener()
        channel = listener.connect()
        channel.dataReceived(b'%b%b' % (GET, GET[:10]))
        listener.clock.advance(0)
        listener.clock.advance(15)
        assert b'HTTP/1.1 408' in channel.transport.value()
        assert channel.transport.disconnecting

    def test_complete_request_behind_an_unsent_answer_is_kept(self) -> None:
        listener = Listener()
        channel = listener.connect()
        slow: Deferred[bytes] = Deferred()
        listener.answers.append(slow)
        channel.dataReceived(GET * 2)
        channel.pauseProducing()
        slow.callback(b'')
        listener.clock.advance(15)
        channel.resumeProducing()
        listener.clock.advance(0)
        assert len(listener.bodies) == 2
        assert b'HTTP/1.1 408' not in channel.transport.value()

    def test_blank_line_begins_no_request(self) -> None:
        """Some clients send one behind the body of a request."""
        listener = Listener()
        channel = listener.connect()
        channel.dataReceived(b'%b\r\n' % GET)
        listener.clock.pump([0, 15])
        assert not channel.transport.disconnecting
        channel.dataReceived(GET)
        assert channel.transport.value().count(OK) == 2

    def test_closing_connection_gets_no_second_answer(self) -> None:
        listener = Listener()
        channel = listener.connect()
        channel.dataReceived(b'POST / HTTP/1.1\r\nContent-Length: 9999999\r\n')
        channel.dataReceived(b'\r\n')
        listener.clock.advance(15)
        assert channel.transport.value().count(b'HTTP/1.1') == 1


class TestAge:
    def test_request_behind_another_is_as_old_as_its_input(self) -> None:
        listener = Listener()
        channel = listener.connect()
        slow: Deferred[bytes] = Deferred()
        listener.answers.append(slow)
        channel.dataReceived(GET * 2)
        listener.clock.advance(10)
        slow.callback(b'')
        listener.clock.advance(0)
        assert len(listener.bodies) == 2
        assert channel.received_after == 0

    def test_requests_cut_by_each_read_do_not_grow_old(self) -> None:
        listener = Listener()
        channel = listener.connect()
        channel.dataReceived(b'%b%b' % (GET, GET[:10]))
        for _ in range(4):
            listener.clock.pump([0, 10])
            channel.dataReceived(b'%b%b' % (GET[10:], GET[:10]))
        assert len(listener.bodies) == 5
        assert channel.received_after == 30


class TestCostlyInput:
    """Input that takes long to handle is handled in turns."""

    def test_some_chunks_are_decoded_in_a_turn(self) -> None:
        listener = Listener()
        channel = listener.connect()
        channel.dataReceived(b'%b%b' % (CHUNKED, b'1\r\nx\r\n' * 1200))
        turns = 0
        while listener.limits.turns.waiting:
            assert channel.transport.producerState == 'paused'
            assert channel.requests[0].reservation.length == 256 * (turns + 1)
            listener.limits.turns.run()
            turns += 1
        assert turns == 4
        assert channel.transport.producerState == 'producing'
        channel.dataReceived(b'0\r\n\r\n')
        assert listener.bodies == [b'x' * 1200]

    def test_what_follows_a_body_of_many_chunks_is_served(self) -> None:
        listener = Listener()
        channel = listener.connect()
        body = b'%b0\r\n\r\n' % (b'1\r\nx\r\n' * 300)
        channel.dataReceived((CHUNKED + body + GET) * 2)
        listener.clock.advance(0)
        assert listener.bodies == [b'x' * 300, b'', b'x' * 300, b'']
        assert channel.transport.producerState == 'producing'

    def test_body_that_never_ends_is_refused_in_time(self) -> None:
        listener = Listener()
        channel = listener.connect()
        channel.dataReceived(CHUNKED)
        for _ in range(15):
            channel.dataReceived(b'1\r\nx\r\n' * 257)
            assert not channel.transport.disconnecting
            listener.clock.advance(1)
        assert channel.transport.value().startswith(b'HTTP/1.1 408')
        assert channel.transport.disconnecting

    def test_request_with_a_long_body_waits_for_its_turn(self) -> None:
        listener = Listener()
        channel = listener.connect()
        channel.dataReceived(
            b'POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n%b' % (b'x' * 5000)
        )
        assert not listener.bodies
        listener.clock.advance(0)
        assert listener.bodies == [b'x' * 5000]

    def test_forms_are_not_decoded(self) -> None:
        listener = Listener()
        channel = listener.connect()
        slow: Deferred[bytes] = Deferred()
        listener.answers.append(slow)
        channel.dataReceived(
            b'POST /?a=b HTTP/1.1\r\n'
            b'Content-Type: application/x-www-form-urlencoded\r\n'
            b'Content-Length: 3\r\n\r\nc=d'
        )
        assert listener.bodies == [b'c=d']
        assert channel.requests[0].args == {b'a': [b'b']}

    def test_request_of_a_lost_connection_is_not_served(self) -> None:
        listener = Listener()
        listener.site.serves_in_turns = True
        channel = listener.connect()
        channel.dataReceived(GET)
        channel.connectionLost()
        listener.clock.advance(0)
        assert not listener.bodies
