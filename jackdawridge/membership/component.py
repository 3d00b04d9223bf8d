"""The membership component: dialling, gossip and leaving the cluster."""

from __future__ import annotations

import time
import zlib
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from jackdawridge.logs import get_logger
from jackdawridge.membership.announcer import Announcer
from jackdawridge.membership.detector import SILENCE_PERIODS, SilenceDetector
from jackdawridge.membership.dial_policy import (
    SEED_REDIAL_PERIOD,
    EntryDialPolicy,
    Links,
    ReachedEntry,
    SeedMap,
    SideDialPolicy,
)
from jackdawridge.membership.directory import Directory, state_name
from jackdawridge.membership.entry_protocol import EntryProtocol
from jackdawridge.membership.entry_subset import EntrySubset
from jackdawridge.membership.messages import Gossip
from jackdawridge.membership.table import (
    MemberTable,
    Timing,
    member_from_introduction,
)

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.config import Settings
    from jackdawridge.membership.dial_policy import DialPolicy
    from jackdawridge.membership.messages import Member
    from jackdawridge.util.clock import DelayedCall
    from jackdawridge.wire.peers import Connector, Peer, Peers

logger = get_logger('membership')

#: Heartbeat periods in which a suspected member can refute the suspicion.
SUSPICION_PERIODS = 5
#: Delay after the final announcement, in seconds, so that it is sent before the
#: process closes its links.
LEAVE_FLUSH_TIME = 0.2

#: Maximum number of members named in one log line.
MAX_LOGGED_MEMBERS = 8

_MS_PER_SECOND = 1000


