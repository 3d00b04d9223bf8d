"""Tests of links, also with peers that violate the protocol."""

from __future__ import annotations

import struct
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from jackdawridge.execution.messages import CancelBatch
from jackdawridge.wire.handshake import Credentials
from jackdawridge.wire.link import (
    HANDSHAKE_TIMEOUT,
    MAX_HANDSHAKES,
    MAX_MESSAGE_BYTES,
    STALL_TIMEOUT,
    AcceptingFactory,
    DialingFactory,
    Link,
    LinkContext,
)
from tests.test_wire.test_codec import CODEC

CREDENTIALS = Credentials('deployment', 'a key that is long enough')
MESSAGE = CancelBatch(('a', 'b'))


class Recorder:
    """A link handler that records the events of links."""

    def __init__(self) -> None:
        self.opened_links = 0
        self.close_reasons: list[str] = []
        self.messages: list[Any] = []

    def link_opened(self, link: Link) -> None:
        self.opened_links += 1

    def message_received(self, link: Link, message: Any) -> None:
        self.messages.append(message)

    def link_closed(self, link: Link, reason: str) -> None:
        self.close_reasons.append(reason)


class FakeTransport(StringTransport):
    """An in-memory transport that accepts the options of TCP."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Ignore the option."""


class LinkEnd:
    """A link with a recorder, a fake clock and an in-memory transport."""

    def __init__(
        self, factory_type: Any, credentials: Credentials = CREDENTIALS
    ) -> None:
        self.recorder = Recorder()
        self.clock = Clock()
        context = LinkContext(credentials, CODEC, self.recorder, self.clock, 1)
        self.factory = factory_type(context)
        self.link: Any = self.factory.buildProtocol(None)
        make_transport: Any = FakeTransport
        self.transport: Any = make_transport()
        self.link.makeConnection(self.transport)

    def pop_written(self) -> bytes:
        """Return what the link has written since the last call."""
        data: bytes = self.transport.value()
        self.transport.clear()
        return data


def exchange_frames(dialer: LinkEnd, acceptor: LinkEnd) -> None:
    """Pass on the frames of the handshake."""
    for _ in range(3):
        dialer.link.dataReceived(acceptor.pop_written())
        acceptor.link.dataReceived(dialer.pop_written())


def make_pair() -> tuple[LinkEnd, LinkEnd]:
    """Return a dialer and an acceptor whose handshake is complete."""
    dialer, acceptor = LinkEnd(DialingFactory), LinkEnd(AcceptingFactory)
    exchange_frames(dialer, acceptor)
    return dialer, acceptor


class TestHandshake:
    def test_messages_pass_after_the_handshake(self) -> None:
        dialer, acceptor = make_pair()
        assert dialer.link.send(MESSAGE)
        acceptor.link.dataReceived(dialer.pop_written())
        assert acceptor.recorder.messages == [MESSAGE]

    @pytest.mark.parametrize(
        'credentials',
        [
            Credentials('another', CREDENTIALS.shared_key),
            Credentials(CREDENTIALS.deployment, 'another key that is long'),
        ],
    )
    def test_peer_with_other_credentials_is_refused(
        self, credentials: Credentials
    ) -> None:
        dialer = LinkEnd(DialingFactory, credentials)
        acceptor = LinkEnd(AcceptingFactory)
        exchange_frames(dialer, acceptor)
        assert acceptor.recorder.opened_links == 0
        assert dialer.recorder.opened_links == 0

    def test_slow_handshake_times_out(self) -> None:
        acceptor = LinkEnd(AcceptingFactory)
        acceptor.clock.advance(HANDSHAKE_TIMEOUT)
        assert acceptor.link.close_reason == 'handshake timed out'

    def test_message_before_the_handshake_closes_the_link(self) -> None:
        acceptor = LinkEnd(AcceptingFactory)
        frame = CODEC.encode(MESSAGE)
        acceptor.link.dataReceived(struct.pack('>I', len(frame)) + frame)
        assert not acceptor.recorder.messages
        assert acceptor.link.close_reason

    def test_long_frame_before_the_handshake_closes_the_link(self) -> None:
        acceptor = LinkEnd(AcceptingFactory)
        acceptor.link.dataReceived(struct.pack('>I', MAX_MESSAGE_BYTES))
        assert acceptor.link.close_reason == 'frame too long'

    @given(st.binary(max_size=400))
    def test_arbitrary_bytes_do_not_open_a_link(self, data: bytes) -> None:
        acceptor = LinkEnd(AcceptingFactory)
        acceptor.link.dataReceived(data)
        assert acceptor.recorder.opened_links == 0
        assert not acceptor.recorder.messages


