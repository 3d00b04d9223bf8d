"""Known peers and the links to them."""

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
    from jackdawridge.wire.handshake import Identity
    from jackdawridge.wire.link import Link

logger = get_logger('peers')

#: Time for a connection to be established, in seconds.
CONNECT_TIMEOUT = 3


class Peer:
    """A process at the other end of a link that has introduced itself.

    :param link: the link.
    :param introduction: what the peer says about itself.
    """

    def __init__(self, link: Link, introduction: Introduction) -> None:
        """Keep both."""
        self.link = link
        self.introduction = introduction
        self.name = introduction.node
        self.identity = (introduction.node, introduction.incarnation)

    def send(self, message: Any) -> bool:
        """Send a message and return whether the link could take it.

        :param message: an instance of a registered message type.
        """
        return self.link.send(message)


class Peers:
    """All links of one process, with the peers behind them.

    Emits `peer_joined` and `peer_left`, each with the `Peer`. A peer never
    has two links. The end that dialled introduces itself second, and closes
    the new link if it already has one to that peer. The end that accepted
    replaces an older link, which may be dead without its knowledge, except
    where both have dialled each other: then the link stays that the lower
    of the two nodes has dialled.

    :param application: the process.
    :param identity: what all processes of the deployment share.
    :param introduction: what this process says about itself.
    """

    def __init__(
        self,
        application: Application,
        identity: Identity,
        introduction: Introduction,
    ) -> None:
        """Prepare without listening or dialling."""
        self.application = application
        self.introduction = introduction
        self.context = LinkContext(
            identity, application.codec, self, application.clock
        )
        #: Peers by link.
        self.by_link: dict[Link, Peer] = {}
        #: Peers by node and incarnation.
        self.by_identity: dict[tuple[str, str], Peer] = {}

    def link_opened(self, link: Link) -> None:
        """Introduce this process, if the peer has dialled.

        :param link: whose handshake is complete.
        """
        if not link.is_dialled():
            link.send(self.introduction)

    def message_received(self, link: Link, message: Any) -> None:
        """Hand a message to the application, or take an introduction.

        :param link: where it came from.
        :param message: any registered message.
        """
        peer = self.by_link.get(link)
        if isinstance(message, Introduction):
            self.introduce(link, message)
        elif peer is None:
            link.close('message before the introduction')
        else:
            self.application.dispatch(peer, message)

    def introduce(self, link: Link, introduction: Introduction) -> None:
        """Make a peer of a link, which replaces an older link to the same.

        :param link: where the introduction came from.
        :param introduction: what the peer says about itself.
        """
        if link in self.by_link:
            link.close('second introduction')
            return
        peer = Peer(link, introduction)
        older = self.by_identity.get(peer.identity)
        if self.is_redundant(peer, older):
            link.close('already linked')
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

    def introduce_again(self, introduction: Introduction) -> None:
        """Tell all peers something else about this process from now on.

        Peers take an introduction only at the beginning of a link.

        :param introduction: that replaces the one before.
        """
        if introduction == self.introduction:
            return
        self.introduction = introduction
        for link in tuple(self.by_link):
            link.close('introduction has changed')

    def is_redundant(self, peer: Peer, older: Peer | None) -> bool:
        """Return whether the new link to a peer is not needed.

        :param peer: the peer behind the new link.
        :param older: the same peer behind an older link, if any.
        """
        if peer.introduction.incarnation == self.introduction.incarnation:
            return True
        if older is None:
            return False
        if peer.link.is_dialled():
            return True
        return older.link.is_dialled() and self.introduction.node < peer.name

    def link_closed(self, link: Link, reason: str) -> None:
        """Forget the peer of a link.

        :param link: the link that has ended.
        :param reason: for the log.
        """
        peer = self.by_link.get(link)
        if peer is not None:
            logger.info('link closed', peer=peer.name, reason=reason)
            self.remove(peer)

    def remove(self, peer: Peer) -> None:
        """Forget a peer and say so.

        :param peer: a peer of this process.
        """
        self.by_link.pop(peer.link, None)
        if self.by_identity.get(peer.identity) is peer:
            self.by_identity.pop(peer.identity)
        self.application.events.emit('peer_left', peer)

    def of_role(self, role: str) -> list[Peer]:
        """Return the peers of a role.

        :param role: `entry` or `side`.
        """
        return [
            peer
            for peer in self.by_link.values()
            if peer.introduction.role == role
        ]


