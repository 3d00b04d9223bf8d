"""Exchange of states, changes and holds with peers, at entries and sides."""

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
from jackdawridge.configuration.recent_changes import RecentChanges
from jackdawridge.configuration.records import (
    RawRecord,
)
from jackdawridge.configuration.snapshot import SnapshotError, pack, unpack
from jackdawridge.configuration.state import State, fold_all
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.application import Application
    from jackdawridge.configuration.configuration import Configuration
    from jackdawridge.wire.peers import Peer

logger = get_logger('configuration')


class StateSink(Protocol):
    """Receives the states that peers send."""

    def adopt(self, state: State) -> None:
        """Adopt a state if it is newer than the current one."""


class ConfigurationExchange:
    """Brings peers and this process to the same position.

    An entry pushes each later change to a peer that has requested the state
    once. Messages on a link stay in order, so a side receives an entry's
    heartbeat reply, with the age of the configuration, only after all changes
    that the entry knew when it sent the reply.

    :param application: the process.
    :param configuration: the configuration in force at this process.
    :param sink: adopts the states received from peers.
    """

    def __init__(
        self,
        application: Application,
        configuration: Configuration,
        sink: StateSink,
    ) -> None:
        """Register the message handlers and event listeners."""
        self.clock = application.clock
        self.configuration = configuration
        self.sink = sink
        self.is_side = application.settings.role == 'side'
        self.recent_changes = RecentChanges()
        #: Position of each peer, None until it has requested the state.
        self.peer_positions: dict[Peer, int | None] = {}
        #: Positions of the sides that are ahead of this entry.
        self.sides_ahead: dict[Peer, int] = {}
        self.cached_snapshot = ConfigurationSnapshot(-1, b'')
        application.on_message(ConfigurationRequest, self.handle_request)
        application.on_message(ConfigurationUpdate, self.handle_update)
        application.on_message(ConfigurationSnapshot, self.handle_snapshot)
        application.on_message(HoldUpdate, self.handle_hold_update)
        application.events.connect('peer_joined', self.peer_joined)
        application.events.connect('peer_left', self.peer_left)

    def peer_joined(self, peer: Peer) -> None:
        """Send the holds to a new peer and request what is newer there.

        :param peer: the process at the other end of the new link.
        """
        self.peer_positions[peer] = None
        holds = self.hold_messages()
        if holds:
            peer.send(HoldUpdate(holds, ()))
        if self.is_side:
            peer.send(ConfigurationApplied(self.configuration.position))
        if self.is_side or peer.introduction.role == 'entry':
            peer.send(ConfigurationRequest(self.configuration.position))

    def peer_left(self, peer: Peer) -> None:
        """Drop the position of an unlinked peer.

        :param peer: the process whose link has closed.
        """
        self.peer_positions.pop(peer, None)
        self.sides_ahead.pop(peer, None)

    def hold_messages(self) -> tuple[HeldDomain, ...]:
        """Convert the active holds to their message type."""
        return tuple(
            HeldDomain(*hold)
            for hold in self.configuration.holds.active.values()
        )

    def handle_request(self, peer: Peer, request: ConfigurationRequest) -> None:
        """Send a peer what it lacks, or request its state if it is ahead.

        The position of a side that is ahead is only stored: an entry requests
        states from sides by `request_from_side`.

        :param peer: the requesting peer.
        :param request: holds the position of the peer.
        """
        if peer not in self.peer_positions:
            return
        self.peer_positions[peer] = min(
            request.position, self.configuration.position
        )
        if request.position <= self.configuration.position:
            self.send_missing(peer)
        elif peer.introduction.role == 'entry':
            peer.send(ConfigurationRequest(self.configuration.position))
        else:
            self.sides_ahead[peer] = request.position

    def request_from_side(self) -> None:
        """Request the state of one side that is ahead, if there is any.

        Needed by an entry that starts during an outage of the log and finds no
        entry that has a state.
        """
        own_position = self.configuration.position
        for peer, position in tuple(self.sides_ahead.items()):
            self.sides_ahead.pop(peer)
            if position > own_position:
                peer.send(ConfigurationRequest(own_position))
                return

    def push_to_peers(self) -> None:
        """Send all peers that have requested the state what they lack.

        Does nothing at a side.
        """
        if self.is_side:
            return
        for peer, position in tuple(self.peer_positions.items()):
            if position is not None:
                self.send_missing(peer)

    def send_missing(self, peer: Peer) -> None:
        """Send a peer what it lacks, as changes or as a snapshot.

        :param peer: a peer that has requested the state.
        """
        after = self.peer_positions[peer]
        position = self.configuration.position
        if after is None or after >= position:
            return
        self.peer_positions[peer] = position
        peer.send(
            self.recent_changes.make_update(after, position)
            or self.current_snapshot()
        )

    def current_snapshot(self) -> ConfigurationSnapshot:
        """Return the state in force; it is packed once for each position."""
        position = self.configuration.position
        if self.cached_snapshot.position != position:
            self.cached_snapshot = ConfigurationSnapshot(
                position, pack(self.configuration.state)
            )
        return self.cached_snapshot

    def handle_update(self, peer: Peer, update: ConfigurationUpdate) -> None:
        """Apply changes from a peer, or request those before them if missing.

        :param peer: the sender.
        :param update: the changes after a position.
        """
        state = self.configuration.state
        if update.after > state.position:
            peer.send(ConfigurationRequest(state.position))
            return
        records = [RawRecord(*record) for record in update.records]
        self.recent_changes.extend(update.after, update.position, records)
        state = fold_all(state, records)
        if update.position > state.position:
            state = state._replace(position=update.position)
        self.adopt_from_peer(peer, state)

    def handle_snapshot(
        self, peer: Peer, snapshot: ConfigurationSnapshot
    ) -> None:
        """Adopt the state in a peer's snapshot, unless it cannot be read.

        :param peer: the sender.
        :param snapshot: the packed state.
        """
        if snapshot.position <= self.configuration.position:
            self.acknowledge(peer)
            return
        try:
            state = unpack(snapshot.state)
        except SnapshotError as error:
            logger.warning(error.message, step='take snapshot', peer=peer.name)
            return
        self.adopt_from_peer(peer, state)

    def adopt_from_peer(self, peer: Peer, state: State) -> None:
        """Adopt a peer's state if it is newer, and acknowledge it.

        :param peer: the sender.
        :param state: folded from the same log.
        """
        known = self.peer_positions.get(peer)
        if known is not None:
            self.peer_positions[peer] = max(known, state.position)
        if state.position > self.configuration.position:
            self.sink.adopt(state)
        self.acknowledge(peer)

    def acknowledge(self, peer: Peer) -> None:
        """Report the position in force at this side; does nothing at an entry.

        :param peer: the entry that sent a state.
        """
        if self.is_side:
            peer.send(ConfigurationApplied(self.configuration.position))

    def announce_hold(self, hold: Hold) -> None:
        """Block starts in a failure domain here and at all peers.

        Other entries also receive a hold that is already active, because each
        announcement restarts the delay after which they release it.

        :param hold: names a change that is about to be appended.
        """
        self.add_holds((hold,))
        message = HoldUpdate((HeldDomain(*hold),), ())
        for peer in self.peer_positions:
            if peer.introduction.role == 'entry':
                peer.send(message)

    def add_holds(
        self, holds: Iterable[Hold], sender: Peer | None = None
    ) -> None:
        """Add holds and forward those that are new to the other peers.

        Holds whose change already has a verdict are ignored.

        :param holds: announced by this process or by a peer.
        :param sender: the peer that sent them, None for this process.
        """
        verdicts = self.configuration.state.verdicts
        undecided = [hold for hold in holds if hold.change_id not in verdicts]
        new = self.configuration.holds.add(undecided, self.clock.seconds())
        if not new:
            return
        message = HoldUpdate(tuple(HeldDomain(*hold) for hold in new), ())
        self.broadcast(message, sender)
        self.configuration.notify_change(self.configuration.position)

    def handle_hold_update(self, peer: Peer, update: HoldUpdate) -> None:
        """Add and release holds as a peer reports.

        :param peer: the sender.
        :param update: the active holds and the released change ids.
        """
        self.add_holds((Hold(*held) for held in update.held), peer)
        self.broadcast_releases(
            self.configuration.holds.release(update.released), peer
        )

    def broadcast_releases(
        self, released: tuple[str, ...], sender: Peer | None = None
    ) -> None:
        """Forward releases of holds that were active here.

        :param released: change ids of the released holds.
        :param sender: the peer that reported them, None for this process.
        """
        if not released:
            return
        logger.info('holds released', step='release', changes=list(released))
        self.broadcast(HoldUpdate((), released), sender)
        self.configuration.notify_change(self.configuration.position)

    def broadcast(self, message: HoldUpdate, sender: Peer | None) -> None:
        """Send a message to all peers but one.

        :param message: the message to send.
        :param sender: the peer to leave out, None to send to all.
        """
        for peer in tuple(self.peer_positions):
            if peer is not sender:
                peer.send(message)
