"""Stand-in peers that exchange the real messages over real links."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from twisted.internet.endpoints import TCP4ClientEndpoint

from benchmarks.control.deployment import (
    DEPLOYMENT,
    HEARTBEAT,
    LOG_POLL,
    SHARED_KEY,
)
from jackdawridge.configuration.messages import (
    ConfigurationApplied,
    ConfigurationRequest,
    ConfigurationSnapshot,
    ConfigurationUpdate,
    LogRecord,
    LogStatusReply,
    LogStatusRequest,
)
from jackdawridge.execution.heartbeat_schedule import HeartbeatSchedule
from jackdawridge.execution.messages import Heartbeat, HeartbeatReply, Room
from jackdawridge.membership.messages import (
    Gossip,
    Introduction,
    Probe,
    ProbeReply,
    SyncRequest,
)
from jackdawridge.wire.handshake import Credentials
from jackdawridge.wire.link import AcceptingFactory, DialingFactory, LinkContext

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.control.fleet import Fleet
    from jackdawridge.wire.link import Link

IDENTITY = Credentials(DEPLOYMENT, SHARED_KEY)
#: Size of the header before each message on a link, in bytes.
FRAME_BYTES = 4
#: Longest delay of a heartbeat by timers and the network, in seconds.
LATENESS = 0.0015
#: Name of the entry under measurement in the heartbeat schedule of a side.
ENTRY = 'entry'
_LINK_LIMIT = 8192


class StandIn:
    """A stand-in for an entry or a side, with at most one open link.

    :param fleet: fleet that the stand-in belongs to.
    :param introduction: introduction sent first on each link.
    """

    def __init__(self, fleet: Fleet, introduction: Introduction) -> None:
        """Start without links."""
        self.fleet = fleet
        self.introduction = introduction
        self.link: Link | None = None
        self.context = LinkContext(
            IDENTITY, fleet.codec, self, fleet.reactor, _LINK_LIMIT
        )

    def dial(self, address: str) -> None:
        """Open a link, and retry until it is open.

        :param address: address of the process under measurement.
        """
        host, _, port = address.rpartition(':')
        endpoint = TCP4ClientEndpoint(self.fleet.reactor, host, int(port))
        factory: Any = DialingFactory(self.context)
        endpoint.connect(factory).addErrback(self.dial_again, address)

    def dial_again(self, _: object, address: str) -> None:
        """Retry to open a link after the heartbeat interval.

        :param address: address of the process under measurement.
        """
        self.fleet.reactor.callLater(HEARTBEAT, self.dial, address)

    def listen(self) -> str:
        """Accept links on a free port and return the address."""
        factory = AcceptingFactory(self.context)
        port = self.fleet.reactor.listenTCP(0, factory, interface='127.0.0.1')
        self.fleet.ports.append(port)
        address = f'127.0.0.1:{port.getHost().port}'
        self.introduction = self.introduction._replace(address=address)
        return address

    def link_opened(self, link: Link) -> None:
        """Introduce the stand-in if the peer has dialled.

        :param link: link that has opened.
        """
        self.fleet.links.append(link)
        if not link.is_dialled():
            self.link = link
            self.send(self.introduction)

    def message_received(self, link: Link, message: Any) -> None:
        """Handle an introduction or a message of the linked peer.

        :param link: link that the message came from.
        :param message: message of any registered type.
        """
        self.fleet.messages[type(message).__name__] += 1
        if isinstance(message, Introduction):
            if link.is_dialled():
                self.link = link
                self.send(self.introduction)
            self.joined()
        elif link is self.link:
            self.answer(message)

    def link_closed(self, link: Link, reason: str) -> None:
        """Drop a link that has closed, if it is the current one.

        :param link: link that has closed.
        :param reason: why the link closed.
        """
        if link is self.link:
            self.link = None

    def send(self, message: Any) -> bool:
        """Send a message and return whether there is a link.

        :param message: message of a registered type.
        """
        if self.link is None or not self.link.send(message):
            return False
        self.fleet.messages[type(message).__name__] += 1
        return True

    def joined(self) -> None:
        """Send the first messages after the introductions, if any."""

    def answer(self, message: Any) -> None:
        """Handle a message of the linked peer, by default not at all.

        :param message: message of any type but an introduction.
        """

    def restart(self, address: str) -> None:
        """Close the link and reconnect with a new incarnation.

        :param address: address of the process under measurement.
        """
        if self.link is not None:
            self.link.close('restart')
            self.fleet.reactor.callLater(HEARTBEAT, self.dial, address)
        generation = self.introduction.generation + 1
        self.introduction = self.introduction._replace(
            generation=generation,
            incarnation=f'{random.getrandbits(48):012x}',  # noqa: S311
        )


class StandInSide(StandIn):
    """A stand-in side that sends heartbeats and has no worker."""

    def __init__(self, fleet: Fleet, introduction: Introduction) -> None:
        """Start without links."""
        super().__init__(fleet, introduction)
        self.window = 0
        self.turns = HeartbeatSchedule(HEARTBEAT)
        self.timer: Any = None

    def joined(self) -> None:
        """Request the configuration and start to send heartbeats."""
        self.send(ConfigurationRequest(self.fleet.position))
        self.turns = HeartbeatSchedule(HEARTBEAT)
        offset = random.uniform(0, HEARTBEAT)  # noqa: S311
        self.turns.due[ENTRY] = self.fleet.reactor.seconds() + offset
        self.beat()
        if self.timer is None:
            self.beat_in_turn()

    def beat_in_turn(self) -> None:
        """Send a heartbeat if one is due and schedule the next check.

        The timer gets a random delay, as that of a real side has.
        """
        now = self.fleet.reactor.seconds()
        if self.turns.collect_due((ENTRY,), now):
            self.beat()
            self.turns.record_sent((ENTRY,), self.window)
        wait = self.turns.wait(now) + random.uniform(0, LATENESS)  # noqa: S311
        self.timer = self.fleet.reactor.callLater(wait, self.beat_in_turn)

    def beat(self) -> None:
        """Send a heartbeat with random room and open the next window."""
        self.window += 1
        running = random.randrange(64)  # noqa: S311
        room = Room(64 - running, 262144 - running * 1000, 1, running)
        self.send(Heartbeat(self.window, 0, room, False, self.fleet.position))

    def answer(self, message: Any) -> None:
        """Align heartbeats, acknowledge changes and count suspicions.

        :param message: message of any type but an introduction.
        """
        if isinstance(message, HeartbeatReply):
            self.turns.align(ENTRY, message.window, message.phase)
        elif isinstance(message, ConfigurationUpdate | ConfigurationSnapshot):
            self.send(ConfigurationApplied(message.position))
        elif isinstance(message, Gossip):
            own = self.introduction.node
            self.fleet.suspicions += sum(
                member.node == own and member.state > 0
                for member in message.members
            )


class StandInEntry(StandIn):
    """A stand-in entry that has no jobs."""

    def __init__(self, fleet: Fleet, introduction: Introduction) -> None:
        """Start without links."""
        super().__init__(fleet, introduction)
        #: Functions that return the reply to a message, by message type.
        self.writers: dict[type, Callable[[Any], Any]] = {
            Heartbeat: self.reply_heartbeat,
            Probe: self.reply_probe,
            LogStatusRequest: self.answer_question,
        }

    def joined(self) -> None:
        """Send the side under measurement the records of all entries."""
        if self.fleet.measures_side:
            self.send(Gossip(tuple(self.fleet.entry_members())))

    def answer(self, message: Any) -> None:
        """Merge gossip and answer probes, heartbeats and requests.

        :param message: message of any type but an introduction.
        """
        if isinstance(message, Probe | ProbeReply | Gossip):
            self.fleet.learn(message.members)
        if isinstance(message, SyncRequest):
            peer: Any = self
            self.fleet.exchange.request_received(peer, message)
        write = self.writers.get(type(message))
        if write is not None:
            self.send(write(message))

    def reply_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Return the reply to a heartbeat.

        :param heartbeat: heartbeat of the side under measurement.
        """
        return HeartbeatReply(heartbeat.window, 0, self.fleet.position, 0.2)

    def reply_probe(self, probe: Probe) -> ProbeReply:
        """Return the reply to a probe.

        :param probe: probe of the entry under measurement.
        """
        digest = self.fleet.table.digest
        return ProbeReply(probe.number, digest, self.fleet.news())

    def answer_question(self, question: LogStatusRequest) -> LogStatusReply:
        """Return the reply of an entry that can read the log service.

        :param question: request of the entry under measurement.
        """
        age = random.uniform(LOG_POLL, 2 * LOG_POLL)  # noqa: S311
        return LogStatusReply(
            question.number, self.fleet.position, age, False, True, ()
        )

    def push_change(self, offset: int, body: bytes) -> None:
        """Send a configuration change to the side under measurement.

        :param offset: offset of the log record of the change.
        :param body: JSON of the log record.
        """
        records = (LogRecord(offset, body),)
        self.send(ConfigurationUpdate(offset, offset + 1, records))
