"""Tests of links against peers that do not keep to the protocol."""

from __future__ import annotations

import struct
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from jackdawridge.execution.messages import CancelBatch
from jackdawridge.wire.handshake import Identity
from jackdawridge.wire.link import (
    HANDSHAKE_TIMEOUT,
    MAX_MESSAGE_BYTES,
    STALL_TIMEOUT,
    AcceptingFactory,
    DialingFactory,
    Link,
    LinkContext,
)
from tests.test_wire.test_codec import CODEC

IDENTITY = Identity('deployment', 'a key that is long enough')
MESSAGE = CancelBatch(('a', 'b'))


class Recorder:
    """Keeps what happens on links."""

    def __init__(self) -> None:
        self.opened = 0
        self.closed: list[str] = []
        self.messages: list[Any] = []

    def link_opened(self, link: Link) -> None:
        self.opened += 1

    def message_received(self, link: Link, message: Any) -> None:
        self.messages.append(message)

    def link_closed(self, link: Link, reason: str) -> None:
        self.closed.append(reason)


class FakeTransport(StringTransport):
    """A transport in memory with the options of TCP."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Take note of nothing."""


class End:
    """A link with a recorder, a clock and a transport in memory."""

    def __init__(
        self, factory_type: Any, identity: Identity = IDENTITY
    ) -> None:
        self.recorder = Recorder()
        self.clock = Clock()
        context = LinkContext(identity, CODEC, self.recorder, self.clock, 1)
        self.factory = factory_type(context)
        self.link: Any = self.factory.buildProtocol(None)
        make_transport: Any = FakeTransport
        self.transport: Any = make_transport()
        self.link.makeConnection(self.transport)

    def take(self) -> bytes:
        data: bytes = self.transport.value()
        self.transport.clear()
        return data


def connect(dialer: End, acceptor: End) -> None:
    for _ in range(3):
        dialer.link.dataReceived(acceptor.take())
        acceptor.link.dataReceived(dialer.take())


def make_pair() -> tuple[End, End]:
    dialer, acceptor = End(DialingFactory), End(AcceptingFactory)
    connect(dialer, acceptor)
    return dialer, acceptor


class TestHandshake:
    def test_messages_pass_after_it(self) -> None:
        dialer, acceptor = make_pair()
        assert dialer.link.send(MESSAGE)
        acceptor.link.dataReceived(dialer.take())
        assert acceptor.recorder.messages == [MESSAGE]

    @pytest.mark.parametrize(
        'identity',
        [
            Identity('another', IDENTITY.shared_key),
            Identity(IDENTITY.deployment, 'another key that is long'),
        ],
    )
    def test_peer_without_the_identity_is_refused(
        self, identity: Identity
    ) -> None:
        dialer = End(DialingFactory, identity)
        acceptor = End(AcceptingFactory)
        connect(dialer, acceptor)
        assert acceptor.recorder.opened == 0
        assert dialer.recorder.opened == 0

    def test_slow_peer_is_cut_off(self) -> None:
        acceptor = End(AcceptingFactory)
        acceptor.clock.advance(HANDSHAKE_TIMEOUT)
        assert acceptor.link.close_reason == 'handshake timed out'

    def test_no_message_is_read_before_it(self) -> None:
        acceptor = End(AcceptingFactory)
        frame = CODEC.encode(MESSAGE)
        acceptor.link.dataReceived(struct.pack('>I', len(frame)) + frame)
        assert not acceptor.recorder.messages
        assert acceptor.link.close_reason

    def test_long_frame_is_refused_before_it(self) -> None:
        acceptor = End(AcceptingFactory)
        acceptor.link.dataReceived(struct.pack('>I', MAX_MESSAGE_BYTES))
        assert acceptor.link.close_reason == 'frame too long'

    @given(st.binary(max_size=400))
    def test_any_bytes_open_nothing(self, data: bytes) -> None:
        acceptor = End(AcceptingFactory)
        acceptor.link.dataReceived(data)
        assert acceptor.recorder.opened == 0
        assert not acceptor.recorder.messages


class TestOpenLink:
    @given(st.binary(max_size=400))
    def test_any_bytes_are_read_or_close_it(self, data: bytes) -> None:
        dialer, acceptor = make_pair()
        frame = struct.pack('>I', len(data)) + data
        acceptor.link.dataReceived(frame)
        assert acceptor.recorder.messages or acceptor.link.close_reason

    def test_frame_over_the_bound_closes_it(self) -> None:
        _, acceptor = make_pair()
        acceptor.link.dataReceived(struct.pack('>I', MAX_MESSAGE_BYTES + 1))
        assert acceptor.link.close_reason == 'frame too long'

    def test_peer_that_does_not_read_is_cut_off(self) -> None:
        dialer, _ = make_pair()
        dialer.link.pauseProducing()
        dialer.clock.advance(STALL_TIMEOUT)
        assert dialer.link.close_reason == 'peer does not read'

    def test_peer_that_reads_in_time_is_kept(self) -> None:
        dialer, _ = make_pair()
        dialer.link.pauseProducing()
        dialer.clock.advance(STALL_TIMEOUT / 2)
        dialer.link.resumeProducing()
        dialer.clock.advance(STALL_TIMEOUT)
        assert not dialer.link.close_reason

    def test_link_over_the_limit_is_refused(self) -> None:
        _, acceptor = make_pair()
        assert acceptor.factory.buildProtocol(None) is None

    def test_message_to_several_peers_is_encoded_once(self) -> None:
        dialer, acceptor = make_pair()
        context = dialer.link.context
        assert context.encode(MESSAGE) is context.encode(MESSAGE)
        assert CODEC.decode(context.encode(MESSAGE)) == MESSAGE
        assert dialer.link.send(MESSAGE)
        acceptor.link.dataReceived(dialer.take())
        assert acceptor.recorder.messages == [MESSAGE]
