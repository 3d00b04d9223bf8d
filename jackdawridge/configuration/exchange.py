"""The exchange of states, changes and holds with peers, at every process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from jackdawridge.configuration.holds import Hold
from jackdawridge.configuration.messages import (
    ConfigurationApplied,
    ConfigurationRequest,
    ConfigurationSnapshot,
    ConfigurationUpdate,
    HeldDomain,
    HoldUpdate,
)
from jackdawridge.configuration.records import (
    RawRecord,
)
from jackdawridge.configuration.snapshot import SnapshotError, pack, unpack
from jackdawridge.configuration.state import State, fold_all
from jackdawridge.configuration.tail import Tail
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.application import Application
    from jackdawridge.configuration.configuration import Configuration
    from jackdawridge.wire.peers import Peer

logger = get_logger('configuration')


class Source(Protocol):
    """Where the exchange puts states to."""

    def adopt(self, state: State) -> None:
        """Take a state that may be newer than the current one."""


class Exchange:
    """Keeps peers and this process at the same position.

    A peer that has asked once gets each later change at once. Messages of a
    link keep their order, so an entry's later word on freshness reaches a
    side after all that the entry knew when it gave it.

    :param application: the process.
    :param configuration: what is in force here.
    :param source: takes the states of peers.
    """

    def __init__(
        self,
        application: Application,
        configuration: Configuration,
        source: Source,
    ) -> None:
        """Listen to messages and peers."""
        self.clock = application.clock
        self.configuration = configuration
        self.source = source
        self.is_side = application.settings.role == 'side'
        self.tail = Tail()
        #: Position of each peer, None until it has asked.
        self.peers: dict[Peer, int | None] = {}
        #: Sides that know more than this entry, with their positions.
        self.ahead: dict[Peer, int] = {}
        self.packed = ConfigurationSnapshot(-1, b'')
        application.on_message(ConfigurationRequest, self.requested)
        application.on_message(ConfigurationUpdate, self.updated)
        application.on_message(ConfigurationSnapshot, self.restored)
        application.on_message(HoldUpdate, self.hold_updated)
        application.events.connect('peer_joined', self.peer_joined)
        application.events.connect('peer_left', self.peer_left)

    def peer_joined(self, peer: Peer) -> None:
        """Tell a new peer the holds and ask it for what is newer.

        :param peer: at the other end of a new link.
        """
        self.peers[peer] = None
        held = self.held()
        if held:
            peer.send(HoldUpdate(held, ()))
        if self.is_side:
            peer.send(ConfigurationApplied(self.configuration.position))
        if self.is_side or peer.introduction.role == 'entry':
            peer.send(ConfigurationRequest(self.configuration.position))

    def peer_left(self, peer: Peer) -> None:
        """Forget a peer.

        :param peer: whose link has ended.
        """
        self.peers.pop(peer, None)
        self.ahead.pop(peer, None)

    def held(self) -> tuple[HeldDomain, ...]:
        """Return the holds in the form of messages."""
        return tuple(
            HeldDomain(*hold) for hold in self.configuration.holds.held.values()
        )

    def requested(self, peer: Peer, request: ConfigurationRequest) -> None:
        """Bring a peer up to date, or ask it if it knows more.

        :param peer: that asks.
        :param request: with its position.
        """
        if peer not in self.peers:
            return
        self.peers[peer] = min(request.position, self.configuration.position)
        if request.position <= self.configuration.position:
            self.bring_up(peer)
        elif peer.introduction.role == 'entry':
            peer.send(ConfigurationRequest(self.configuration.position))
        else:
            self.ahead[peer] = request.position

    def ask_sides(self) -> None:
        """Ask a side that knows more for its state.

        For an entry that has started in an outage of the log and has found
        no entry with a state.
        """
        own = self.configuration.position
        for peer, position in tuple(self.ahead.items()):
            self.ahead.pop(peer)
            if position > own:
                peer.send(ConfigurationRequest(own))
                return

    def push(self) -> None:
        """Bring all peers that have asked up to date; only entries do."""
        if self.is_side:
            return
        for peer, position in tuple(self.peers.items()):
            if position is not None:
                self.bring_up(peer)

    def bring_up(self, peer: Peer) -> None:
        """Send a peer what it lacks, as changes or as a whole state.

        :param peer: that has asked.
        """
        after = self.peers[peer]
        position = self.configuration.position
        if after is None or after >= position:
            return
        self.peers[peer] = position
        peer.send(self.tail.update(after, position) or self.snapshot())

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the whole state; it is packed once for each position."""
        position = self.configuration.position
        if self.packed.position != position:
            self.packed = ConfigurationSnapshot(
                position, pack(self.configuration.state)
            )
        return self.packed

    def updated(self, peer: Peer, update: ConfigurationUpdate) -> None:
        """Take changes from a peer.

        :param peer: that sent them.
        :param update: the changes after a position.
        """
        state = self.configuration.state
        if update.after > state.position:
            peer.send(ConfigurationRequest(state.position))
            return
        records = [RawRecord(*record) for record in update.records]
        self.tail.extend(update.after, update.position, records)
        state = fold_all(state, records)
        if update.position > state.position:
            state = state._replace(position=update.position)
        self.take(peer, state)

    def restored(self, peer: Peer, snapshot: ConfigurationSnapshot) -> None:
        """Take a whole state from a peer.

        :param peer: that sent it.
        :param snapshot: the state.
        """
        if snapshot.position <= self.configuration.position:
            self.acknowledge(peer)
            return
        try:
            state = unpack(snapshot.state)
        except SnapshotError as error:
            logger.warning(error.message, step='take snapshot', peer=peer.name)
            return
        self.take(peer, state)

    def take(self, peer: Peer, state: State) -> None:
        """Put a peer's state in force if it is newer, and acknowledge.

        :param peer: that sent it.
        :param state: folded from the same log.
        """
        known = self.peers.get(peer)
        if known is not None:
            self.peers[peer] = max(known, state.position)
        if state.position > self.configuration.position:
            self.source.adopt(state)
        self.acknowledge(peer)

    def acknowledge(self, peer: Peer) -> None:
        """Tell an entry what is in force at this side.

        :param peer: an entry that sent a state.
        """
        if self.is_side:
            peer.send(ConfigurationApplied(self.configuration.position))

    def announce(self, hold: Hold) -> None:
        """Keep a failure domain without starts here and at all peers.

        :param hold: of a change that is about to be appended.
        """
        self.add_holds((hold,))
        message = HoldUpdate((HeldDomain(*hold),), ())
        for peer in self.peers:
            if peer.introduction.role == 'entry':
                peer.send(message)

    def add_holds(
        self, holds: Iterable[Hold], source: Peer | None = None
    ) -> None:
        """Take holds and pass on the new ones.

        :param holds: announced here or by a peer.
        :param source: the peer, None for this process.
        """
        known = self.configuration.state.verdicts
        waiting = [hold for hold in holds if hold.change_id not in known]
        new = self.configuration.holds.add(waiting, self.clock.seconds())
        if not new:
            return
        message = HoldUpdate(tuple(HeldDomain(*hold) for hold in new), ())
        self.send_all(message, source)
        self.configuration.changed(self.configuration.position)

    def hold_updated(self, peer: Peer, update: HoldUpdate) -> None:
        """Take holds and releases from a peer.

        :param peer: that sent them.
        :param update: what it holds and has released.
        """
        self.add_holds((Hold(*held) for held in update.held), peer)
        self.passed_on(self.configuration.holds.release(update.released), peer)

    def passed_on(
        self, released: tuple[str, ...], source: Peer | None = None
    ) -> None:
        """Pass on what was released here.

        :param released: change ids that were held here until now.
        :param source: the peer that said so, None for this process.
        """
        if not released:
            return
        logger.info('holds released', step='release', changes=list(released))
        self.send_all(HoldUpdate((), released), source)
        self.configuration.changed(self.configuration.position)

    def send_all(self, message: HoldUpdate, source: Peer | None) -> None:
        """Send a message to all peers but one.

        :param message: the message.
        :param source: the peer that is left out.
        """
        for peer in tuple(self.peers):
            if peer is not source:
                peer.send(message)
