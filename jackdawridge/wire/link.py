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
from jackdawridge.wire.handshake import MAX_FRAME_BYTES, Acceptor, Dialer

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress

    from jackdawridge.util.clock import Clock
    from jackdawridge.wire.codec import Codec
    from jackdawridge.wire.handshake import Identity

logger = get_logger('wire')

_LENGTH = struct.Struct('>I')

#: Longest message between processes, in bytes.
MAX_MESSAGE_BYTES = 4194304
#: Time for the whole handshake, in seconds.
HANDSHAKE_TIMEOUT = 5.0
#: A link whose peer does not read is closed after this time, in seconds.
STALL_TIMEOUT = 10.0
#: Time for written bytes to leave before a link is closed, in seconds.
FINISH_TIMEOUT = 2.0
#: Reason that Twisted gives for an orderly end.
CONNECTION_DONE = Failure(ConnectionDone())


class LinkHandler(Protocol):
    """Receives what happens on links."""

    def link_opened(self, link: Link) -> None:
        """Take note of a link whose handshake is complete."""

    def message_received(self, link: Link, message: Any) -> None:
        """Act on a message."""

    def link_closed(self, link: Link, reason: str) -> None:
        """Take note of the end of a link that had been opened."""


@implementer(IPushProducer)
class Link(Int32StringReceiver):
    """One authenticated connection to a peer.

    The link is its own producer: the transport tells it when the peer reads
    too slowly, and a link that stays stalled is closed.
    """

    #: Typed loosely because Twisted's transports share no full interface.
    transport: Any

    def __init__(
        self,
        context: LinkContext,
        handshake: Acceptor | Dialer,
    ) -> None:
        """Prepare a link.

        :param context: what the links of one process share.
        :param handshake: this end's part of the handshake.
        """
        self.MAX_LENGTH = MAX_FRAME_BYTES  # noqa: WPS601
        self.context = context
        self.handshake = handshake
        #: Whether the handshake is complete.
        self.is_open = False
        #: Address of the other end, for logs and errors.
        self.peer = ''
        #: Why this end has closed the link, or an empty string.
        self.close_reason = ''
        #: Bytes sent and received in messages.
        self.bytes_sent = 0
        self.bytes_received = 0
        self.answered = False
        #: Frames that are held back by the delay of the settings.
        self.held: deque[tuple[bytes, bytes]] = deque()
        #: Fires when the handshake is complete; never if it fails.
        self.opened: Deferred[None] = Deferred()
        #: Fires when the connection has ended.
        self.ended: Deferred[None] = Deferred()
        self.timer: Any = None

    def is_dialled(self) -> bool:
        """Return whether this end has opened the connection."""
        return isinstance(self.handshake, Dialer)

    def connectionMade(self) -> None:
        """Start the handshake."""
        self.peer = str(self.transport.getPeer())
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.arm_timer(HANDSHAKE_TIMEOUT, 'handshake timed out')
        if isinstance(self.handshake, Acceptor):
            self.write_frame(self.handshake.opening())

    def stringReceived(self, string: bytes) -> None:
        """Take a frame.

        :param string: the frame.
        """
        try:
            self.receive(string)
        except WireError as wire_error:
            logger.warning(
                str(wire_error), step=wire_error.step, peer=self.peer
            )
            self.close(wire_error.message)

    def receive(self, frame: bytes) -> None:
        """Act on a frame by the state of the link.

        :param frame: part of the handshake or a message.
        :raises WireError: if the frame is not valid.
        """
        if self.is_open:
            self.bytes_received += len(frame)
            message = self.context.codec.decode(frame, self.peer)
            self.context.handler.message_received(self, message)
        elif isinstance(self.handshake, Acceptor):
            self.write_frame(self.handshake.receive(frame, self.peer))
            self.open()
        elif self.answered:
            self.handshake.finish(frame, self.peer)
            self.open()
        else:
            self.write_frame(self.handshake.answer(frame, self.peer))
            self.answered = True

    def open(self) -> None:
        """Switch from the handshake to messages."""
        self.clear_timer()
        self.MAX_LENGTH = MAX_MESSAGE_BYTES
        self.is_open = True
        self.opened.callback(None)
        self.context.handler.link_opened(self)

    def write_frame(self, frame: bytes) -> None:
        """Send one frame with its length before it.

        :param frame: part of the handshake or a message.
        """
        packed = (_LENGTH.pack(len(frame)), frame)
        if not self.context.delay:
            self.transport.writeSequence(packed)
            return
        self.held.append(packed)
        self.context.clock.callLater(self.context.delay, self.write_held)

    def write_held(self) -> None:
        """Send the frame that was held back longest."""
        packed = self.held.popleft()
        if not self.close_reason:
            self.transport.writeSequence(packed)

    def send(self, message: Any) -> bool:
        """Send a message and return whether the link could take it.

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
        """Close the link at once.

        :param reason: kept for the log and the handler.
        """
        if not self.close_reason:
            self.close_reason = reason
            self.transport.abortConnection()

    def finish(self, reason: str) -> None:
        """Close the link once everything written has left the process.

        :param reason: kept for the log and the handler.
        """
        if not self.close_reason:
            self.close_reason = reason
            self.clear_timer()
            self.timer = self.context.clock.callLater(
                FINISH_TIMEOUT, self.transport.abortConnection
            )
            self.transport.loseConnection()

    def lengthLimitExceeded(self, length: int) -> None:
        """Close a link whose peer announces too long a frame.

        :param length: the announced length in bytes.
        """
        logger.warning(
            f'frame of {length} bytes is over {self.MAX_LENGTH}',
            step='receive',
            peer=self.peer,
        )
        self.close('frame too long')

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """Report the end of the link.

        :param reason: Twisted's reason.
        """
        self.clear_timer()
        was_open = self.is_open
        self.is_open = False
        self.context.forget(self)
        text = self.close_reason or reason.getErrorMessage()
        self.close_reason = text
        if was_open:
            self.context.handler.link_closed(self, text)
        self.ended.callback(None)

    def pauseProducing(self) -> None:
        """Start the timer of a stalled peer."""
        self.arm_timer(STALL_TIMEOUT, 'peer does not read')

    def resumeProducing(self) -> None:
        """Stop the timer of a stalled peer."""
        if self.is_open:
            self.clear_timer()

    def stopProducing(self) -> None:
        """Do nothing: the transport is being closed."""

    def arm_timer(self, delay: float, reason: str) -> None:
        """Close the link unless the timer is cleared in time.

        :param delay: in seconds.
        :param reason: why the link would be closed.
        """
        self.clear_timer()
        self.timer = self.context.clock.callLater(delay, self.close, reason)

    def clear_timer(self) -> None:
        """Stop the timer, if any."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None


