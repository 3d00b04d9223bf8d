"""What an entry does for the membership: probes, gossip, watching sides."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.membership.detector import Prober, is_cut_off
from jackdawridge.membership.exchange import TableExchange
from jackdawridge.membership.messages import (
    Gossip,
    Probe,
    ProbeReply,
    ProbeRequest,
    State,
)
from jackdawridge.membership.sides import SideWatch

if TYPE_CHECKING:
    from jackdawridge.membership.component import Membership
    from jackdawridge.membership.detector import Round
    from jackdawridge.membership.messages import Member
    from jackdawridge.wire.peers import Peer

#: Entries that are told news in a period.
GOSSIP_TARGETS = 3


class EntryDuties:
    """Probes entries, watches sides, and passes news on.

    :param membership: of the entry.
    """

    def __init__(self, membership: Membership) -> None:
        """Register the handlers."""
        self.membership = membership
        self.table = membership.table
        application = membership.application
        own = self.table.own
        self.prober = Prober(own.incarnation)
        self.sides = SideWatch(
            own.node,
            application.settings.integer('entries_per_side'),
            membership.period,
        )
        self.exchange = TableExchange(application, self.table, membership.learn)
        application.on_message(Probe, self.probe_received)
        application.on_message(ProbeReply, self.reply_received)
        application.on_message(ProbeRequest, self.request_received)
        application.events.connect('peer_left', self.peer_left)

    def perform(self, now: float) -> None:
        """Do what is due in each period.

        :param now: the time in seconds.
        """
        entries = self.membership.linked('entry')
        sides = self.membership.linked('side')
        silent = self.membership.close_silent(sides)
        overdue = self.sides.overdue(self.table, sides, now)
        if not is_cut_off(len(silent), len(sides)):
            self.suspect(silent + overdue, now)
        period = self.prober.advance(
            [
                entry.node
                for entry in self.membership.entries()
                if entry.node != self.table.own.node
            ],
        )
        self.probe(period, entries)
        if not is_cut_off(len(period.failed), len(entries)):
            self.suspect(period.failed, now)
        for node in set(period.failed) & entries.keys():
            entries[node].link.close('peer answers no probe')
        self.gossip(entries)

    def suspect(self, nodes: tuple[str, ...] | list[str], now: float) -> None:
        """Suspect members that do not answer.

        :param nodes: their nodes.
        :param now: the time in seconds.
        """
        for node in nodes:
            suspected = self.table.suspect(node, now)
            if suspected is not None:
                self.membership.publish(suspected)

    def probe(self, period: Round, entries: dict[str, Peer]) -> None:
        """Send the probes of a period.

        :param period: whom to probe.
        :param entries: linked entries by node.
        """
        target = entries.get(period.target)
        if target is not None:
            target.send(Probe(period.number, self.table.digest, self.news()))
        for node, number in period.indirect:
            for helper in self.prober.helpers(node, entries.keys()):
                entries[helper].send(ProbeRequest(number, node))

    def gossip(self, entries: dict[str, Peer]) -> None:
        """Pass news on to a few random entries.

        :param entries: linked entries by node.
        """
        if not self.table.queue.members or not entries:
            return
        count = min(GOSSIP_TARGETS, len(entries))
        for node in self.prober.random.sample(sorted(entries), count):
            members = self.news()
            if members:
                entries[node].send(Gossip(members))

    def news(self) -> tuple[Member, ...]:
        """Return the news for one message."""
        return self.table.queue.take(len(self.table.entries))

    def probe_received(self, peer: Peer, probe: Probe) -> None:
        """Answer a probe.

        :param peer: an entry.
        :param probe: its probe.
        """
        self.membership.receive(peer, probe.members)
        reply = ProbeReply(probe.number, self.table.digest, self.news())
        peer.send(reply)
        self.exchange.compare(peer, probe.digest)

    def reply_received(self, peer: Peer, reply: ProbeReply) -> None:
        """Take the answer to a probe, or pass it on.

        :param peer: an entry.
        :param reply: its answer.
        """
        self.membership.receive(peer, reply.members)
        if reply.digest:
            self.exchange.compare(peer, reply.digest)
        relay = self.prober.answered(reply.number)
        if relay is None:
            return
        origin = self.membership.linked('entry').get(relay.origin)
        if origin is not None:
            origin.send(ProbeReply(relay.number, 0, ()))

    def request_received(self, peer: Peer, request: ProbeRequest) -> None:
        """Probe an entry on behalf of another.

        :param peer: the entry that asks.
        :param request: names the entry to probe.
        """
        target = self.membership.linked('entry').get(request.node)
        if target is not None:
            number = self.prober.relay(peer.name, request.number)
            target.send(Probe(number, self.table.digest, ()))

    def welcome(self, peer: Peer) -> None:
        """Tell a side about the entries, or ask an entry for its table.

        :param peer: a peer that has joined.
        """
        if peer.introduction.role == 'side':
            self.sides.lost.pop(peer.name, None)
            peer.send(Gossip(tuple(self.table.entries.values())))
            return
        self.prober.forget(peer.name)
        if not self.exchange.joined:
            self.exchange.ask(peer)

    def peer_left(self, peer: Peer) -> None:
        """Take note of a lost side.

        :param peer: a peer whose link has ended.
        """
        if peer.introduction.role == 'side':
            self.sides.note_lost(peer.name, self.membership.clock.seconds())

    def pass_on(self, member: Member) -> None:
        """Send a change to those who need it directly.

        All linked sides hear about entries, and a member that is suspected
        hears so itself.

        :param member: the new record.
        """
        gossip = Gossip((member,))
        if member.state in {State.suspect, State.dead}:
            for peer in tuple(self.membership.peers.by_link.values()):
                if peer.name == member.node:
                    peer.send(gossip)
        if member.role == 'entry' and member.state != State.suspect:
            for side in self.membership.linked('side').values():
                side.send(gossip)
