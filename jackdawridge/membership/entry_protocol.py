"""The entry's part of the membership protocol: probes, gossip and sides."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.membership.detector import Prober, is_partitioned
from jackdawridge.membership.exchange import TableExchange
from jackdawridge.membership.messages import (
    Gossip,
    Probe,
    ProbeReply,
    ProbeRequest,
    State,
)
from jackdawridge.membership.side_monitor import SideMonitor

if TYPE_CHECKING:
    from jackdawridge.membership.component import Membership
    from jackdawridge.membership.detector import ProbePlan
    from jackdawridge.membership.messages import Member
    from jackdawridge.wire.peers import Peer

#: Number of random entries that receive gossip in each period.
GOSSIP_TARGETS = 3


class EntryProtocol:
    """Probes other entries, monitors sides and gossips member updates.

    :param membership: the membership of this entry.
    """

    def __init__(self, membership: Membership) -> None:
        """Register the message and event handlers."""
        self.membership = membership
        self.table = membership.table
        application = membership.application
        own = self.table.own
        self.prober = Prober(own.incarnation)
        self.side_monitor = SideMonitor(
            own.node,
            application.settings.integer('entries_per_side'),
            membership.period,
            application.settings.integer('lead_links'),
        )
        self.exchange = TableExchange(
            application, self.table, membership.merge_table_part
        )
        application.on_message(Probe, self.probe_received)
        application.on_message(ProbeReply, self.reply_received)
        application.on_message(ProbeRequest, self.request_received)
        application.events.connect('peer_left', self.peer_left)

    def run_period(self, now: float) -> None:
        """Check links, probe the next entry and gossip, once per period.

        While most peers are silent, this process is assumed to be partitioned
        and suspects nobody.

        :param now: the time in seconds.
        """
        entries = self.membership.linked('entry')
        sides = self.membership.linked('side')
        silent = self.membership.close_silent_links(sides)
        overdue = self.side_monitor.take_overdue(self.table, sides, now)
        if not is_partitioned(len(silent), len(sides)):
            self.suspect(silent + overdue, now)
        plan = self.prober.advance(
            [
                entry.node
                for entry in self.membership.entries()
                if entry.node != self.table.own.node
            ],
        )
        self.probe(plan, entries)
        if not is_partitioned(len(plan.failed), len(entries)):
            self.suspect(plan.failed, now)
        for node in set(plan.failed) & entries.keys():
            entries[node].link.close('peer did not answer probes')
        self.gossip(entries)

    def suspect(self, nodes: tuple[str, ...] | list[str], now: float) -> None:
        """Mark unresponsive members as suspected and publish the change.

        :param nodes: nodes of the members.
        :param now: the time in seconds.
        """
        for node in nodes:
            suspected = self.table.suspect(node, now)
            if suspected is not None:
                self.membership.publish(suspected)

    def probe(self, plan: ProbePlan, entries: dict[str, Peer]) -> None:
        """Send the direct and indirect probes of a period.

        :param plan: the probes to send.
        :param entries: linked entries by node.
        """
        target = entries.get(plan.target)
        if target is not None:
            target.send(
                Probe(plan.number, self.table.digest, self.next_updates())
            )
        for node, number in plan.indirect:
            for helper in self.prober.choose_helpers(node, entries.keys()):
                entries[helper].send(ProbeRequest(number, node))

    def gossip(self, entries: dict[str, Peer]) -> None:
        """Send queued updates to a few random entries.

        :param entries: linked entries by node.
        """
        if not self.table.queue.members or not entries:
            return
        count = min(GOSSIP_TARGETS, len(entries))
        for node in self.prober.random.sample(sorted(entries), count):
            members = self.next_updates()
            if members:
                entries[node].send(Gossip(members))

    def next_updates(self) -> tuple[Member, ...]:
        """Return the queued updates for one message."""
        return self.table.queue.next_batch(len(self.table.entries))

    def probe_received(self, peer: Peer, probe: Probe) -> None:
        """Merge the updates of a probe and reply to it.

        :param peer: the entry that sent the probe.
        :param probe: the message.
        """
        self.membership.merge_gossip(peer, probe.members)
        reply = ProbeReply(probe.number, self.table.digest, self.next_updates())
        peer.send(reply)
        self.exchange.compare_digest(peer, probe.digest)

    def reply_received(self, peer: Peer, reply: ProbeReply) -> None:
        """Record the reply to a probe, and relay it if another entry asked.

        :param peer: the entry that sent the reply.
        :param reply: the message.
        """
        self.membership.merge_gossip(peer, reply.members)
        if reply.digest:
            self.exchange.compare_digest(peer, reply.digest)
        relay = self.prober.record_reply(reply.number)
        if relay is None:
            return
        origin = self.membership.linked('entry').get(relay.origin)
        if origin is not None:
            origin.send(ProbeReply(relay.number, 0, ()))

    def request_received(self, peer: Peer, request: ProbeRequest) -> None:
        """Probe an entry on behalf of another.

        :param peer: the entry that requested the probe.
        :param request: names the entry to probe.
        """
        target = self.membership.linked('entry').get(request.node)
        if target is not None:
            number = self.prober.add_relay(peer.name, request.number)
            target.send(Probe(number, self.table.digest, ()))

    def peer_joined(self, peer: Peer) -> None:
        """Send the known entries to a side, or request an entry's table.

        :param peer: the peer whose link was opened.
        """
        if peer.introduction.role == 'side':
            self.side_monitor.link_lost_at.pop(peer.name, None)
            peer.send(Gossip(tuple(self.table.entries.values())))
            return
        self.prober.discard_probes(peer.name)
        if not self.exchange.has_joined:
            self.exchange.request_table(peer)

    def peer_left(self, peer: Peer) -> None:
        """Start the relink timeout of a side whose link was closed.

        :param peer: the peer whose link was closed.
        """
        if peer.introduction.role == 'side':
            self.side_monitor.record_link_lost(
                peer.name, self.membership.clock.seconds()
            )

    def propagate(self, member: Member) -> None:
        """Send a changed record directly to the peers that need it.

        Linked sides receive changes of entries. A member that is suspected or
        dead receives its own record, so that it can refute it.

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
