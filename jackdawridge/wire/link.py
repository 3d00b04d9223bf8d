"""Links that carry messages between two processes of the system."""

from __future__ import annotations

import struct
from collections import Counter, deque
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from jackdawridge.errors import WireError
from jackdawridge.logs import get_logger
from jackdawridge.util.line_limit import LineLimit
from jackdawridge.wire.handshake import (
    MAX_HANDSHAKE_FRAME_BYTES,
    Acceptor,
    Dialer,
)

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress

    from jackdawridge.util.clock import Clock
    from jackdawridge.wire.codec import Codec
    from jackdawridge.wire.handshake import Credentials

logger = get_logger('wire')

_LENGTH_HEADER = struct.Struct('>I')

#: Maximum length of an encoded message, in bytes.
MAX_MESSAGE_BYTES = 4194304
#: Time limit for the whole handshake, in seconds.
HANDSHAKE_TIMEOUT = 5.0
#: Highest number of accepted connections whose handshake is not complete.
MAX_HANDSHAKES = 512
#: Time after which a link whose peer does not read is closed, in seconds.
STALL_TIMEOUT = 10.0
#: Time limit for sending buffered bytes in a graceful close, in seconds.
GRACEFUL_CLOSE_TIMEOUT = 2.0
#: Twisted's reason for a connection that was closed cleanly.
CONNECTION_DONE = Failure(ConnectionDone())


class LinkHandler(Protocol):
    """Handles the events of links."""

    def link_opened(self, link: Link) -> None:
        """Handle the completed handshake of a link."""

    def message_received(self, link: Link, message: Any) -> None:
        """Handle a message that a link has received."""

    def link_closed(self, link: Link, reason: str) -> None:
        """Handle the end of a link whose handshake was complete."""


