"""Tests of the reactor that attempts writes first, over real sockets."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import pytest
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from jackdawridge.util.reactor import PromptReactor

#: More data than the buffers of a loopback connection hold.
LARGE = b'x' * 20000000
#: Time limit for an expected event, in seconds.
TIMEOUT = 20
#: Longest delay of the cancelled timers, in seconds.
MAX_CANCELLED_DELAY = 0.03


class Recorder(Protocol):
    """A protocol that records what it receives."""

    transport: Any

    def __init__(self) -> None:
        """Create a protocol that has received nothing."""
        self.received = bytearray()
        self.chunks = 0
        self.ended: Failure | None = None

    def dataReceived(self, data: bytes) -> None:
        """Record received data."""
        self.received += data
        self.chunks += 1

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Record the end of the connection."""
        self.ended = reason


class CountingPoller:
    """A wrapper of an epoll object that counts the calls of `modify`."""

    def __init__(self, poller: Any) -> None:
        """Wrap an epoll object."""
        self.poller = poller
        self.modify_calls = 0

    def modify(self, *args: int) -> None:
        """Count the call and delegate it."""
        self.modify_calls += 1
        self.poller.modify(*args)

    def __getattr__(self, name: str) -> Any:
        """Delegate everything else."""
        return getattr(self.poller, name)


class Pair:
    """Both ends of a connection, with a reactor of their own."""

    def __init__(self) -> None:
        """Open the connection."""
        self.reactor = PromptReactor()
        # The reactor is not run: tests iterate it.
        self.reactor.startRunning(installSignalHandlers=False)
        self.near = Recorder()
        self.far = Recorder()
        self.port = self.reactor.listenTCP(
            0, Factory.forProtocol(lambda: self.far), interface='127.0.0.1'
        )
        self.connect(self.port.getHost().port, self.near)
        self.iterate_until(lambda: self.near.connected and self.far.connected)

    def connect(self, port: int, protocol: Recorder) -> list[Failure]:
        """Open a connection; return a list to which a failure is added."""
        failures: list[Failure] = []
        factory: Any = Factory.forProtocol(lambda: protocol)
        factory.startedConnecting = lambda _: None
        factory.clientConnectionLost = lambda *_: None
        factory.clientConnectionFailed = lambda _, why: failures.append(why)
        self.reactor.connectTCP('127.0.0.1', port, factory)
        return failures

    def iterate_until(self, is_done: Callable[[], object]) -> None:
        """Iterate the reactor until a condition holds."""
        time_limit = self.reactor.seconds() + TIMEOUT
        while not is_done():
            assert self.reactor.seconds() < time_limit
            self.reactor.iterate(0.01)

    def receive(self, length: int) -> None:
        """Iterate the reactor until the far end has received enough bytes."""
        self.iterate_until(lambda: len(self.far.received) >= length)

    def close(self) -> None:
        """Close all sockets."""
        for selectable in self.reactor.removeAll():
            selectable.connectionLost(connectionDone)
        self.reactor.disconnectAll()


@pytest.fixture
def pair() -> Iterator[Pair]:
    """Provide a connection."""
    connected = Pair()
    yield connected
    connected.close()


class TestWrites:
    """Order and completeness of writes."""

    def test_small_write_does_not_modify_epoll(self, pair: Pair) -> None:
        """A small message is sent without polling for writability."""
        poller = CountingPoller(pair.reactor._poller)  # noqa: SLF001
        pair.reactor._poller = poller  # noqa: SLF001
        for length in range(1, 10):
            pair.near.transport.write(b'x')
            pair.receive(length)
        assert poller.modify_calls == 0

    def test_writes_of_a_turn_are_sent_together(self, pair: Pair) -> None:
        """Several messages of one turn are sent in one write."""
        for part in (b'a', b'b', b'c'):
            pair.near.transport.write(part)
        pair.receive(3)
        assert pair.far.chunks == 1

    def test_large_write_arrives_completely(self, pair: Pair) -> None:
        """Data that the kernel does not accept at once is written later."""
        pair.near.transport.write(LARGE)
        pair.receive(len(LARGE))
        pair.near.transport.write(b'end')
        pair.iterate_until(lambda: pair.far.received.endswith(b'end'))

    def test_close_waits_for_written_data(self, pair: Pair) -> None:
        """A clean close loses no data."""
        pair.near.transport.write(LARGE)
        pair.near.transport.loseConnection()
        pair.iterate_until(lambda: pair.far.ended is not None)
        assert len(pair.far.received) == len(LARGE)
        pair.iterate_until(lambda: pair.near.ended is not None)

    def test_abort_removes_the_pending_writer(self, pair: Pair) -> None:
        """A connection may be aborted in the turn in which it has written."""
        pair.near.transport.write(b'never')
        pair.near.transport.abortConnection()
        pair.iterate_until(lambda: pair.far.ended is not None)
        assert not pair.reactor.pending_writers

    def test_write_to_a_closed_connection_ends_it(self, pair: Pair) -> None:
        """The failed write affects no other connection."""
        pair.far.transport.abortConnection()
        pair.near.transport.write(b'too late')
        pair.iterate_until(lambda: pair.near.ended is not None)
        again = Recorder()
        pair.connect(pair.port.getHost().port, again)
        pair.iterate_until(lambda: again.connected)

    def test_refused_connection_fails(self, pair: Pair) -> None:
        """A connection attempt polls until the kernel reports its result."""
        closed_port = pair.port.getHost().port
        pair.port.stopListening()
        failures = pair.connect(closed_port, Recorder())
        pair.iterate_until(lambda: failures)
        assert failures[0].check(RefusedError)


class TestTimers:
    """Timers and the duration of polls."""

    def test_timer_set_by_a_write_fires_in_time(self, pair: Pair) -> None:
        """The poll after a write ends at the timer that the write has set.

        It would last as long as was computed before the write otherwise.
        """
        fired: list[float] = []

        class Producer:
            """A producer that sets a timer when it is resumed."""

            def resumeProducing(self) -> None:
                """Set the timer."""
                pair.near.transport.unregisterProducer()
                began = pair.reactor.seconds()
                pair.reactor.callLater(
                    0.05, lambda: fired.append(pair.reactor.seconds() - began)
                )

            def stopProducing(self) -> None:
                """Ignore the request."""

        # No received data may end the poll.
        pair.far.transport.pauseProducing()
        pair.near.transport.write(b'x')
        pair.near.transport.registerProducer(Producer(), False)
        began = pair.reactor.seconds()
        pair.reactor.doIteration(TIMEOUT)
        pair.reactor.runUntilCurrent()
        pair.iterate_until(lambda: fired)
        assert pair.reactor.seconds() - began < TIMEOUT / 2

    def test_cancelled_timer_does_not_end_the_poll(self, pair: Pair) -> None:
        """The timeout depends only on timers that will fire."""
        for delay in (0.01, 0.02, MAX_CANCELLED_DELAY):
            pair.reactor.callLater(delay, pair.close).cancel()
        fired: list[bool] = []
        pair.reactor.callLater(0.2, fired.append, True)
        timeout = pair.reactor.timeout()
        assert timeout is not None
        assert timeout > MAX_CANCELLED_DELAY
        pair.iterate_until(lambda: fired)
        assert not pair.reactor.getDelayedCalls()
