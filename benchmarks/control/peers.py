"""Stand-in peers that exchange the real messages over real links."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from twisted.internet.endpoints import TCP4ClientEndpoint

from benchmarks.control.deployment import (
    DEPLOYMENT,
    HEARTBEAT_INTERVAL,
    LOG_POLL_INTERVAL,
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

CREDENTIALS = Credentials(DEPLOYMENT, SHARED_KEY)
#: Size of the header before each message on a link, in bytes.
FRAME_HEADER_BYTES = 4
#: Longest delay of a heartbeat by timers and the network, in seconds.
MAX_HEARTBEAT_DELAY = 0.0015
#: Name of the entry under measurement in the heartbeat schedule of a side.
MEASURED_ENTRY = 'entry'
_MAX_LINKS = 8192


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
            CREDENTIALS, fleet.codec, self, fleet.reactor, _MAX_LINKS
        )

    def dial(self, address: str) -> None:
        """Open a link, and retry until it is open.

        :param address: address of the process under measurement.
        """
        host, _, port = address.rpartition(':')
        endpoint = TCP4ClientEndpoint(self.fleet.reactor, host, int(port))
        factory: Any = DialingFactory(self.context)
        endpoint.connect(factory).addErrback(self.redial, address)

    def redial(self, _: object, address: str) -> None:
        """Retry to open a link after the heartbeat interval.

        :param address: address of the process under measurement.
        """
        self.fleet.reactor.callLater(HEARTBEAT_INTERVAL, self.dial, address)

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
            self.link_introduced()
        elif link is self.link:
            self.handle_message(message)

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

    def link_introduced(self) -> None:
        """Send the first messages after the introductions, if any."""

    def handle_message(self, message: Any) -> None:
        """Handle a message of the linked peer, by default not at all.

        :param message: message of any type but an introduction.
        """

    def restart(self, address: str) -> None:
        """Close the link and reconnect with a new incarnation.

        :param address: address of the process under measurement.
        """
        if self.link is not None:
            self.link.close('restart')
            self.fleet.reactor.callLater(HEARTBEAT_INTERVAL, self.dial, address)
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
        self.schedule = HeartbeatSchedule(HEARTBEAT_INTERVAL)
        self.timer: Any = None

    def link_introduced(self) -> None:
        """Request the configuration and start to send heartbeats."""
        self.send(ConfigurationRequest(self.fleet.position))
        self.schedule = HeartbeatSchedule(HEARTBEAT_INTERVAL)
        offset = random.uniform(0, HEARTBEAT_INTERVAL)  # noqa: S311
        self.schedule.due[MEASURED_ENTRY] = (
            self.fleet.reactor.seconds() + offset
        )
        self.send_heartbeat()
        if self.timer is None:
            self.run_schedule()

    def run_schedule(self) -> None:
        """Send a heartbeat if one is due and schedule the next check.

        The timer gets a random delay, as that of a real side has.
        """
        now = self.fleet.reactor.seconds()
        if self.schedule.collect_due((MEASURED_ENTRY,), now):
            self.send_heartbeat()
            self.schedule.record_sent((MEASURED_ENTRY,), self.window)
        wait = self.schedule.wait(now) + random.uniform(  # noqa: S311
            0, MAX_HEARTBEAT_DELAY
        )
        self.timer = self.fleet.reactor.callLater(wait, self.run_schedule)

    def send_heartbeat(self) -> None:
        """Send a heartbeat with random room and open the next window."""
        self.window += 1
        running = random.randrange(64)  # noqa: S311
        room = Room(64 - running, 262144 - running * 1000, 1, running)
        self.send(Heartbeat(self.window, 0, room, False, self.fleet.position))

    def handle_message(self, message: Any) -> None:
        """Align heartbeats, acknowledge changes and count suspicions.

        :param message: message of any type but an introduction.
        """
        if isinstance(message, HeartbeatReply):
            self.schedule.align(MEASURED_ENTRY, message.window, message.phase)
        elif isinstance(message, ConfigurationUpdate | ConfigurationSnapshot):
            self.send(ConfigurationApplied(message.position))
        elif isinstance(message, Gossip):
            node = self.introduction.node
            self.fleet.suspicions += sum(
                member.node == node and member.state > 0
                for member in message.members
            )


class StandInEntry(StandIn):
    """A stand-in entry that has no jobs."""

    def __init__(self, fleet: Fleet, introduction: Introduction) -> None:
        """Start without links."""
        super().__init__(fleet, introduction)
        #: Functions that return the reply to a message, by message type.
        self.reply_makers: dict[type, Callable[[Any], Any]] = {
            Heartbeat: self.reply_heartbeat,
            Probe: self.reply_probe,
            LogStatusRequest: self.reply_log_status,
        }

    def link_introduced(self) -> None:
        """Send the side under measurement the records of all entries."""
        if self.fleet.measures_side:
            self.send(Gossip(tuple(self.fleet.entry_members())))

    def handle_message(self, message: Any) -> None:
        """Merge gossip and answer probes, heartbeats and requests.

        :param message: message of any type but an introduction.
        """
        if isinstance(message, Probe | ProbeReply | Gossip):
            self.fleet.merge_members(message.members)
        if isinstance(message, SyncRequest):
            peer: Any = self
            self.fleet.exchange.request_received(peer, message)
        make_reply = self.reply_makers.get(type(message))
        if make_reply is not None:
            self.send(make_reply(message))

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
        return ProbeReply(probe.number, digest, self.fleet.next_gossip())

    def reply_log_status(self, request: LogStatusRequest) -> LogStatusReply:
        """Return the reply of an entry that can read the log service.

        :param request: request of the entry under measurement.
        """
        age = random.uniform(  # noqa: S311
            LOG_POLL_INTERVAL, 2 * LOG_POLL_INTERVAL
        )
        return LogStatusReply(
            request.number, self.fleet.position, age, False, True, ()
        )

    def push_change(self, offset: int, body: bytes) -> None:
        """Send a configuration change to the side under measurement.

        :param offset: offset of the log record of the change.
        :param body: JSON of the log record.
        """
        records = (LogRecord(offset, body),)
        self.send(ConfigurationUpdate(offset, offset + 1, records))
