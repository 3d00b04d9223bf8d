"""Peers of a process and the links to them."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from twisted.internet.endpoints import (
    TCP4ClientEndpoint,
)

from jackdawridge.logs import get_logger
from jackdawridge.membership.messages import Introduction
from jackdawridge.wire.backoff import Backoff
from jackdawridge.wire.link import AcceptingFactory, DialingFactory, LinkContext

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.application import Application
    from jackdawridge.wire.handshake import Credentials
    from jackdawridge.wire.link import Link

logger = get_logger('peers')


class Peer:
    """A process at the other end of a link, known by its introduction.

    :param link: link to the process.
    :param introduction: introduction that the process has sent.
    """

    def __init__(self, link: Link, introduction: Introduction) -> None:
        """Create a peer of an introduced link."""
        self.link = link
        self.introduction = introduction
        #: Node of the peer.
        self.name = introduction.node
        #: Node and incarnation of the peer.
        self.identity = (introduction.node, introduction.incarnation)

    def send(self, message: Any) -> bool:
        """Send a message.

        Returns False if the link is not open or is being closed.

        :param message: an instance of a registered message type.
        """
        return self.link.send(message)


class Peers:
    """The linked peers of one process.

    Emits `peer_joined` and `peer_left`, each with the `Peer`. At most one
    link to a peer is kept. The end that has dialled introduces itself second,
    and closes the new link if it is already linked to that peer. The end that
    has accepted replaces an older link, which may be dead without its having
    noticed. If both ends have dialled each other, the link dialled by the
    lower of the two nodes is kept.

    :param application: the process.
    :param credentials: deployment and key that peers must share.
    :param introduction: introduction that this process sends to its peers.
    """

    def __init__(
        self,
        application: Application,
        credentials: Credentials,
        introduction: Introduction,
    ) -> None:
        """Create a set of peers without links."""
        self.application = application
        self.introduction = introduction
        self.context = LinkContext(
            credentials, application.codec, self, application.clock
        )
        #: Peers by link.
        self.by_link: dict[Link, Peer] = {}
        #: Peers by node and incarnation.
        self.by_identity: dict[tuple[str, str], Peer] = {}

    def link_opened(self, link: Link) -> None:
        """Send the introduction of this process if the peer has dialled.

        :param link: link whose handshake is complete.
        """
        if not link.is_dialled():
            link.send(self.introduction)

    def message_received(self, link: Link, message: Any) -> None:
        """Handle an introduction or dispatch a message to the application.

        A link whose first message is not an introduction is closed.

        :param link: link that has received the message.
        :param message: an instance of a registered message type.
        """
        peer = self.by_link.get(link)
        if isinstance(message, Introduction):
            self.handle_introduction(link, message)
        elif peer is None:
            link.close('peer sent a message before its introduction')
        else:
            self.application.dispatch(peer, message)

    def handle_introduction(
        self, link: Link, introduction: Introduction
    ) -> None:
        """Add the peer of a link, unless the link is redundant.

        An older link to the same peer is closed.

        :param link: link that has received the introduction.
        :param introduction: introduction of the peer.
        """
        if link in self.by_link:
            link.close('peer sent a second introduction')
            return
        peer = Peer(link, introduction)
        older = self.by_identity.get(peer.identity)
        if self.is_redundant(peer, older):
            link.close('this process already has a link to the peer')
            return
        if link.is_dialled():
            link.send(self.introduction)
        if older is not None:
            self.remove(older)
            older.link.close('replaced by a newer link')
        self.by_link[link] = peer
        self.by_identity[peer.identity] = peer
        logger.info('link opened', peer=peer.name)
        self.application.events.emit('peer_joined', peer)

    def update_introduction(self, introduction: Introduction) -> None:
        """Replace the introduction of this process.

        All links are closed if it differs: peers accept an introduction only
        as the first message of a link.

        :param introduction: new introduction of this process.
        """
        if introduction == self.introduction:
            return
        self.introduction = introduction
        for link in tuple(self.by_link):
            link.close('introduction has changed')

    def is_redundant(self, peer: Peer, older: Peer | None) -> bool:
        """Return whether a new link duplicates one that is kept.

        A link of this process to itself is redundant too.

        :param peer: the peer with the new link.
        :param older: the same peer with its older link, or None.
        """
        if peer.introduction.incarnation == self.introduction.incarnation:
            return True
        if older is None:
            return False
        if peer.link.is_dialled():
            return True
        return older.link.is_dialled() and self.introduction.node < peer.name

    def link_closed(self, link: Link, reason: str) -> None:
        """Remove the peer of a link.

        :param link: link that has ended.
        :param reason: why the link has ended, for the log.
        """
        peer = self.by_link.get(link)
        if peer is not None:
            logger.info('link closed', peer=peer.name, reason=reason)
            self.remove(peer)

    def remove(self, peer: Peer) -> None:
        """Remove a peer and emit `peer_left`.

        :param peer: peer to remove.
        """
        self.by_link.pop(peer.link, None)
        if self.by_identity.get(peer.identity) is peer:
            self.by_identity.pop(peer.identity)
        self.application.events.emit('peer_left', peer)

    def of_role(self, role: str) -> list[Peer]:
        """Return the linked peers of a role.

        :param role: `entry` or `side`.
        """
        return [
            peer
            for peer in self.by_link.values()
            if peer.introduction.role == role
        ]


class Listener:
    """Component that accepts links.

    :param reactor: Twisted's reactor.
    :param peers: peers to which accepted links are added.
    :param address: `ip:port` to listen on.
    """

    def __init__(self, reactor: Any, peers: Peers, address: str) -> None:
        """Create a listener without opening its port."""
        self.reactor = reactor
        self.peers = peers
        self.address = address
        self.port: Any = None

    def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(':')
        factory = AcceptingFactory(self.peers.context)
        self.port = self.reactor.listenTCP(int(port), factory, interface=host)

    def stop(self) -> Any:
        """Stop listening and close all links gracefully."""
        for link in tuple(self.peers.context.links):
            link.close_gracefully('process stops')
        return self.port.stopListening()


class Connector:
    """Component that keeps a link to each of a changing set of addresses.

    :param reactor: Twisted's reactor.
    :param peers: peers to which dialled links are added.
    :param seed: seed of the jitter between attempts.
    """

    def __init__(self, reactor: Any, peers: Peers, seed: str = '') -> None:
        """Create a connector without addresses."""
        self.reactor = reactor
        self.peers = peers
        self.random = random.Random(seed)
        #: Redialers by the address that they dial.
        self.redialers: dict[str, Redialer] = {}

    def start(self) -> None:
        """Implement a component; addresses are dialled as they are set."""

    def set_addresses(self, addresses: Iterable[str]) -> None:
        """Replace the set of addresses to dial.

        Links to addresses that are no longer in the set are closed.

        :param addresses: addresses of the form `ip:port`.
        """
        wanted = set(addresses)
        for address in set(self.redialers) - wanted:
            self.redialers.pop(address).stop()
        for address in wanted - set(self.redialers):
            redialer = Redialer(self, address)
            self.redialers[address] = redialer
            redialer.dial()

    def stop(self) -> None:
        """Close all dialled links and stop dialling."""
        self.set_addresses(())


class Redialer:
    """Dials an address and dials it again whenever the link ends.

    :param connector: connector that owns the redialer.
    :param address: `ip:port` to dial.
    """

    def __init__(self, connector: Connector, address: str) -> None:
        """Create a redialer without dialling."""
        self.connector = connector
        self.address = address
        self.backoff = Backoff()
        self.is_stopped = False
        #: The link, from the connection on; None between attempts.
        self.link: Link | None = None
        #: Timer of the next attempt; None before the first failure.
        self.timer: Any = None

    def dial(self) -> None:
        """Attempt to connect once."""
        host, _, port = self.address.rpartition(':')
        reactor = self.connector.reactor
        timeout = self.backoff.connect_timeout(reactor.seconds())
        endpoint = TCP4ClientEndpoint(reactor, host, int(port), timeout)
        factory: Any = DialingFactory(self.connector.peers.context)
        attempt = endpoint.connect(factory)
        attempt.addCallbacks(self.handle_connected, self.schedule_redial)

    def handle_connected(self, link: Any) -> None:
        """Watch a new link, or close it if the redialer has been stopped.

        :param link: link whose handshake is about to begin.
        """
        self.link = link
        link.ended.addCallback(self.schedule_redial)
        link.opened.addCallback(self.handle_opened)
        if self.is_stopped:
            link.close('address is no longer dialled')

    def handle_opened(self, _: object) -> None:
        """Record in the backoff that the handshake has completed."""
        self.backoff.link_opened(self.connector.reactor.seconds())

    def schedule_redial(self, reason: object) -> None:
        """Dial again after the backoff delay, with jitter.

        :param reason: why the attempt failed or the link ended; unused.
        """
        self.link = None
        if self.is_stopped:
            return
        max_delay = self.backoff.next_delay(self.connector.reactor.seconds())
        delay = self.connector.random.uniform(max_delay / 2, max_delay)
        self.timer = self.connector.reactor.callLater(delay, self.dial)

    def stop(self) -> None:
        """Close the link and stop dialling."""
        self.is_stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.link is not None:
            self.link.close_gracefully('address is no longer dialled')
