"""Component of an entry that forwards requests to sides."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from jackdawridge.forwarding import entry_effects as effects
from jackdawridge.forwarding import messages
from jackdawridge.forwarding.identity import SideId
from jackdawridge.forwarding.pending import PendingAnswers
from jackdawridge.forwarding.replies import Replies
from jackdawridge.forwarding.router import Router
from jackdawridge.forwarding.side_links import SideInfo, SideLinks
from jackdawridge.forwarding.table import Limits, RequestTable
from jackdawridge.logs import get_logger, log_decision

if TYPE_CHECKING:
    from collections.abc import Mapping

    from twisted.internet.defer import Deferred

    from jackdawridge.application import Application
    from jackdawridge.forwarding.exchange import Call
    from jackdawridge.forwarding.pending import Answer, Observer
    from jackdawridge.wire.peers import Peer, Peers

logger = get_logger('routing')

#: Service in the introduction of a side without a minion.
NO_SERVICE = 'none'


class EntryRules(Protocol):
    """Configuration that an entry needs."""

    def is_in_service(self, failure_domain: str) -> bool:
        """Return whether a failure domain is in service."""

    def weight_of(self, team: str) -> float:
        """Return the weight of a team in the queue."""

    def service_record(self, service: str) -> Mapping[str, object] | None:
        """Return the record of a service, None if there is none."""


class EntryForwarding:
    """Component that forwards requests and answers their callers.

    :param application: application of the process.
    :param peers: linked peers of the process.
    :param observer: counts steps and answers for the metrics.
    """

    def __init__(
        self, application: Application, peers: Peers, observer: Observer
    ) -> None:
        """Initialise the component."""
        settings = application.settings
        self.application = application
        self.clock = application.clock
        self.peers = peers
        self.observer = observer
        self.table = RequestTable(
            settings.text('failure_domain'),
            Limits(
                requests=settings.integer('request_limit'),
                waiting=settings.integer('request_queue'),
            ),
        )
        self.router = Router(self.table)
        self.replies = Replies(self.router)
        self.links = SideLinks(self.replies)
        self.pending = PendingAnswers(
            application.clock, observer, self.transmit
        )
        self.rules: EntryRules | None = None
        self.timer: Any = None
        self.timer_at: float = 0
        self.is_performing = False

    @classmethod
    def from_application(
        cls, application: Application, peers: Peers, observer: Observer
    ) -> EntryForwarding:
        """Return the component, registered for messages and events.

        :param application: application of the process.
        :param peers: linked peers of the process.
        :param observer: counts steps and answers for the metrics.
        """
        forwarding = cls(application, peers, observer)
        application.events.connect('peer_joined', forwarding.peer_joined)
        application.events.connect('peer_left', forwarding.peer_left)
        for message_type in (
            messages.Response,
            messages.ResponseBody,
            messages.Credit,
            messages.RequestRefused,
            messages.RequestLost,
            messages.RequestsResolved,
            messages.LoadReport,
        ):
            application.on_message(message_type, forwarding.receive)
        return forwarding

    def start(self) -> None:
        """Start the component, which needs no preparation."""

    def stop(self) -> Deferred[None]:
        """Wait until every open request is answered."""
        return self.pending.drain()

    def submit(self, call: Call, answer: Answer) -> int:
        """Forward a request and return its key.

        :param call: request of the caller.
        :param answer: writer of the answer.
        """
        key = self.router.admit(call, self.clock.seconds())
        self.pending.open(key, answer)
        self.perform()
        return key

    def abandon(self, key: int) -> None:
        """Abandon a request whose caller has disconnected.

        :param key: key of the request.
        """
        self.router.abandon(key)
        self.pending.close(key, 'caller gone')
        self.perform()

    def peer_joined(self, peer: Peer) -> None:
        """Send requests to a newly linked side with a minion.

        :param peer: peer that has linked.
        """
        introduction = peer.introduction
        has_minion = introduction.service not in {'', NO_SERVICE}
        if introduction.role == 'side' and has_minion:
            info = SideInfo(
                SideId(*peer.identity),
                introduction.service,
                introduction.failure_domain,
                introduction.slots,
            )
            self.links.side_linked(info, self.clock.seconds())
            self.perform()
            self.apply_rules()

    def peer_left(self, peer: Peer) -> None:
        """Handle the requests open at a peer whose link has closed.

        :param peer: peer that is unlinked.
        """
        self.links.side_unlinked(SideId(*peer.identity), self.clock.seconds())
        self.perform()

    def follow_rules(self, rules: EntryRules) -> None:
        """Apply the rules of the configuration from now on.

        :param rules: rules from the configuration.
        """
        self.rules = rules
        self.router.weight_of = rules.weight_of
        self.application.events.connect(
            'configuration_changed', lambda *_: self.apply_rules()
        )

    def apply_rules(self) -> None:
        """Stop sending requests to failure domains that are out of service."""
        if self.rules is not None:
            is_in_service = self.rules.is_in_service
            domains = self.links.failure_domains()
            out = [name for name in domains if not is_in_service(name)]
            self.links.set_out_of_service(out, self.clock.seconds())
            self.perform()

    def receive(self, peer: Peer, message: Any) -> None:
        """Handle a message of a side.

        :param peer: side that sent the message.
        :param message: message to an entry.
        """
        now = self.clock.seconds()
        if isinstance(message, messages.Response):
            self.replies.handle_response(message, now)
        elif isinstance(message, messages.ResponseBody):
            self.replies.handle_response_body(message)
        elif isinstance(message, messages.Credit):
            self.replies.handle_credit(message)
        elif isinstance(message, messages.RequestRefused):
            self.replies.handle_refused(message, now)
        else:
            self.receive_link_message(SideId(*peer.identity), message, now)
        self.perform()

    def receive_link_message(
        self, side: SideId, message: Any, now: float
    ) -> None:
        """Handle a message about a lost response, a link or the load.

        :param side: side that sent the message.
        :param message: message to an entry.
        :param now: local time in seconds.
        """
        if isinstance(message, messages.RequestLost):
            self.replies.handle_lost(message, now)
        elif isinstance(message, messages.RequestsResolved):
            self.links.handle_resolved(side, message, now)
        else:
            self.links.handle_load_report(side, message.load, now)

    def perform(self) -> None:
        """Perform all effects in the outbox of the table."""
        if self.is_performing:
            return
        self.is_performing = True
        outbox = self.table.outbox
        try:
            while outbox:
                self.perform_effect(outbox.pop(0))
        finally:
            self.is_performing = False
        self.schedule()

    def perform_effect(self, effect: effects.EntryEffect) -> None:
        """Perform one effect.

        :param effect: effect from the outbox of the table.
        """
        if isinstance(effect, effects.Transmit):
            self.transmit(effect)
        elif isinstance(effect, effects.LogDecision):
            self.observer.attempted(effect.step)
            identifiers = {
                'request': effect.request_id,
                'attempt': effect.number,
            }
            log_decision(
                logger, effect.step, effect.side, effect.reason, identifiers
            )
        else:
            self.pending.answer(effect)

    def transmit(self, effect: effects.Transmit) -> None:
        """Send a message; if that fails, end the attempt that it starts.

        :param effect: message and receiving side.
        """
        peer = self.peers.by_identity.get(
            (effect.side.node, effect.side.incarnation)
        )
        sent = peer is not None and peer.send(effect.message)
        if effect.number and not sent:
            self.replies.handle_unsent(effect.number, self.clock.seconds())

    def schedule(self) -> None:
        """Schedule `tick` for the next alarm."""
        now = self.clock.seconds()
        due = self.router.next_alarm(now)
        if due is None:
            return
        if self.timer is not None and self.timer.active():
            if self.timer_at <= due:
                return
            self.timer.cancel()
        self.timer_at = due
        self.timer = self.clock.callLater(max(due - now, 0), self.tick)

    def tick(self) -> None:
        """Handle the due alarms."""
        now = self.clock.seconds()
        if self.router.tick(now):
            self.links.expire_unresolved(now)
        self.perform()
