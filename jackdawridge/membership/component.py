"""The membership of a process: announcing, learning and leaving."""

from __future__ import annotations

import time
import zlib
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from jackdawridge.logs import get_logger
from jackdawridge.membership.announcer import Announcer
from jackdawridge.membership.detector import SILENT_PERIODS, Watch
from jackdawridge.membership.directory import Directory, describe_state
from jackdawridge.membership.duties import EntryDuties
from jackdawridge.membership.messages import Gossip
from jackdawridge.membership.state import Table, Timing, introduced
from jackdawridge.membership.subset import EntryChoice
from jackdawridge.membership.targets import (
    SCOUT_PERIOD,
    EntryTargets,
    Landing,
    Links,
    SideTargets,
)

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.config import Settings
    from jackdawridge.membership.messages import Member
    from jackdawridge.membership.targets import Targets
    from jackdawridge.util.clock import DelayedCall
    from jackdawridge.wire.peers import Connector, Peer, Peers

logger = get_logger('membership')

#: A suspected member has so many periods to refute.
SUSPICION_PERIODS = 5
#: Time for the last word to leave the process, in seconds.
FAREWELL_TIME = 0.2

#: Most members that are named in a line of the log.
MAX_DESCRIBED = 8

_MILLISECONDS = 1000


class Membership(Directory):
    """What a process knows about the others; a component.

    Emits `member_changed` with the new record of a `Member`,
    `incarnation_gone` with address and incarnation of a run of an entry that
    has ended for good, and `superseded` when a later run of this node lives.

    :param application: the process.
    :param peers: its links.
    :param connector: dials the entries.
    :param table: of the members.
    :param targets: chooses whom to dial.
    """

    def __init__(
        self,
        application: Application,
        peers: Peers,
        connector: Connector,
        table: Table,
        targets: Targets,
    ) -> None:
        """Keep the parts; use `from_application`."""
        super().__init__(table, application.clock)
        self.application = application
        self.peers = peers
        self.connector = connector
        self.targets = targets
        self.period = application.settings.number('heartbeat')
        self.watch = Watch(SILENT_PERIODS * self.period)
        is_entry = table.own.role == 'entry'
        self.duties = EntryDuties(self) if is_entry else None
        self.timer: DelayedCall | None = None
        self.reported_superseded = False
        #: After which the process announces itself; at the start if empty.
        self.ready_event = ''
        self.announcer = Announcer(peers, table)
        application.on_message(Gossip, self.gossip_received)
        application.events.connect('peer_joined', self.peer_joined)
        application.events.connect('draining', self.announce_leaving)

    @classmethod
    def from_application(
        cls,
        application: Application,
        peers: Peers,
        connector: Connector,
        ready_event: str = '',
    ) -> Membership:
        """Make the membership of a process from its introduction.

        :param application: the process.
        :param peers: its links, which know its introduction.
        :param connector: dials the entries.
        :param ready_event: after which the process announces itself; at
            the start if empty.
        """
        settings = application.settings
        now = application.clock.seconds()
        generation = int(time.time() * _MILLISECONDS)
        own = introduced(peers.introduction)._replace(generation=generation)
        suspicion = SUSPICION_PERIODS * settings.number('heartbeat')
        table = Table(own, Timing(suspicion), now)
        targets = make_targets(own, settings)
        membership = cls(application, peers, connector, table, targets)
        membership.ready_event = ready_event
        return membership

    def start(self) -> None:
        """Dial the seeds and look after the members, at once or later."""
        if self.ready_event:
            self.application.events.connect(self.ready_event, self.tick)
        else:
            self.tick()

    def stop(self) -> Deferred[None]:
        """Tell all that this process is about to end."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.publish(self.table.leave(self.clock.seconds(), final=True))
        told: Deferred[None] = Deferred()
        self.clock.callLater(FAREWELL_TIME, told.callback, None)
        return told

    def tick(self) -> None:
        """Do what is due in each period."""
        self.timer = self.clock.callLater(self.period, self.tick)
        now = self.clock.seconds()
        for member in self.table.expire(now):
            logger.info('member is dead', member=member.node)
            self.publish(member)
        if self.duties is None:
            self.close_silent(self.linked('entry'))
        else:
            self.duties.perform(now)
        self.report_ended_runs()
        self.aim()

    def close_silent(self, linked: dict[str, Peer]) -> list[str]:
        """Close links on which nothing arrives; return their nodes.

        :param linked: watched peers by node.
        """
        received = {
            node: peer.link.bytes_received for node, peer in linked.items()
        }
        silent = self.watch.check(received, self.clock.seconds())
        for node in silent:
            linked[node].link.close('peer is silent')
        return silent

    def aim(self) -> None:
        """Dial those who are to be dialled."""
        now = self.clock.seconds()
        wanted = self.targets.addresses(self.table, self.entry_links(), now)
        self.connector.aim(wanted)

    def entry_links(self) -> Links:
        """Return the open links to entries."""
        dialled: dict[str, str] = {}
        for address, dialing in self.connector.targets.items():
            link = dialing.link
            peer = self.peers.by_link.get(link) if link else None
            if peer is not None:
                dialled[address] = peer.name
                landing = Landing(peer.name, peer.introduction.address)
                self.targets.landings.note(address, landing)
        return Links(frozenset(self.linked('entry')), dialled)

    def linked(self, role: str) -> dict[str, Peer]:
        """Return the linked peers of a role by node.

        :param role: `entry` or `side`.
        """
        return {peer.name: peer for peer in self.peers.of_role(role)}

    def peer_joined(self, peer: Peer) -> None:
        """Learn about a peer from its introduction.

        :param peer: the peer.
        """
        claimed = introduced(peer.introduction)
        self.receive(peer, (claimed,))
        known = self.table.members.get(peer.name)
        if known and known.precedence() > claimed.precedence():
            peer.send(Gossip((known,)))
        if self.duties is not None:
            self.duties.welcome(peer)

    def gossip_received(self, peer: Peer, gossip: Gossip) -> None:
        """Take news.

        :param peer: who sent it.
        :param gossip: the news.
        """
        self.receive(peer, gossip.members)

    def receive(self, peer: Peer, members: tuple[Member, ...]) -> None:
        """Take records of members and pass on what is news.

        :param peer: who sent them.
        :param members: the records.
        """
        now = self.clock.seconds()
        self.adopt(peer, [self.table.merge(member, now) for member in members])

    def learn(self, peer: Peer, members: tuple[Member, ...]) -> None:
        """Take a part of the table of an entry.

        :param peer: the entry.
        :param members: the records.
        """
        now = self.clock.seconds()
        self.adopt(peer, [self.table.learn(member, now) for member in members])

    def adopt(self, peer: Peer, merged: list[Member | None]) -> None:
        """Act on what is news.

        :param peer: who sent it.
        :param merged: the news, and None for what was known.
        """
        news = [record for record in merged if record is not None]
        if news:
            logger.info(
                'members learned', peer=peer.name, members=describe(news)
            )
        for record in news:
            self.publish(record)
        if any(learned.role == 'entry' for learned in news):
            self.report_ended_runs()
            self.aim()
        if self.table.superseded and not self.reported_superseded:
            self.reported_superseded = True
            logger.warning('a later run of this node lives', peer=peer.name)
            self.application.events.emit('superseded')

    def publish(self, member: Member) -> None:
        """Tell this process and those linked to it about a change.

        :param member: the new record.
        """
        if member is self.table.own:
            self.announcer.announce()
        elif self.duties is not None:
            self.duties.pass_on(member)
        self.application.events.emit('member_changed', member)

    def announce_leaving(self) -> None:
        """Say that this process wants no new work."""
        self.publish(self.table.leave(self.clock.seconds()))

    def report_ended_runs(self) -> None:
        """Emit the runs of entries that have ended."""
        reports = self.table.runs.reports
        while reports:
            run = reports.pop()
            self.application.events.emit(
                'incarnation_gone', run.address, run.incarnation
            )


def make_targets(own: Member, settings: Settings) -> Targets:
    """Return what chooses whom a process dials.

    :param own: the record of the process.
    :param settings: of the process.
    """
    seeds = settings.texts('entries')
    if own.role == 'entry':
        offset = zlib.crc32(own.node.encode()) % SCOUT_PERIOD
        return EntryTargets(seeds, offset)
    share = settings.integer('entries_per_side')
    return SideTargets(seeds, EntryChoice(own.node, share))


def describe(members: list[Member]) -> str:
    """Return a short text about records for the log.

    :param members: the records.
    """
    texts = [
        f'{member.node} {describe_state(member)}'
        for member in members[:MAX_DESCRIBED]
    ]
    if len(members) > MAX_DESCRIBED:
        texts.append(f'and {len(members) - MAX_DESCRIBED} more')
    return ', '.join(texts)