class Listener:
    """Accepts links; a component.

    :param reactor: Twisted's reactor.
    :param peers: gets the links.
    :param address: `ip:port` to listen on.
    """

    def __init__(self, reactor: Any, peers: Peers, address: str) -> None:
        """Keep the parts."""
        self.reactor = reactor
        self.peers = peers
        self.address = address
        self.port: Any = None

    def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(':')
        factory = AcceptingFactory(self.peers.context)
        self.port = self.reactor.listenTCP(int(port), factory, interface=host)

    def stop(self) -> Any:
        """Stop listening and close all links."""
        for link in tuple(self.peers.context.links):
            link.finish('process stops')
        return self.port.stopListening()


class Connector:
    """Keeps one link to each of a changing set of addresses; a component.

    :param reactor: Twisted's reactor.
    :param peers: gets the links.
    :param seed: of the jitter between attempts.
    """

    def __init__(self, reactor: Any, peers: Peers, seed: str = '') -> None:
        """Start without targets."""
        self.reactor = reactor
        self.peers = peers
        self.random = random.Random(seed)
        self.targets: dict[str, Dialing] = {}

    def start(self) -> None:
        """Do nothing until there are targets."""

    def aim(self, addresses: Iterable[str]) -> None:
        """Replace the set of addresses.

        Links to addresses that are no longer in the set are closed.

        :param addresses: of the form `ip:port`.
        """
        wanted = set(addresses)
        for address in set(self.targets) - wanted:
            self.targets.pop(address).stop()
        for address in wanted - set(self.targets):
            dialing = Dialing(self, address)
            self.targets[address] = dialing
            dialing.dial()

    def stop(self) -> None:
        """Close all links and dial no more."""
        self.aim(())


class Dialing:
    """Opens the link to one address again whenever it ends.

    :param connector: whose target this is.
    :param address: `ip:port`.
    """

    def __init__(self, connector: Connector, address: str) -> None:
        """Prepare the first attempt."""
        self.connector = connector
        self.address = address
        self.backoff = Backoff()
        self.stopped = False
        self.link: Link | None = None
        self.timer: Any = None

    def dial(self) -> None:
        """Try to connect once."""
        host, _, port = self.address.rpartition(':')
        endpoint = TCP4ClientEndpoint(
            self.connector.reactor, host, int(port), timeout=CONNECT_TIMEOUT
        )
        factory: Any = DialingFactory(self.connector.peers.context)
        attempt = endpoint.connect(factory)
        attempt.addCallbacks(self.connected, self.failed)

    def connected(self, link: Any) -> None:
        """Follow the link until it ends.

        :param link: whose handshake is about to begin.
        """
        self.link = link
        link.ended.addCallback(self.failed)
        link.opened.addCallback(self.note_opened)
        if self.stopped:
            link.close('address is no longer wanted')

    def note_opened(self, _: object) -> None:
        """Keep the time at which the handshake was complete."""
        self.backoff.link_opened(self.connector.reactor.seconds())

    def failed(self, reason: object) -> None:
        """Wait, with jitter, and try again.

        :param reason: why there is no link.
        """
        self.link = None
        if self.stopped:
            return
        longest = self.backoff.next_wait(self.connector.reactor.seconds())
        wait = self.connector.random.uniform(longest / 2, longest)
        self.timer = self.connector.reactor.callLater(wait, self.dial)

    def stop(self) -> None:
        """Close the link and dial no more."""
        self.stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.link is not None:
            self.link.finish('address is no longer wanted')
