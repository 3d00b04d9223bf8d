"""Component of a side that runs the requests of entries at its minion."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.defer import Deferred

from jackdawridge.forwarding import messages
from jackdawridge.forwarding.gate import Gate
from jackdawridge.forwarding.identity import EntryId, RequestKey
from jackdawridge.forwarding.minion_calls import MinionCalls
from jackdawridge.forwarding.minion_client import MinionClient
from jackdawridge.forwarding.pending import FLUSH_TIME

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.wire.peers import Peer, Peers

#: Interval at which deadlines are checked, in seconds.
TICK_INTERVAL = 0.1
#: Interval at which a minion that refuses connections is probed, in seconds.
PROBE_INTERVAL = 0.2

_UNREACHABLE = 'the minion does not accept connections'


class StartRules(Protocol):
    """Configuration that a side needs."""

    def refuse_start(self) -> str:
        """Return why no request may start, or an empty string."""


class SideForwarding:
    """Component that runs the requests of entries at the minion.

    :param application: application of the process.
    :param peers: linked peers of the process.
    :param client: HTTP client for the minion.
    :param rules: rules from the configuration.
    """

    def __init__(
        self,
        application: Application,
        peers: Peers,
        client: MinionClient,
        rules: StartRules,
    ) -> None:
        """Initialise the component."""
        settings = application.settings
        slots = settings.integer('minion_slots')
        self.application = application
        self.clock = application.clock
        self.peers = peers
        self.client = client
        self.rules = rules
        self.gate = Gate(
            min(slots, settings.integer('minion_connections')), slots
        )
        self.calls = MinionCalls(self.gate, client, peers, self.clock)
        self.calls.on_unreachable = self.minion_unreachable
        #: Reasons why no request is accepted, by source.
        self.unavailable_reasons: dict[str, str] = {}
        self.timer: Any = None
        self.stopped = False

    @classmethod
    def from_application(
        cls,
        application: Application,
        peers: Peers,
        reactor: Any,
        rules: StartRules,
    ) -> SideForwarding:
        """Return the component, registered for messages and events.

        :param application: application of the process.
        :param peers: linked peers of the process.
        :param reactor: Twisted reactor.
        :param rules: rules from the configuration.
        """
        settings = application.settings
        client = MinionClient(
            reactor,
            settings.text('minion'),
            settings.integer('minion_connections'),
        )
        forwarding = cls(application, peers, client, rules)
        application.events.connect('peer_joined', forwarding.peer_joined)
        application.events.connect('peer_left', forwarding.peer_left)
        application.events.connect('draining', forwarding.drain)
        for message_type in (
            messages.Request,
            messages.RequestBody,
            messages.Credit,
            messages.CancelRequests,
            messages.ResolveRequests,
        ):
            application.on_message(message_type, forwarding.receive)
        return forwarding

    def start(self) -> None:
        """Start to check deadlines."""
        self.timer = self.clock.callLater(TICK_INTERVAL, self.tick)

    def stop(self) -> Deferred[None]:
        """Wait until every response is written and has had time to be sent."""
        drained: Deferred[None] = Deferred()
        self.calls.on_idle = lambda: self.finish_stop(drained)
        if not self.calls.calls:
            self.finish_stop(drained)
        return drained.addCallback(lambda _: self.close())

    def finish_stop(self, drained: Deferred[None]) -> None:
        """Report the end of the drain after `FLUSH_TIME`.

        :param drained: deferred to be fired.
        """
        if not self.stopped:
            self.stopped = True
            self.clock.callLater(FLUSH_TIME, drained.callback, None)

    def close(self) -> Deferred[None]:
        """Stop checking deadlines and close the idle connections."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        return self.client.close()

    def drain(self) -> None:
        """Refuse new requests because the process is leaving."""
        self.update_availability('drain', 'the side is leaving')

    def update_availability(self, source: str, reason: str) -> None:
        """Set or clear one reason why requests are refused.

        Requests are accepted while no source has a reason. A change is
        reported to all entries.

        :param source: source of the reason.
        :param reason: reason, empty to clear it.
        """
        if self.unavailable_reasons.get(source, '') == reason:
            return
        previous = self.gate.unavailable_reason
        self.unavailable_reasons.pop(source, None)
        if reason:
            self.unavailable_reasons[source] = reason
        current = next(iter(self.unavailable_reasons.values()), '')
        self.gate.update_availability(current, self.clock.seconds())
        self.calls.perform()
        if bool(previous) != bool(current):
            report = messages.LoadReport(self.gate.load())
            for peer in self.peers.of_role('entry'):
                peer.send(report)

    def peer_joined(self, peer: Peer) -> None:
        """Tell a newly linked entry if requests are refused.

        :param peer: peer that has linked.
        """
        if peer.introduction.role == 'entry' and self.gate.unavailable_reason:
            peer.send(messages.LoadReport(self.gate.load()))

    def peer_left(self, peer: Peer) -> None:
        """Discard the streamed responses to a peer whose link has closed.

        The requests go on running.

        :param peer: peer that is unlinked.
        """
        for key, call in self.calls.calls.items():
            if key.entry == peer.identity and call.streaming:
                call.abandon()

    def receive(self, peer: Peer, message: Any) -> None:
        """Handle a message of an entry.

        :param peer: entry that sent the message.
        :param message: message to a side.
        """
        entry = EntryId(*peer.identity)
        now = self.clock.seconds()
        if isinstance(message, messages.Request):
            self.update_availability('configuration', self.rules.refuse_start())
            self.gate.receive(entry, message, now)
        elif isinstance(message, messages.ResolveRequests):
            self.gate.resolve(entry, message.numbers, now)
        elif isinstance(message, messages.CancelRequests):
            self.gate.cancel(entry, message.numbers, now)
            self.calls.abandon(entry, message.numbers)
        else:
            self.calls.receive_body(RequestKey(entry, message.number), message)
        self.calls.perform()

    def minion_unreachable(self) -> None:
        """Refuse requests until the minion accepts connections again."""
        if 'minion' not in self.unavailable_reasons:
            self.update_availability('minion', _UNREACHABLE)
            self.clock.callLater(PROBE_INTERVAL, self.probe)

    def probe(self) -> None:
        """Probe whether the minion accepts connections."""
        self.client.probe().addCallback(self.handle_probe)

    def handle_probe(self, reachable: bool) -> None:
        """Accept requests again, or schedule another probe.

        :param reachable: whether the minion accepted a connection.
        """
        if reachable:
            self.update_availability('minion', '')
        elif not self.stopped:
            self.clock.callLater(PROBE_INTERVAL, self.probe)

    def tick(self) -> None:
        """Apply the configuration and the deadlines."""
        self.update_availability('configuration', self.rules.refuse_start())
        self.gate.tick(self.clock.seconds())
        self.calls.perform()
        self.timer = self.clock.callLater(TICK_INTERVAL, self.tick)
