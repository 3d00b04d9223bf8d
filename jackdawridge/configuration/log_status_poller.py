"""Polling of the other entries about the log while it does not answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.task import LoopingCall

from jackdawridge.configuration.freshness import LogReport
from jackdawridge.configuration.holds import Hold
from jackdawridge.configuration.messages import (
    ConfigurationRequest,
    KnownEntries,
    LogStatusReply,
    LogStatusRequest,
)

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.config import Settings
    from jackdawridge.configuration.configuration import Configuration
    from jackdawridge.configuration.exchange import ConfigurationExchange
    from jackdawridge.configuration.freshness import EntryFreshness
    from jackdawridge.wire.peers import Peer

#: Time between two polling rounds, in seconds.
POLL_INTERVAL = 0.3
#: The other entries are polled once the last complete read of the log was sent
#: longer ago than two waits of a read plus this margin, in seconds. It is two
#: waits old at the end of each read while the log answers.
POLL_MARGIN = 0.6
#: Time for which an entry that ended without notice still counts towards the
#: number of entries of which a majority must report, in seconds.
SILENT_ENTRY_TIME = 120.0


class KnownEntryNames:
    """Names of the known other entries, both linked and silent.

    :param placeholder: name that stands for the entries in the settings until
        one of them has been linked; empty if the settings name none.
    """

    def __init__(self, placeholder: str = '') -> None:
        """Initialize without linked or silent entries."""
        self.placeholder = placeholder
        #: Names of linked entries.
        self.linked: set[str] = set()
        #: Time since which an entry is silent, by its name.
        self.silent: dict[str, float] = {}

    def add_linked(self, name: str) -> None:
        """Add a linked entry.

        :param name: name of the entry.
        """
        self.placeholder = ''
        self.linked.add(name)
        self.silent.pop(name, None)

    def mark_silent(self, name: str, now: float) -> None:
        """Mark an entry whose link has closed as silent.

        :param name: name of the entry.
        :param now: current time in seconds.
        """
        self.linked.discard(name)
        self.silent[name] = now

    def add_reported(self, name: str, now: float) -> None:
        """Add an entry that another entry knows, silent unless it is linked.

        :param name: name of the entry.
        :param now: current time in seconds.
        """
        if name not in self.linked:
            self.silent.setdefault(name, now)

    def remove(self, name: str) -> None:
        """Remove an entry that has announced that it is leaving.

        :param name: name of the entry.
        """
        self.linked.discard(name)
        self.silent.pop(name, None)

    def names(self, now: float) -> frozenset[str]:
        """Return the names of the entries of which a majority must report.

        Drops the entries that have been silent for `SILENT_ENTRY_TIME`.

        :param now: current time in seconds.
        """
        for name, since in tuple(self.silent.items()):
            if now - since > SILENT_ENTRY_TIME:
                self.silent.pop(name)
        placeholder = {self.placeholder} if self.placeholder else set()
        return frozenset(self.linked | set(self.silent) | placeholder)


class LogStatusPoller:
    """Polls the other entries about the log and replies to them; a component.

    :param application: the process.
    :param configuration: the configuration in force at this entry.
    :param freshness: freshness of this entry, updated from the replies.
    :param exchange: distributes the holds in the replies.
    """

    def __init__(
        self,
        application: Application,
        configuration: Configuration,
        freshness: EntryFreshness,
        exchange: ConfigurationExchange,
    ) -> None:
        """Register the message handlers and event listeners."""
        clock: Any = application.clock
        self.application = application
        self.configuration = configuration
        self.freshness = freshness
        self.exchange = exchange
        self.entry_names = KnownEntryNames(
            _configured_entries(application.settings)
        )
        self.entries: dict[str, Peer] = {}
        poll_time = application.settings.number('log_poll')
        #: Age of the last complete read of the log from which on the other
        #: entries are polled, in seconds.
        self.poll_age = 2 * poll_time + POLL_MARGIN
        self.loop = LoopingCall(self.poll_if_stale)
        self.loop.clock = clock
        application.on_message(LogStatusRequest, self.handle_request)
        application.on_message(LogStatusReply, self.handle_reply)
        application.on_message(KnownEntries, self.handle_known_entries)
        application.events.connect('peer_joined', self.peer_joined)
        application.events.connect('peer_left', self.peer_left)
        application.events.connect('draining', self.announce_leaving)

    def start(self) -> None:
        """Start checking how long ago the log was read to its end."""
        self.loop.start(POLL_INTERVAL)

    def stop(self) -> None:
        """Stop polling."""
        if self.loop.running:
            self.loop.stop()

    def now(self) -> float:
        """Return the current time in seconds."""
        return self.application.clock.seconds()

    def peer_joined(self, peer: Peer) -> None:
        """Track a linked entry and send it the names of the known entries.

        :param peer: the process at the other end of the new link.
        """
        if peer.introduction.role != 'entry':
            return
        self.entries[peer.name] = peer
        self.entry_names.add_linked(peer.name)
        names = sorted(self.entry_names.names(self.now()))
        peer.send(KnownEntries(tuple(names), self.application.draining))

    def peer_left(self, peer: Peer) -> None:
        """Mark an entry as silent when its current link closes.

        :param peer: the process whose link has closed.
        """
        if self.entries.get(peer.name) is peer:
            self.entries.pop(peer.name)
            self.entry_names.mark_silent(peer.name, self.now())

    def handle_known_entries(self, peer: Peer, message: KnownEntries) -> None:
        """Add the entries that another entry knows, or remove it if it leaves.

        :param peer: the sender.
        :param message: the known names and whether the sender is leaving.
        """
        if message.leaving:
            self.entries.pop(peer.name, None)
            self.entry_names.remove(peer.name)
            return
        own_name = self.application.settings.text('node')
        for name in message.names:
            if name != own_name:
                self.entry_names.add_reported(name, self.now())

    def announce_leaving(self) -> None:
        """Notify the other entries that this one leaves the majority count."""
        for peer in self.entries.values():
            peer.send(KnownEntries((), leaving=True))

    def poll_if_stale(self) -> None:
        """Poll the other entries if the log fails or its last read is old."""
        now = self.now()
        log_age = self.freshness.log_age(now)
        if not self.freshness.failing and log_age < self.poll_age:
            return
        current = self.freshness.start_round(now)
        request = LogStatusRequest(current.number, self.configuration.position)
        for peer in tuple(self.entries.values()):
            peer.send(request)
        self.evaluate_round()
        if not self.freshness.is_ready:
            self.exchange.request_from_side()

    def handle_request(self, peer: Peer, request: LogStatusRequest) -> None:
        """Reply to an entry, and request its state if it is ahead.

        :param peer: the requesting entry.
        :param request: holds the position of the entry.
        """
        peer.send(
            LogStatusReply(
                request.number,
                self.configuration.position,
                self.freshness.log_age(self.now()),
                self.freshness.failing,
                self.freshness.is_ready,
                self.exchange.hold_messages(),
            )
        )
        self.request_newer(peer, request.position)

    def handle_reply(self, peer: Peer, reply: LogStatusReply) -> None:
        """Add a report to the round, after adding the holds that came with it.

        :param peer: the replying entry.
        :param reply: its report about the log.
        """
        self.exchange.add_holds((Hold(*held) for held in reply.held), peer)
        self.request_newer(peer, reply.position)
        self.freshness.add_report(
            reply.number,
            peer.name,
            LogReport(
                reply.position, reply.log_age, reply.failing, reply.ready
            ),
        )
        self.evaluate_round()

    def request_newer(self, peer: Peer, position: int) -> None:
        """Request the state of an entry that is ahead.

        :param peer: the entry.
        :param position: offset up to which it knows the configuration.
        """
        if position > self.configuration.position:
            peer.send(ConfigurationRequest(self.configuration.position))

    def evaluate_round(self) -> None:
        """Update the freshness from the reports received so far."""
        self.freshness.evaluate_round(
            self.configuration.position, self.entry_names.names(self.now())
        )


def _configured_entries(settings: Settings) -> str:
    """Return the addresses of the other entries in the settings as one name."""
    own_name = settings.text('peer_address')
    others = [
        address for address in settings.texts('entries') if address != own_name
    ]
    return ' '.join(others)