class TestOpenLink:
    @given(st.binary(max_size=400))
    def test_arbitrary_frame_is_read_or_closes_the_link(
        self, data: bytes
    ) -> None:
        dialer, acceptor = make_pair()
        frame = struct.pack('>I', len(data)) + data
        acceptor.link.dataReceived(frame)
        assert acceptor.recorder.messages or acceptor.link.close_reason

    def test_frame_over_the_limit_closes_the_link(self) -> None:
        _, acceptor = make_pair()
        acceptor.link.dataReceived(struct.pack('>I', MAX_MESSAGE_BYTES + 1))
        assert acceptor.link.close_reason == 'frame too long'

    def test_link_closes_if_the_peer_does_not_read(self) -> None:
        dialer, _ = make_pair()
        dialer.link.pauseProducing()
        dialer.clock.advance(STALL_TIMEOUT)
        assert dialer.link.close_reason == 'peer does not read'

    def test_link_stays_open_if_the_peer_reads_in_time(self) -> None:
        dialer, _ = make_pair()
        dialer.link.pauseProducing()
        dialer.clock.advance(STALL_TIMEOUT / 2)
        dialer.link.resumeProducing()
        dialer.clock.advance(STALL_TIMEOUT)
        assert not dialer.link.close_reason

    def test_connection_over_the_limit_is_refused(self) -> None:
        _, acceptor = make_pair()
        assert acceptor.factory.buildProtocol(None) is None

    def test_message_for_several_links_is_encoded_once(self) -> None:
        dialer, acceptor = make_pair()
        context = dialer.link.context
        assert context.encode(MESSAGE) is context.encode(MESSAGE)
        assert CODEC.decode(context.encode(MESSAGE)) == MESSAGE
        assert dialer.link.send(MESSAGE)
        acceptor.link.dataReceived(dialer.pop_written())
        assert acceptor.recorder.messages == [MESSAGE]


class AcceptingEnd:
    """Accepts connections of peers that send nothing."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.recorder = Recorder()
        self.context = LinkContext(
            CREDENTIALS, CODEC, self.recorder, self.clock
        )
        self.factory = AcceptingFactory(self.context)

    def accept(self) -> Any:
        """Return the link of a new connection, None if it is refused."""
        link: Any = self.factory.buildProtocol(None)
        make_transport: Any = FakeTransport
        if link is not None:
            link.makeConnection(make_transport())
        return link


class TestSilentPeers:
    def test_they_leave_their_places_to_newcomers(self) -> None:
        """A crowd of 1,500 peers that never say who they are."""
        end = AcceptingEnd()
        links = [end.accept() for _ in range(1500)]
        kept = [link for link in links if not link.close_reason]
        assert kept == links[-MAX_HANDSHAKES:]
        left = links[:-MAX_HANDSHAKES]
        assert all(link.transport.disconnected for link in left)

    def test_linked_peers_keep_their_places(self) -> None:
        end = AcceptingEnd()
        linked = end.accept()
        linked.complete_handshake()
        for _ in range(MAX_HANDSHAKES + 1):
            end.accept()
        assert not linked.close_reason
        assert len(end.context.handshakes) == MAX_HANDSHAKES

    def test_closed_links_take_no_place(self) -> None:
        end = AcceptingEnd()
        link = end.accept()
        link.dataReceived(struct.pack('>I', MAX_MESSAGE_BYTES))
        assert not end.context.handshakes

    def test_one_line_a_second_is_logged(self) -> None:
        end = AcceptingEnd()
        for _ in range(MAX_HANDSHAKES + 5):
            end.accept()
        assert end.context.lines.unlogged == {'handshakes': 4}
