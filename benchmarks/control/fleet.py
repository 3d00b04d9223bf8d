"""Simulates all peers of one process under measurement."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet.task import LoopingCall

from benchmarks.control.deployment import (
    HEARTBEAT_INTERVAL,
    Size,
    make_entry_introduction,
    make_side_introduction,
)
from benchmarks.control.peers import (
    FRAME_HEADER_BYTES,
    StandInEntry,
    StandInSide,
)
from jackdawridge.application import Application
from jackdawridge.config import Settings
from jackdawridge.membership.exchange import TableExchange
from jackdawridge.membership.messages import Gossip, Member, Probe, State
from jackdawridge.membership.table import (
    MemberTable,
    Timing,
    member_from_introduction,
)
from jackdawridge.slices import SLICES

if TYPE_CHECKING:
    from benchmarks.control.peers import StandIn
    from jackdawridge.wire.link import Link

#: Number of entries that send gossip to the entry under measurement in each
#: heartbeat interval: as many as it sends gossip to.
GOSSIP_FANOUT = 3
#: Links opened per second at the start.
DIALS_PER_SECOND = 200
_PROBE_NUMBERS = 4294967295


class Traffic(NamedTuple):
    """Bytes and messages so far on all links, in both directions."""

    bytes: int
    messages: int
    #: Number of messages by the name of their type.
    kinds: Counter[str]


class Fleet:
    """Stand-in entries and sides that share one member table.

    :param reactor: Twisted's reactor.
    :param size: size of the deployment.
    :param measures_side: whether the process under measurement is a side.
    """

    def __init__(
        self, reactor: Any, size: Size, *, measures_side: bool
    ) -> None:
        """Create the stand-ins without links."""
        self.reactor = reactor
        self.size = size
        self.measures_side = measures_side
        self.random = random.Random(1)  # noqa: S311
        application = make_application(reactor)
        self.codec = application.codec
        #: Configuration position of all stand-ins.
        self.position = 0
        self.links: list[Link] = []
        self.ports: list[Any] = []
        #: Number of messages on all links, in both directions, by type name.
        self.messages: Counter[str] = Counter()
        #: Number of suspicions of sides by the entry under measurement.
        self.suspicions = 0
        self.address = ''
        self.entries = [
            StandInEntry(
                self, make_entry_introduction(number, f'127.0.0.1:{number}')
            )
            for number in range(size.entries - (not measures_side))
        ]
        self.sides = [
            StandInSide(self, make_side_introduction(number))
            for number in range(size.workers)
        ]
        if measures_side:
            self.sides = []
            for entry in self.entries:
                entry.listen()
        self.table = self.make_table()
        self.exchange = TableExchange(application, self.table, _ignore_members)
        self.gossip_loop = LoopingCall(self.send_gossip)

    def make_table(self) -> MemberTable:
        """Return a member table of all stand-ins with an empty gossip queue."""
        now = self.reactor.seconds()
        own = member_from_introduction(self.entries[0].introduction)
        table = MemberTable(own, Timing(suspicion_timeout=5), now)
        for stand_in in (*self.entries, *self.sides):
            table.merge(member_from_introduction(stand_in.introduction), now)
        for node in tuple(table.queue.members):
            table.queue.forget(node)
        return table

    def linked_sides(self) -> list[StandInSide]:
        """Return the sides linked to the entry under measurement."""
        return self.sides[: self.size.linked]

    def start(self, address: str) -> None:
        """Dial the entry under measurement and start to send gossip.

        :param address: address of the entry under measurement.
        """
        self.address = address
        peers: list[StandIn] = [*self.entries, *self.linked_sides()]
        for position, peer in enumerate(peers):
            self.reactor.callLater(
                position / DIALS_PER_SECOND, peer.dial, address
            )
        self.gossip_loop.start(HEARTBEAT_INTERVAL)

    def stop(self) -> None:
        """Stop gossip, close all links and stop listening."""
        if self.gossip_loop.running:
            self.gossip_loop.stop()
        for port in self.ports:
            port.stopListening()
        for link in self.links:
            link.close('end of the run')

    def send_gossip(self) -> None:
        """Send the gossip that an entry receives in a heartbeat interval."""
        number = self.random.randrange(_PROBE_NUMBERS)
        probe = Probe(number, self.table.digest, self.next_gossip())
        self.random.choice(self.entries).send(probe)
        for _ in range(GOSSIP_FANOUT):
            members = self.next_gossip()
            if members:
                self.random.choice(self.entries).send(Gossip(members))

    def next_gossip(self) -> tuple[Member, ...]:
        """Return the queued member records to send in one message."""
        return self.table.queue.next_batch(self.size.entries)

    def merge_members(self, members: tuple[Member, ...]) -> None:
        """Merge member records from the process under measurement.

        :param members: records to merge into the member table.
        """
        for member in members:
            self.table.merge(member, self.reactor.seconds())

    def entry_members(self) -> list[Member]:
        """Return the member records of the stand-in entries."""
        return [
            member_from_introduction(entry.introduction)
            for entry in self.entries
        ]

    def restart_one(self) -> None:
        """Restart a random stand-in and spread the records that result."""
        peers: list[StandIn] = [*self.entries, *self.sides]
        peer = self.random.choice(peers)
        for state, leaving in ((State.alive, True), (State.left, True)):
            self.send_record(
                peer,
                member_from_introduction(peer.introduction)._replace(
                    leaving=leaving, state=int(state)
                ),
            )
        if not self.measures_side:
            peer.restart(self.address)
        self.reactor.callLater(
            HEARTBEAT_INTERVAL,
            self.send_record,
            peer,
            member_from_introduction(peer.introduction),
        )

    def send_record(self, peer: StandIn, member: Member) -> None:
        """Send a member record to the process under measurement.

        All entries send it to a side. For an entry, the stand-in itself sends
        it if it is linked, and the record is queued for gossip.

        :param peer: stand-in that the record describes.
        :param member: member record to send.
        """
        if self.measures_side:
            for entry in self.entries:
                entry.send(Gossip((member,)))
        elif peer.link is not None:
            peer.send(Gossip((member,)))
        self.table.merge(member, self.reactor.seconds())

    def send_change(self, body: bytes) -> None:
        """Send a configuration change from all entries to the side.

        :param body: JSON of the log record of the change.
        """
        for entry in self.entries:
            entry.push_change(self.position, body)
        self.position += 1

    def traffic(self) -> Traffic:
        """Return the traffic of the process under measurement so far."""
        messages = self.messages.total()
        payload = sum(
            link.bytes_sent + link.bytes_received for link in self.links
        )
        return Traffic(
            payload + FRAME_HEADER_BYTES * messages,
            messages,
            self.messages.copy(),
        )


def make_application(reactor: Any) -> Application:
    """Return an application with the messages of all slices registered.

    :param reactor: Twisted's reactor.
    """
    application = Application(Settings('entry', {}), reactor, 'fleet')
    for messages in SLICES:
        application.codec.register(messages.SCHEMA, messages.MESSAGES)
    return application


def _ignore_members(*_: object) -> None:
    """Ignore a received table, as the stand-ins request none."""
