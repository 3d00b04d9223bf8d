"""Requests in flight between a side and its minion."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from jackdawridge.forwarding import messages
from jackdawridge.forwarding import side_effects as effects
from jackdawridge.forwarding.identity import RequestKey
from jackdawridge.forwarding.minion_call import MinionCall
from jackdawridge.logs import get_logger, log_decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.forwarding.gate import Gate
    from jackdawridge.forwarding.identity import EntryId
    from jackdawridge.forwarding.minion_client import MinionClient
    from jackdawridge.util.clock import Clock
    from jackdawridge.wire.peers import Peers

logger = get_logger('routing')


class MinionCalls:
    """Performs the effects of the gate and reports results back to it.

    :param gate: decides which requests run.
    :param client: HTTP client for the minion.
    :param peers: linked peers of the process, entries among them.
    :param clock: clock of the reactor.
    """

    def __init__(
        self, gate: Gate, client: MinionClient, peers: Peers, clock: Clock
    ) -> None:
        """Initialise without requests."""
        self.gate = gate
        self.client = client
        self.peers = peers
        self.clock = clock
        self.calls: dict[RequestKey, MinionCall] = {}
        #: Called when the minion refuses a connection.
        self.on_unreachable: Callable[[], object] | None = None
        #: Called when a request ends and none is left in flight.
        self.on_idle: Callable[[], object] | None = None

    def receive_body(
        self,
        key: RequestKey,
        message: messages.RequestBody | messages.Credit,
    ) -> None:
        """Handle a part of a request body, or credit for a response body.

        :param key: key of the request.
        :param message: body part or credit.
        """
        call = self.calls.get(key)
        if call is None:
            return
        if isinstance(message, messages.Credit):
            call.add_credit(message.offset)
        elif call.source is not None:
            call.source.add_part(message.offset, message.body)

    def abandon(self, entry: EntryId, numbers: tuple[int, ...]) -> None:
        """Discard the responses of cancelled requests that are running.

        :param entry: entry that cancelled the requests.
        :param numbers: numbers of the requests.
        """
        for number in numbers:
            call = self.calls.get(RequestKey(entry, number))
            if call is not None:
                call.abandon()

    def perform(self) -> None:
        """Perform all effects in the outbox of the gate."""
        outbox = self.gate.outbox
        while outbox:
            self.perform_effect(outbox.pop(0))

    def perform_effect(self, effect: effects.SideEffect) -> None:
        """Perform one effect.

        :param effect: effect from the outbox of the gate.
        """
        if isinstance(effect, effects.Run):
            call = MinionCall(self, effect.key, effect.request)
            self.calls[effect.key] = call
            call.start(self.client)
        elif isinstance(effect, effects.Stop):
            stopped = self.calls.get(effect.key)
            if stopped is not None:
                stopped.stop()
        elif isinstance(effect, effects.Resolved):
            resolved = messages.RequestsResolved(
                effect.running, effect.fenced, effect.lost
            )
            self.transmit(effect.entry, resolved)
        else:
            self.reply(effect)

    def reply(
        self,
        effect: effects.Refuse | effects.ReportLost | effects.ResendResponse,
    ) -> None:
        """Send an entry the result of a request.

        :param effect: result to be sent.
        """
        key = effect.key
        load = self.gate.load()
        if isinstance(effect, effects.ResendResponse):
            repeated = effect.response._replace(load=load)
            self.transmit(key.entry, repeated)
        elif isinstance(effect, effects.ReportLost):
            lost = messages.RequestLost(key.number, effect.reason, load)
            self.transmit(key.entry, lost)
        else:
            identifiers = {'entry': key.entry.node, 'attempt': key.number}
            log_decision(
                logger,
                'refuse',
                self.client.address,
                effect.reason,
                identifiers,
            )
            refused = messages.RequestRefused(
                key.number, effect.reason, effect.retry_after, load
            )
            self.transmit(key.entry, refused)

    def load(self) -> messages.Load:
        """Return the current load, which every reply carries."""
        return self.gate.load()

    def transmit(self, entry: EntryId, message: Any) -> None:
        """Send a message to an entry; drop it if the entry is not linked.

        :param entry: receiver of the message.
        :param message: message of this package.
        """
        peer = self.peers.by_identity.get((entry.node, entry.incarnation))
        if peer is not None:
            peer.send(message)

    def request_not_sent(self, key: RequestKey, reason: str) -> None:
        """Refuse a request that never reached the minion.

        :param key: key of the request.
        :param reason: reason why it was not sent.
        """
        self.gate.request_not_sent(key, reason, self.clock.seconds())
        if self.on_unreachable is not None:
            self.on_unreachable()
        self.close(key)

    def response_lost(self, key: RequestKey, reason: str) -> None:
        """Tell the entry that the response to a request is lost.

        :param key: key of the request.
        :param reason: reason why there is no response.
        """
        self.gate.request_finished(key, None, self.clock.seconds())
        message = messages.RequestLost(key.number, reason, self.gate.load())
        self.transmit(key.entry, message)
        self.close(key)

    def response_received(
        self, key: RequestKey, response: messages.Response
    ) -> None:
        """Send a response that fits into one message.

        :param key: key of the request.
        :param response: response of the minion.
        """
        self.gate.request_finished(key, response, self.clock.seconds())
        self.transmit(key.entry, response._replace(load=self.gate.load()))
        self.close(key)

    def response_streamed(
        self, key: RequestKey, part: messages.ResponseBody
    ) -> None:
        """Send the last part of a streamed response.

        :param key: key of the request.
        :param part: last part of the body.
        """
        self.gate.request_finished(key, None, self.clock.seconds())
        self.transmit(key.entry, part)
        self.close(key)

    def close(self, key: RequestKey) -> None:
        """Remove a request that has ended and start waiting ones.

        :param key: key of the request.
        """
        self.calls.pop(key, None)
        self.perform()
        if self.on_idle is not None and not self.calls:
            self.on_idle()