class Membership(Directory):
    """Maintains the member table of a process and its links to entries.

    A component. Emits `member_changed` with the new `Member` record,
    `incarnation_gone` with the address and the incarnation of an entry's run
    that has ended for good, `superseded` when a later run of this node exists,
    and `entries_unreachable` each period in which the seeds lead to no entry.

    :param application: the process.
    :param peers: the links of this process.
    :param connector: dials the entries.
    :param table: the member table.
    :param dial_policy: chooses the addresses to dial.
    """

    def __init__(
        self,
        application: Application,
        peers: Peers,
        connector: Connector,
        table: MemberTable,
        dial_policy: DialPolicy,
    ) -> None:
        """Register the handlers; use `from_application` to create one."""
        super().__init__(table, application.clock)
        self.application = application
        self.peers = peers
        self.connector = connector
        self.dial_policy = dial_policy
        self.period = application.settings.number('heartbeat')
        self.silence_detector = SilenceDetector(SILENCE_PERIODS * self.period)
        is_entry = table.own.role == 'entry'
        self.protocol = EntryProtocol(self) if is_entry else None
        self.timer: DelayedCall | None = None
        self.reported_superseded = False
        #: Event after which the process announces itself; empty to do so in
        #: `start`.
        self.ready_event = ''
        self.announcer = Announcer(peers, table)
        application.on_message(Gossip, self.gossip_received)
        application.events.connect('peer_joined', self.peer_joined)
        application.events.connect('draining', self.announce_leaving)
        application.events.connect('settings_changed', self.replace_seeds)

    @classmethod
    def from_application(
        cls,
        application: Application,
        peers: Peers,
        connector: Connector,
        ready_event: str = '',
    ) -> Membership:
        """Create the membership of a process from its introduction.

        :param application: the process.
        :param peers: the links of this process, with its introduction.
        :param connector: dials the entries.
        :param ready_event: event after which the process announces itself; if
            empty, it does so in `start`.
        """
        settings = application.settings
        now = application.clock.seconds()
        generation = int(time.time() * _MS_PER_SECOND)
        own = member_from_introduction(peers.introduction)._replace(
            generation=generation
        )
        suspicion = SUSPICION_PERIODS * settings.number('heartbeat')
        table = MemberTable(own, Timing(suspicion), now)
        dial_policy = make_dial_policy(own, settings)
        membership = cls(application, peers, connector, table, dial_policy)
        membership.ready_event = ready_event
        return membership

    def start(self) -> None:
        """Start the periodic work, now or after the ready event."""
        if self.ready_event:
            self.application.events.connect(self.ready_event, self.tick)
        else:
            self.tick()

    def stop(self) -> Deferred[None]:
        """Announce that this process has left.

        :returns: fires after `LEAVE_FLUSH_TIME`, so that the announcement is
            sent before the links close.
        """
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.publish(self.table.leave(self.clock.seconds(), final=True))
        flushed: Deferred[None] = Deferred()
        self.clock.callLater(LEAVE_FLUSH_TIME, flushed.callback, None)
        return flushed

    def tick(self) -> None:
        """Run one period of membership maintenance and schedule the next."""
        self.timer = self.clock.callLater(self.period, self.tick)
        now = self.clock.seconds()
        for member in self.table.expire(now):
            logger.info('member is dead', member=member.node)
            self.publish(member)
        if self.protocol is None:
            self.close_silent_links(self.linked('entry'))
        else:
            self.protocol.run_period(now)
        self.emit_ended_runs()
        self.update_dial_targets()
        if self.dial_policy.is_searching:
            self.application.events.emit('entries_unreachable')

    def replace_seeds(self, settings: Settings) -> None:
        """Dial the seeds of new settings from the next period on.

        :param settings: the new settings of this process.
        """
        self.dial_policy.seed_map.replace(settings.texts('entries'))

    def close_silent_links(self, linked: dict[str, Peer]) -> list[str]:
        """Close links on which nothing was received within the timeout.

        :param linked: the peers to check, by node.
        :returns: the nodes whose links were closed.
        """
        received = {
            node: peer.link.bytes_received for node, peer in linked.items()
        }
        silent = self.silence_detector.find_silent(
            received, self.clock.seconds()
        )
        for node in silent:
            linked[node].link.close('peer is silent')
        return silent

    def update_dial_targets(self) -> None:
        """Give the connector the addresses that the dial policy selects."""
        now = self.clock.seconds()
        wanted = self.dial_policy.addresses(
            self.table, self.open_entry_links(), now
        )
        self.connector.set_addresses(wanted)

    def open_entry_links(self) -> Links:
        """Return the open links to entries and record the seeds reached."""
        dialled: dict[str, str] = {}
        for address, dialing in self.connector.redialers.items():
            link = dialing.link
            peer = self.peers.by_link.get(link) if link else None
            if peer is not None:
                dialled[address] = peer.name
                reached = ReachedEntry(peer.name, peer.introduction.address)
                self.dial_policy.seed_map.record(address, reached)
        return Links(frozenset(self.linked('entry')), dialled)

    def linked(self, role: str) -> dict[str, Peer]:
        """Return the linked peers of a role by node.

        :param role: `entry` or `side`.
        """
        return {peer.name: peer for peer in self.peers.of_role(role)}

    def peer_joined(self, peer: Peer) -> None:
        """Merge the record from a peer's introduction.

        If this process knows a newer record of the peer's node, it sends that
        record to the peer.

        :param peer: the peer whose link was opened.
        """
        introduced_record = member_from_introduction(peer.introduction)
        self.merge_gossip(peer, (introduced_record,))
        known = self.table.members.get(peer.name)
        if known and known.precedence() > introduced_record.precedence():
            peer.send(Gossip((known,)))
        if self.protocol is not None:
            self.protocol.peer_joined(peer)

    def gossip_received(self, peer: Peer, gossip: Gossip) -> None:
        """Merge the member records of a gossip message.

        :param peer: the sender.
        :param gossip: the message.
        """
        self.merge_gossip(peer, gossip.members)

    def merge_gossip(self, peer: Peer, members: tuple[Member, ...]) -> None:
        """Merge member records and queue those that changed for gossip.

        :param peer: the sender.
        :param members: the records.
        """
        now = self.clock.seconds()
        self.apply_changes(
            peer, [self.table.merge(member, now) for member in members]
        )

    def merge_table_part(self, peer: Peer, members: tuple[Member, ...]) -> None:
        """Merge records from another entry's table without queueing them.

        :param peer: the entry that sent them.
        :param members: the records.
        """
        now = self.clock.seconds()
        self.apply_changes(
            peer,
            [
                self.table.merge_without_gossip(member, now)
                for member in members
            ],
        )

    def apply_changes(self, peer: Peer, merged: list[Member | None]) -> None:
        """Publish changed records and update the links that depend on them.

        :param peer: the sender.
        :param merged: the changed records; None stands for a record that
            changed nothing.
        """
        changes = [record for record in merged if record is not None]
        if changes:
            logger.info(
                'members learned',
                peer=peer.name,
                members=format_members(changes),
            )
        for record in changes:
            self.publish(record)
        if any(change.role == 'entry' for change in changes):
            self.emit_ended_runs()
            self.update_dial_targets()
        if self.table.superseded and not self.reported_superseded:
            self.reported_superseded = True
            logger.warning(
                'a later run of this node exists; leaving', peer=peer.name
            )
            self.application.events.emit('superseded')

    def publish(self, member: Member) -> None:
        """Send a changed record to linked peers and emit `member_changed`.

        :param member: the new record.
        """
        if member is self.table.own:
            self.announcer.announce()
        elif self.protocol is not None:
            self.protocol.propagate(member)
        self.application.events.emit('member_changed', member)

    def announce_leaving(self) -> None:
        """Announce that this process is leaving and takes no new work."""
        self.publish(self.table.leave(self.clock.seconds()))

    def emit_ended_runs(self) -> None:
        """Emit `incarnation_gone` for each ended run not yet reported."""
        unreported = self.table.runs.unreported
        while unreported:
            run = unreported.pop()
            self.application.events.emit(
                'incarnation_gone', run.address, run.incarnation
            )


def make_dial_policy(own: Member, settings: Settings) -> DialPolicy:
    """Return the policy that chooses the addresses a process dials.

    :param own: the record of this process.
    :param settings: the settings of this process.
    """
    seed_map = SeedMap(
        settings.texts('entries'), settings.number('seed_discovery')
    )
    if own.role == 'entry':
        offset = zlib.crc32(own.node.encode()) % SEED_REDIAL_PERIOD
        return EntryDialPolicy(seed_map, offset)
    count = settings.integer('entries_per_side')
    lead_links = settings.integer('lead_links')
    return SideDialPolicy(seed_map, EntrySubset(own.node, count, lead_links))


def format_members(members: list[Member]) -> str:
    """Return nodes and states of members as text for the log.

    :param members: the records; only the first `MAX_LOGGED_MEMBERS` are named.
    """
    texts = [
        f'{member.node} {state_name(member)}'
        for member in members[:MAX_LOGGED_MEMBERS]
    ]
    if len(members) > MAX_LOGGED_MEMBERS:
        texts.append(f'and {len(members) - MAX_LOGGED_MEMBERS} more')
    return ', '.join(texts)