@implementer(IPushProducer)
class Link(Int32StringReceiver):
    """An authenticated connection to a peer.

    The link registers itself as the producer of its transport, which pauses
    it when the peer reads too slowly. A link that stays paused for
    `STALL_TIMEOUT` is closed.
    """

    #: Typed loosely because Twisted's transports share no full interface.
    transport: Any

    def __init__(
        self,
        context: LinkContext,
        handshake: Acceptor | Dialer,
    ) -> None:
        """Create a link whose handshake has not begun.

        :param context: state shared by the links of one process.
        :param handshake: handshake of this end of the connection.
        """
        self.MAX_LENGTH = MAX_HANDSHAKE_FRAME_BYTES  # noqa: WPS601
        self.context = context
        self.handshake = handshake
        #: Whether the handshake is complete.
        self.is_open = False
        #: Address of the other end, for logs and errors.
        self.peer = ''
        #: Why the link was closed; empty while it is not being closed.
        self.close_reason = ''
        #: Total length of the messages sent and received, in bytes.
        self.bytes_sent = 0
        self.bytes_received = 0
        #: Whether a dialer has answered the challenge of the acceptor.
        self.challenge_answered = False
        #: Length headers and frames delayed by the setting `link_delay`.
        self.delayed_frames: deque[tuple[bytes, bytes]] = deque()
        #: Fires when the handshake is complete; never if it fails.
        self.opened: Deferred[None] = Deferred()
        #: Fires when the connection has ended.
        self.ended: Deferred[None] = Deferred()
        #: Closes the link unless it is stopped first; None if not running.
        self.timer: Any = None

    def is_dialled(self) -> bool:
        """Return whether this end has opened the connection."""
        return isinstance(self.handshake, Dialer)

    def connectionMade(self) -> None:
        """Start the handshake and its time limit."""
        self.peer = str(self.transport.getPeer())
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.start_timer(HANDSHAKE_TIMEOUT, 'handshake timed out')
        if isinstance(self.handshake, Acceptor):
            self.write_frame(self.handshake.challenge_frame())

    def stringReceived(self, string: bytes) -> None:
        """Handle a frame and close the link if the frame is invalid.

        :param string: the frame without its length.
        """
        try:
            self.handle_frame(string)
        except WireError as wire_error:
            self.context.warn(
                wire_error.step, str(wire_error), wire_error.step, self.peer
            )
            self.close(wire_error.message)

    def handle_frame(self, frame: bytes) -> None:
        """Pass a frame to the handshake or, once that is complete, the codec.

        :param frame: a handshake frame or an encoded message.
        :raises WireError: if the frame is invalid.
        """
        if self.is_open:
            self.bytes_received += len(frame)
            message = self.context.codec.decode(frame, self.peer)
            self.context.handler.message_received(self, message)
        elif isinstance(self.handshake, Acceptor):
            self.write_frame(self.handshake.verify_answer(frame, self.peer))
            self.complete_handshake()
        elif self.challenge_answered:
            self.handshake.verify_acceptor(frame, self.peer)
            self.complete_handshake()
        else:
            self.write_frame(self.handshake.answer_challenge(frame, self.peer))
            self.challenge_answered = True

    def complete_handshake(self) -> None:
        """Accept messages from now on and report the link as open."""
        self.stop_timer()
        self.MAX_LENGTH = MAX_MESSAGE_BYTES
        self.is_open = True
        self.context.handshakes.pop(self, None)
        self.opened.callback(None)
        self.context.handler.link_opened(self)

    def write_frame(self, frame: bytes) -> None:
        """Write a frame preceded by its length, after the configured delay.

        :param frame: a handshake frame or an encoded message.
        """
        framed = (_LENGTH_HEADER.pack(len(frame)), frame)
        if not self.context.frame_delay:
            self.transport.writeSequence(framed)
            return
        self.delayed_frames.append(framed)
        self.context.clock.callLater(
            self.context.frame_delay, self.write_delayed_frame
        )

    def write_delayed_frame(self) -> None:
        """Write the oldest delayed frame unless the link is being closed."""
        framed = self.delayed_frames.popleft()
        if not self.close_reason:
            self.transport.writeSequence(framed)

    def send(self, message: Any) -> bool:
        """Send a message.

        Returns False if the link is not open or is being closed.

        :param message: an instance of a registered message type.
        """
        if not self.is_open or self.close_reason:
            return False
        frame = self.context.encode(message)
        self.context.sent[type(message).__name__] += 1
        self.bytes_sent += len(frame)
        self.write_frame(frame)
        return True

    def close(self, reason: str) -> None:
        """Abort the connection, discarding bytes that were not sent yet.

        :param reason: reason passed to the handler, for its log.
        """
        if not self.close_reason:
            self.close_reason = reason
            self.context.handshakes.pop(self, None)
            self.transport.abortConnection()

    def close_gracefully(self, reason: str) -> None:
        """Close the link once all written bytes have been sent.

        The connection is aborted after `GRACEFUL_CLOSE_TIMEOUT`.

        :param reason: reason passed to the handler, for its log.
        """
        if not self.close_reason:
            self.close_reason = reason
            self.stop_timer()
            self.timer = self.context.clock.callLater(
                GRACEFUL_CLOSE_TIMEOUT, self.transport.abortConnection
            )
            self.transport.loseConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        """Close the link because the peer announces too long a frame.

        :param length: announced length in bytes.
        """
        self.context.warn(
            'frame too long',
            f'frame of {length} bytes exceeds the limit of {self.MAX_LENGTH}',
            'receive',
            self.peer,
        )
        self.close('frame too long')

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """Report the end of the connection to the handler.

        :param reason: reason given by Twisted.
        """
        self.stop_timer()
        was_open = self.is_open
        self.is_open = False
        self.context.remove_link(self)
        close_reason = self.close_reason or reason.getErrorMessage()
        self.close_reason = close_reason
        if was_open:
            self.context.handler.link_closed(self, close_reason)
        self.ended.callback(None)

    def pauseProducing(self) -> None:
        """Start the time limit of a peer that does not read."""
        self.start_timer(STALL_TIMEOUT, 'peer does not read')

    def resumeProducing(self) -> None:
        """Stop the time limit once the peer reads again."""
        if self.is_open:
            self.stop_timer()

    def stopProducing(self) -> None:
        """Implement `IPushProducer`; the transport closes the link itself."""

    def start_timer(self, delay: float, reason: str) -> None:
        """Close the link after a delay unless the timer is stopped first.

        :param delay: delay in seconds.
        :param reason: reason with which the link is closed.
        """
        self.stop_timer()
        self.timer = self.context.clock.callLater(delay, self.close, reason)

    def stop_timer(self) -> None:
        """Stop the timer if it is running."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None


class LinkContext:
    """State shared by the links of one process.

    :param credentials: deployment and key that peers must share.
    :param codec: codec of the message types that links carry.
    :param handler: handler of the events of all links.
    :param clock: the reactor.
    :param max_links: number of links from which connections are refused.
    """

    def __init__(
        self,
        credentials: Credentials,
        codec: Codec,
        handler: LinkHandler,
        clock: Clock,
        max_links: int = 2048,
    ) -> None:
        """Create a context without links."""
        self.credentials = credentials
        self.codec = codec
        self.handler = handler
        self.clock = clock
        self.max_links = max_links
        #: Delay before each frame is written, in seconds.
        self.frame_delay: float = 0
        #: Number of messages sent, by the name of their type.
        self.sent: Counter[str] = Counter()
        #: All links, open or in their handshake.
        self.links: set[Link] = set()
        #: Accepted links whose handshake is not complete, the oldest first.
        self.handshakes: dict[Link, None] = {}
        self.lines = LineLimit()
        #: The message encoded last, with its frame.
        self.last_encoded: tuple[object, bytes] = (None, b'')

    def encode(self, message: Any) -> bytes:
        """Return the frame of a message.

        The last frame is cached, so that a message sent over several links
        in a row is encoded once.

        :param message: an instance of a registered message type.
        """
        if self.last_encoded[0] is not message:
            self.last_encoded = (message, self.codec.encode(message))
        return self.last_encoded[1]

    def remove_link(self, link: Link) -> None:
        """Remove a link that has ended.

        :param link: link to remove.
        """
        self.links.discard(link)
        self.handshakes.pop(link, None)

    def accept_link(self) -> Link:
        """Return a new link for an accepted connection.

        Beyond `MAX_HANDSHAKES` it takes the place of the oldest link whose
        handshake is not complete: a peer needs a few round trips for it, and
        newcomers may be peers.
        """
        if len(self.handshakes) >= MAX_HANDSHAKES:
            oldest = next(iter(self.handshakes))
            self.warn(
                'handshakes',
                'connection closed: too many handshakes are not complete',
                'accept',
                oldest.peer,
            )
            oldest.close('handshake not complete, and its place was needed')
        link = _create_link(self, Acceptor(self.credentials))
        self.handshakes[link] = None
        return link

    def warn(self, kind: str, message: str, step: str, peer: str) -> None:
        """Log what a peer did wrong, once a second for each kind.

        :param kind: what the line is about, one of a few.
        :param message: text of the line.
        :param step: what the process was doing.
        :param peer: address of the peer.
        """
        count = self.lines.count(kind, self.clock.seconds())
        if count:
            logger.warning(message, step=step, peer=peer, count=count)


class AcceptingFactory(Factory):
    """Creates links for connections that peers open.

    :param context: state shared by the links.
    """

    noisy = False

    def __init__(self, context: LinkContext) -> None:
        """Create a factory for Twisted's listening port."""
        self.context = context

    def buildProtocol(self, addr: IAddress | None) -> Link | None:
        """Return a new link, or None to refuse a connection over the limit.

        :param addr: address of the peer.
        """
        if len(self.context.links) >= self.context.max_links:
            self.context.warn(
                'links',
                'connection refused: too many links are open',
                'accept',
                str(addr),
            )
            return None
        return self.context.accept_link()


class DialingFactory(Factory):
    """Creates links for connections that this process opens.

    :param context: state shared by the links.
    """

    noisy = False

    def __init__(self, context: LinkContext) -> None:
        """Create a factory for Twisted's client endpoint."""
        self.context = context

    def buildProtocol(self, addr: IAddress | None) -> Link:
        """Return a new link.

        :param addr: address of the peer.
        """
        return _create_link(self.context, Dialer(self.context.credentials))


def _create_link(context: LinkContext, handshake: Acceptor | Dialer) -> Link:
    """Create a link and add it to its context."""
    link = Link(context, handshake)
    context.links.add(link)
    return link