class LinkContext:
    """What the links of one process share.

    :param identity: deployment and key.
    :param codec: knows the messages.
    :param handler: receives the events of all links.
    :param clock: the reactor.
    :param limit: most links that are accepted at a time.
    """

    def __init__(
        self,
        identity: Identity,
        codec: Codec,
        handler: LinkHandler,
        clock: Clock,
        limit: int = 2048,
    ) -> None:
        """Keep the parts."""
        self.identity = identity
        self.codec = codec
        self.handler = handler
        self.clock = clock
        self.limit = limit
        #: Time for which each frame is held back, in seconds.
        self.delay: float = 0
        #: Messages sent, by the name of their type.
        self.sent: Counter[str] = Counter()
        #: All links, open or in their handshake.
        self.links: set[Link] = set()
        #: The message that was encoded last, and its frame.
        self.encoded: tuple[object, bytes] = (None, b'')

    def encode(self, message: Any) -> bytes:
        """Return the frame of a message, made once for several links.

        :param message: an instance of a registered message type.
        """
        if self.encoded[0] is not message:
            self.encoded = (message, self.codec.encode(message))
        return self.encoded[1]

    def forget(self, link: Link) -> None:
        """Drop a link that has ended.

        :param link: the link.
        """
        self.links.discard(link)


class AcceptingFactory(Factory):
    """Makes links for connections that peers open.

    :param context: what the links share.
    """

    noisy = False

    def __init__(self, context: LinkContext) -> None:
        """Keep the context."""
        self.context = context

    def buildProtocol(self, addr: IAddress | None) -> Link | None:
        """Return a link, or None to refuse a connection over the limit.

        :param addr: the peer's address.
        """
        if len(self.context.links) >= self.context.limit:
            logger.warning('too many links', step='accept', peer=str(addr))
            return None
        return _add(self.context, Acceptor(self.context.identity))


class DialingFactory(Factory):
    """Makes links for connections that this process opens.

    :param context: what the links share.
    """

    noisy = False

    def __init__(self, context: LinkContext) -> None:
        """Keep the context."""
        self.context = context

    def buildProtocol(self, addr: IAddress | None) -> Link:
        """Return a link.

        :param addr: the peer's address.
        """
        return _add(self.context, Dialer(self.context.identity))


def _add(context: LinkContext, handshake: Acceptor | Dialer) -> Link:
    """Make a link and keep it in its context."""
    link = Link(context, handshake)
    context.links.add(link)
    return link
